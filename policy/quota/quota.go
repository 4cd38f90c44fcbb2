// Package quota keeps the requests of a tenant, or those that a target takes, within a quota
// over all hosts, without a word to a store and without consensus. The quota is divided among the availability zones:
// each has a Part of its own, which one host of the zone owns. Parts never add up to more than
// the quota, however zones and hosts are cut off from each other, and a zone whose tenants ask
// for more than its part borrows what others have left.
package quota

import "time"

// Limit is the quota of a tenant or a target, over all hosts together.
type Limit struct {
	// Rate is in requests a second; Burst is how many more may come at once.
	Rate, Burst float64
}

// Tolerance is by how much all hosts together may exceed a quota within any window.
type Tolerance struct {
	Window time.Duration
	// Share is a share of the quota over the window, Requests a number beside it.
	Share, Requests float64
}

const (
	// roomShare is the part of the tolerance that owners may save up beyond the burst: the
	// burst divided among zones would leave small tenants less than one request in each.
	roomShare = 0.3
	// startShare is the part that owners begin with which have just started: what the
	// tenant used before is not known. The rest is for hosts that own a part at once.
	startShare = 0.5
)

// spare returns how many requests beyond a limit may run within a window.
func (t Tolerance) spare(l Limit) float64 {
	return t.Share*(l.Rate*t.Window.Seconds()+l.Burst) + t.Requests
}

// room returns the most tokens that all parts together hold.
func (t Tolerance) room(l Limit) float64 { return l.Burst + roomShare*t.spare(l) }

// start returns the tokens that all parts together hold after a start of all hosts.
func (t Tolerance) start(l Limit) float64 { return startShare * t.spare(l) }

// MaxRequests returns how many requests may run within a span of time: what is asserted, and what
// tests check.
func (t Tolerance) MaxRequests(l Limit, span time.Duration) float64 {
	return l.Rate*span.Seconds() + l.Burst + t.spare(l)
}

// ObservedLimit is a limit as a host last heard of it. The zero value says nothing.
type ObservedLimit struct {
	Known bool `msgpack:"known"`
	// Rate is 0 if there is no limit.
	Rate float64 `msgpack:"rate"`
	// Age is how long ago that was heard.
	Age time.Duration `msgpack:"age"`
}

// Request is what is told of a request to the owner of a part.
type Request struct {
	// Name is the tenant's or the target's.
	Name string `msgpack:"tenant"`
	// Zone is the availability zone whose hosts own the part; empty for that of the host that
	// asks.
	Zone string `msgpack:"zone,omitempty"`
	// Observed is what that host knows of the limit, where the configuration doesn't say.
	Observed ObservedLimit `msgpack:"word,omitempty"`
	// Route names its route, whose requests all have the same Objective; see dispatch.Call.
	Route     string        `msgpack:"route"`
	Objective time.Duration `msgpack:"objective"`
	// Remaining is how much time the caller has left; negative if it does not say.
	Remaining time.Duration `msgpack:"left"`
}
