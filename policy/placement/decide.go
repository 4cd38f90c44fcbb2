package placement

// goodCost is the cost at which a target is taken at once: a slot is free there, and the
// work takes little longer than usual.
const goodCost = 1.6

// Fallback is what a choice can do if it does not take the best target it has seen.
type Fallback uint8

const (
	// ProbeOtherZones: targets of other availability zones were not probed yet.
	ProbeOtherZones Fallback = iota
	// WaitForBetter: a better target may turn up in a moment.
	WaitForBetter
	// NoFallback: nothing.
	NoFallback
)

// Decision is what becomes of a call.
type Decision uint8

const (
	// Take sends the call to the best target.
	Take Decision = iota
	// Continue does what may come next.
	Continue
	// Refuse tells the caller at once that the call does not run.
	Refuse
)

// Decide decides from the cost of the best target that was probed, and whether a call there
// would be answered in time.
//
// It answers more calls than the targets can run. Then the best target of all that could
// be probed has a queue that leads to a late answer, and a call that waits for a better one
// takes the slot that another would have got in time, or is refused later. Refused at once
// it comes again sooner, or elsewhere.
func Decide(cost float64, worthwhile bool, next Fallback) Decision {
	switch {
	case cost <= goodCost && worthwhile:
		return Take
	case next == ProbeOtherZones:
		return Continue
	case !worthwhile:
		return Refuse
	case next == WaitForBetter:
		return Continue
	default:
		return Take
	}
}
