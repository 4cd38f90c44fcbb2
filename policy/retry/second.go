package retry

import "time"

const (
	// spare is how much longer than usual a second answer may take and still be in time,
	// in usual times: half of all answers take longer than the usual one.
	spare = 1.6
	// least is as spare, for objectives that leave no more time.
	least = 1.1
	// early is the least that a first answer is waited for, in usual times. Below it most
	// calls would be sent twice that are about to be answered.
	early = 1.4
)

// ObjectiveHedgeDelay returns how long to wait for the answer to an idempotent call before it is
// sent to a second target. usual is the learned median of whole answers, high their 95th
// percentile; objective is the time left until the answer is worth less, left the time
// until it is worth nothing. False means that too little is known, or that a second answer
// would come too late.
//
// It answers targets that turn slow, fall silent or crash while they run a call: the
// second is sent as late as it can still be answered within the objective, and if that
// has passed or is too short, when nearly all answers would have come.
func ObjectiveHedgeDelay(usual, high, objective, left time.Duration) (time.Duration, bool) {
	if usual <= 0 {
		return 0, false
	}
	wait := max(objective-scale(usual, spare), scale(usual, early))
	if wait+scale(usual, least) > objective {
		wait = max(high, 2*usual)
	}
	if wait+usual > left {
		return 0, false
	}
	return max(wait, minHedgeDelay), true
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(by * float64(d)) }
