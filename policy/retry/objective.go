package retry

import "time"

const (
	// hedgeAllowance is the time that a hedge is allowed to meet the objective, in median
	// latencies: half of all responses take longer than the median.
	hedgeAllowance = 1.6
	// minAllowance is the smaller allowance for objectives that leave no more time.
	minAllowance = 1.1
	// minWait is the least time to wait for the first response, in median latencies. With less,
	// most hedges would be of calls that are about to be answered.
	minWait = 1.4
)

// ObjectiveHedgeDelay returns how long to wait for the response to an idempotent call before it
// is sent to a second target. median and high are the observed median and 95th percentile of the
// latency; objective is the time left until the response loses value, remaining the time until
// the deadline. It returns false if too little is known or the hedge would be answered too late.
//
// Hedges cover targets that become slow, hang or crash while they run a call. A hedge is sent as
// late as it can still meet the objective; if the objective has passed or is too short, it is
// sent when nearly all responses would have arrived.
func ObjectiveHedgeDelay(median, high, objective, remaining time.Duration) (time.Duration, bool) {
	if median <= 0 {
		return 0, false
	}
	wait := max(objective-scale(median, hedgeAllowance), scale(median, minWait))
	if wait+scale(median, minAllowance) > objective {
		wait = max(high, 2*median)
	}
	if wait+median > remaining {
		return 0, false
	}
	return max(wait, minHedgeDelay), true
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(factor * float64(d)) }
