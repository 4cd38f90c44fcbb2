// Package admission decides which requests of a service are sent on while the service is short of
// room, that is, while targets or the choice of a target turn requests away.
//
// More urgent ranks go first, and every rank keeps a guaranteed minimum. Within a rank, tenants get
// max-min fair shares: those that ask for less than their share are admitted, those that ask for
// more are admitted up to it. The rate that all requests together may have follows from how many
// admitted requests found no room (Limit), so that no capacity has to be configured or reported.
//
// A Demand counts requests by rank and tenant, Shares divides a rate among them, and each host
// decides by the resulting Level. The rules follow core-stateless fair queueing (Stoica et al.,
// SIGCOMM 1998): the shares are computed at one place, and hosts drop at random by the ratio of
// share and demand.
package admission

import "time"

const (
	// MaxRanks is the number of ranks that are distinguished. Less urgent ones count as the last.
	MaxRanks = 8
	// Interval is the time between two updates of a Level.
	Interval = 250 * time.Millisecond
)

// Key identifies the requests that share a decision. Tenant is empty for requests without one.
type Key struct {
	Rank   int
	Tenant string
}

// NewKey returns the key of requests of a rank, which is limited to the ranks that are distinguished,
// and a tenant.
func NewKey(rank int, tenant string) Key {
	return Key{Rank: min(max(rank, 0), MaxRanks-1), Tenant: tenant}
}

// Level says which requests of a service are admitted. The zero value admits all. It is immutable
// once shared.
type Level struct {
	// Limited is set while the service is short of room.
	Limited bool
	// Ranks are the admitted fractions of tenants within their fair share.
	Ranks [MaxRanks]float64
	// Heavy are the admitted fractions of tenants that ask for more than their share.
	Heavy map[Key]float64
	// Full is the fraction of the room that goes to ranks and tenants admitted in full.
	Full float64
}

// Request is a request to decide on.
type Request struct {
	Key
	// Objective is the desired response time, 0 if there is none, and Left the part of it that
	// the caller has not waited yet; it may be negative.
	Objective, Left time.Duration
	// Usual is the usual response time of the service, 0 if not known.
	Usual time.Duration
	// Age is the time since the level was computed.
	Age time.Duration
}

const (
	// freshAge is the age up to which a level is in force as it is, some intervals, and levelTTL
	// the age at which it has lost all weight: a host that hears nothing more admits all and
	// decides by its own results.
	freshAge = 1500 * time.Millisecond
	levelTTL = 4 * time.Second
)

// weight is the weight of a level of this age.
func weight(age time.Duration) float64 {
	return min(1, max(0, float64(levelTTL-age)/float64(levelTTL-freshAge)))
}

// Hopeless reports whether a retry can hardly be answered in time any more. A first attempt never
// is, however short its objective: else kinds of requests with short objectives would get nothing.
func (r *Request) Hopeless() bool {
	return r.Objective > 0 && r.Left < r.Objective && r.Left < r.Usual
}

// InForce reports whether the level, computed age ago, still limits anything.
func (l *Level) InForce(age time.Duration) bool { return l.Limited && age < levelTTL }

// Decision is the result for one request.
type Decision struct {
	Admitted bool
	// Spare is set if an admitted request must not wait for a slot, because requests of ranks and
	// tenants admitted in full may be waiting. LeaveSlot is set if it must leave a slot of its target
	// free for those.
	Spare, LeaveSlot bool
	// Share is the admitted fraction of such requests.
	Share float64
	// Cause is why the request is refused; empty if it is admitted.
	Cause Cause
}

// Cause is why a request is refused.
type Cause string

const (
	// BeyondShare is for tenants that ask for more than their fair share.
	BeyondShare Cause = "share"
	// BeyondRank is for all others of a rank that there is too little room for.
	BeyondRank Cause = "rank"
	// TooLate is for retries that can hardly be answered in time any more.
	TooLate Cause = "late"
)

// reserve is the probability that a spare request leaves a slot free, relative to Level.Full. It is
// more than 1 because hosts choose by reports that are some milliseconds old, and several may take the same slot.
const reserve = 2

// Decide decides on a request with two random numbers in [0, 1).
func (l *Level) Decide(r Request, u, v float64) Decision {
	if l == nil || !l.Limited || r.Age >= levelTTL {
		return Decision{Admitted: true, Share: 1}
	}
	share, heavy := l.Heavy[r.Key]
	cause := BeyondShare
	if !heavy {
		share, cause = l.Ranks[r.Rank], BeyondRank
	}
	share = 1 - (1-share)*weight(r.Age)
	switch {
	case r.Hopeless():
		return Decision{Share: share, Cause: TooLate}
	case u >= share:
		return Decision{Share: share, Cause: cause}
	}
	spare := share < 1 && l.Full > 0
	return Decision{Admitted: true, Spare: spare, LeaveSlot: spare && v < reserve*l.Full, Share: share}
}

const (
	// minRetryAfter is about the time in which requests at targets end. maxRetryAfter is a third of
	// the callers' longest deadlines.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// RetryAfter returns when a refused caller may retry, with a random number u in [0, 1): on average
// after the time in which the service works off the refused requests of one interval at the
// admitted fraction, spread evenly so that callers don't return together.
func RetryAfter(share, u float64) time.Duration {
	spread := float64(maxRetryAfter - minRetryAfter)
	if share > 0 {
		spread = min(spread, 2*float64(Interval)*(1-share)/share)
	}
	return minRetryAfter + time.Duration(u*max(spread, float64(minRetryAfter)))
}
