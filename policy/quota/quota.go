// Package quota keeps the requests of a tenant, or those that a target takes, within a quota over
// all hosts, without a shared store and without consensus.
//
// The quota is divided among the availability zones. Each zone has a Part, a token bucket that
// one host of the zone owns. The parts never add up to more than the quota, however zones and
// hosts are partitioned, and a zone whose demand exceeds its part borrows tokens that others have
// left.
package quota

import "time"

// Limit is the quota of a tenant or a target, over all hosts together.
type Limit struct {
	// Rate is in requests per second; Burst is the number of requests beyond it that may come at
	// once.
	Rate, Burst float64
}

// Tolerance is the amount by which all hosts together may exceed a quota within any window.
type Tolerance struct {
	Window time.Duration
	// Share is a fraction of the quota over the window, and Requests a number of requests added
	// to it.
	Share, Requests float64
}

const (
	// capacityShare is the fraction of the tolerance that owners may save up beyond the burst:
	// the burst divided among zones would leave small tenants less than one request in each.
	capacityShare = 0.3
	// startShare is the fraction of the tolerance that owners have after they started, when the
	// tenant's earlier use is unknown. The rest covers hosts that own a part at the same time.
	startShare = 0.5
)

// excess returns how many requests beyond a limit may run within a window.
func (t Tolerance) excess(l Limit) float64 {
	return t.Share*(l.Rate*t.Window.Seconds()+l.Burst) + t.Requests
}

// capacity returns the most tokens that all parts together hold.
func (t Tolerance) capacity(l Limit) float64 { return l.Burst + capacityShare*t.excess(l) }

// start returns the tokens that all parts together hold after all hosts have started.
func (t Tolerance) start(l Limit) float64 { return startShare * t.excess(l) }

// MaxRequests returns how many requests may run within a span of time, the bound that assertions
// and tests check.
func (t Tolerance) MaxRequests(l Limit, span time.Duration) float64 {
	return l.Rate*span.Seconds() + l.Burst + t.excess(l)
}

// ObservedLimit is a limit as a host last learned it. The zero value means that none is known.
type ObservedLimit struct {
	Known bool `msgpack:"known"`
	// Rate is 0 if there is no limit.
	Rate float64 `msgpack:"rate"`
	// Age is how long ago the host learned it.
	Age time.Duration `msgpack:"age"`
}

// Request describes a request to the owner of a part.
type Request struct {
	// Name is the name of the tenant or the target.
	Name string `msgpack:"tenant"`
	// Zone is the availability zone whose hosts own the part; empty means the zone of the asking
	// host.
	Zone string `msgpack:"zone,omitempty"`
	// Observed is what the asking host knows of the limit, where the configuration does not set
	// one.
	Observed ObservedLimit `msgpack:"word,omitempty"`
	// Route is the request's route, whose requests all have the same Objective; see
	// dispatch.Call.
	Route     string        `msgpack:"route"`
	Objective time.Duration `msgpack:"objective"`
	// Remaining is the time until the caller's deadline; negative if it did not send one.
	Remaining time.Duration `msgpack:"left"`
}
