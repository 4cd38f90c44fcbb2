package budget

import "time"

// Timing sets the durations of leases and probes. It is the same on all hosts of a
// version; what a host has to know of another host's timing is in the row.
type Timing struct {
	// Lease is how long a share may be used, counted by its holder from before the
	// request. Other hosts wait for the lease duration in the row plus Margin,
	// counted from when they first saw that version of the row.
	Lease time.Duration
	// Margin covers the difference between the clock rates of two hosts over one
	// lease.
	Margin time.Duration
	// PollInterval is how often rows are read and leases are checked for renewal.
	PollInterval time.Duration
	// MaxHold is how long a host keeps a share for which others may be waiting.
	MaxHold time.Duration
	// IdleTimeout is how long a share is kept while no probe is requested.
	IdleTimeout time.Duration
	// Timeout limits one probe. It is reserved before the probe, and the unused
	// part is returned afterwards.
	Timeout time.Duration
	// StoreTimeout limits the table operations of one step.
	StoreTimeout time.Duration
}

// DefaultTiming returns the default timing.
func DefaultTiming() Timing {
	return Timing{
		Lease:        10 * time.Second,
		Margin:       2 * time.Second,
		PollInterval: time.Second,
		MaxHold:      20 * time.Second,
		IdleTimeout:  3 * time.Second,
		Timeout:      20 * time.Millisecond,
		StoreTimeout: 2 * time.Second,
	}
}

const (
	// maxShares limits the number of hosts that probe one workspace at a time.
	maxShares = 4
	// probesPerWindow is the number of probes of maximum duration that one share
	// allows in a window. With only one, a probe that took less than its
	// reservation would leave an amount too small for another reservation.
	probesPerWindow = 3
	// minWindow is the length of the shortest window.
	minWindow = time.Second
)

// Plan is the division of a workspace's budget. In any window of length Window all
// hosts together spend at most Budget x Window of target time.
type Plan struct {
	// Shares is the number of equal shares.
	Shares int
	// Window is the length of the sliding window.
	Window time.Duration
	// PerShare is the probing time allowed for one share in a window.
	PerShare time.Duration
}

// NewPlan divides a budget, given as time of target slots per second. A budget that
// is small compared to the probe timeout gets one share and a longer window.
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
