package placement

import "time"

const (
	// MaxProbes is the number of targets of the host's zone, and then of other zones, that are
	// probed for one choice. More add little about the best of them and use up the probe budget
	// under load; fewer miss the free ones.
	MaxProbes = 4
	// minProbes is the number of probes when the budget is nearly used up, and reprobes that of a
	// choice that has waited.
	minProbes = 2
	reprobes  = 3
	// ProbeTimeout is how long a choice waits for probe responses; one within a region takes 1 to
	// 3 ms.
	ProbeTimeout = 12 * time.Millisecond
	// WaitInterval is how long a choice waits for a better target before it probes again, and
	// waitLimit how often at most.
	WaitInterval = 20 * time.Millisecond
	waitLimit    = 6
)

// ProbeCount returns the number of targets of a zone to probe for a choice that has waited waits
// times, with the fraction left, 0 to 1, of a second's probe budget. A choice that has waited
// probes the best few targets again.
//
// With a low budget each choice probes fewer targets, so that none has to go without and guess.
func ProbeCount(waits int, left float64) int {
	if waits > 0 {
		return reprobes
	}
	return max(minProbes, int(MaxProbes*left))
}

// minLeft is the fraction of a second's probe budget below which nearly every probe is refused.
const minLeft = 0.05

// ProbesExhausted reports whether the fraction left of a second's probe budget is too small to
// probe.
func ProbesExhausted(left float64) bool { return left < minLeft }

// MaxWaits returns how often a choice may wait for a better target where a call usually takes
// serviceTime: for half of that time in all, but at least once. Beyond that the wait costs more
// than a better target saves.
func MaxWaits(serviceTime time.Duration) int {
	return min(max(int(serviceTime/2/WaitInterval), 1), waitLimit)
}
