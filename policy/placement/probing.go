package placement

import "time"

const (
	// MaxProbes is how many targets of the own zone, and then of others, are probed for
	// one choice. More tell little more about the best of them, and use up the quota of
	// probes under load; fewer miss the free ones.
	MaxProbes = 4
	// leastWidth is how many are probed when the quota of probes is nearly used up,
	// widthAgain how many by a choice that waited.
	leastWidth = 2
	widthAgain = 3
	// ProbeTimeout is how long a choice waits for answers; one inside a region takes
	// 1 to 3 ms.
	ProbeTimeout = 12 * time.Millisecond
	// WaitInterval is how long a choice waits for a better target, maxWaits how often at most.
	WaitInterval = 20 * time.Millisecond
	waitLimit  = 6
)

// ProbeCount is how many targets of a zone are probed by a choice that waited some times, with
// some part, 0 to 1, of a second's probes left. A choice that waited asks the best few
// again.
//
// It answers more calls than there are probes. When the quota runs low each choice probes
// fewer, so that none has to do without and goes by a guess.
func ProbeCount(waits int, left float64) int {
	if waits > 0 {
		return widthAgain
	}
	return max(leastWidth, int(MaxProbes*left))
}

// leastLeft is the part of a second's probes below which nearly every one is refused.
const leastLeft = 0.05

// ProbesExhausted reports whether a host with some part of a second's probes left may hardly probe.
func ProbesExhausted(left float64) bool { return left < leastLeft }

// MaxWaits is how often a choice may wait for a better target where a call usually takes
// some time: for half of that, once at least. Beyond that the wait costs more than a better
// target saves.
func MaxWaits(work time.Duration) int {
	return min(max(int(work/2/WaitInterval), 1), waitLimit)
}
