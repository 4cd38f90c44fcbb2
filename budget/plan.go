package budget

import "time"

// Limits are the times of the leases and the cost of probes. They are the same
// on all hosts of a version; what a host must know of another's is in the row.
type Limits struct {
	// Lease is how long a share may be used, counted by its holder from before
	// it asked. Others wait for the lease that the row names and Margin more,
	// counted from when they first saw it.
	Lease time.Duration
	// Margin covers what the rates of two hosts' clocks differ over a lease.
	Margin time.Duration
	// Poll is how often rows are read and leases renewed.
	Poll time.Duration
	// MaxHold is how long a host keeps a share that others may wait for.
	MaxHold time.Duration
	// IdleRelease is how long a share is kept while nothing is to be probed.
	IdleRelease time.Duration
	// Timeout bounds one probe. It is reserved before the probe, and what the
	// probe did not take is given back after it.
	Timeout time.Duration
	// StoreTimeout bounds one operation of the table.
	StoreTimeout time.Duration
}

// DefaultLimits returns the limits in common use.
func DefaultLimits() Limits {
	return Limits{
		Lease:        10 * time.Second,
		Margin:       2 * time.Second,
		Poll:         time.Second,
		MaxHold:      20 * time.Second,
		IdleRelease:  3 * time.Second,
		Timeout:      20 * time.Millisecond,
		StoreTimeout: 2 * time.Second,
	}
}

const (
	// maxShares bounds the hosts that probe one workspace at a time.
	maxShares = 4
	// probesPerWindow is how many probes of the longest time one share allows
	// in a window: with one, a probe that took less than its reservation would
	// leave room that no further reservation fits in.
	probesPerWindow = 3
	// minWindow is the shortest window in which a budget is kept.
	minWindow = time.Second
)

// Plan says how a workspace's budget is divided. In any window of length Window
// all hosts together spend at most Budget x Window of target time.
type Plan struct {
	// Shares is the number of equal shares.
	Shares int
	// Window is the length of the sliding window that is kept.
	Window time.Duration
	// PerShare is the probing time allowed to one share in a window.
	PerShare time.Duration
}

// NewPlan divides a budget, in time of target slots a second. A budget that is
// small against the timeout of a probe has one share and a longer window.
func NewPlan(budget, timeout time.Duration) Plan {
	if budget <= 0 {
		return Plan{}
	}
	need := probesPerWindow * timeout
	shares := int(min(maxShares, max(1, budget/need)))
	window := minWindow
	if budget < need {
		window = time.Duration(float64(minWindow) * float64(need) / float64(budget))
	}
	total := time.Duration(float64(budget) * window.Seconds())
	return Plan{Shares: shares, Window: window, PerShare: total / time.Duration(shares)}
}
