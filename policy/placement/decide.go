package placement

// takeAtOnceCost is the cost up to which a target is taken at once: it has a free slot, and
// service takes little longer than usual.
const takeAtOnceCost = 1.6

// Fallback is what a choice can do instead of taking the best target found so far.
type Fallback uint8

const (
	// ProbeOtherZones means that targets of other availability zones have not been probed yet.
	ProbeOtherZones Fallback = iota
	// WaitForBetter means that the choice may wait for a better target.
	WaitForBetter
	// NoFallback means that there is no other option.
	NoFallback
)

// Decision is the outcome of one step of a choice.
type Decision uint8

const (
	// Take sends the call to the best target.
	Take Decision = iota
	// Continue proceeds with the Fallback.
	Continue
	// Refuse rejects the call immediately.
	Refuse
)

// Decide returns the next step from the cost of the best probed target, whether sending the call
// there is worthwhile, and what can be done instead.
//
// Under overload even the best target that can be probed has a queue that leads to a late
// response. A call that waits for a better one takes a slot in which another could have been in
// time, or is refused later. Refused at once, it can be retried sooner or elsewhere.
func Decide(cost float64, worthwhile bool, fallback Fallback) Decision {
	switch {
	case cost <= takeAtOnceCost && worthwhile:
		return Take
	case fallback == ProbeOtherZones:
		return Continue
	case !worthwhile:
		return Refuse
	case fallback == WaitForBetter:
		return Continue
	default:
		return Take
	}
}
