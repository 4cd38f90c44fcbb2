package health

import "time"

const (
	// baseBackoff is the backoff after the first refusal.
	baseBackoff = 50 * time.Millisecond
	// maxDoublings limits how often the backoff doubles.
	maxDoublings = 4
)

// Refusals counts consecutive calls that a target did not accept: those that it shed, and those
// for which no connection was established or the connection broke.
type Refusals int

// Refused records a refusal and returns how long to back off from the target, which doubles with
// each consecutive one. A target that refuses immediately, or is down, looks idle: without a
// backoff it would attract most calls of a service, each of which then has to be retried
// elsewhere. Unlike an ejection the backoff has no cap on the number of targets, since a target
// that refuses calls does not relieve the others.
func (r *Refusals) Refused() time.Duration {
	d := baseBackoff << min(int(*r), maxDoublings)
	*r++
	return d
}

// Answered resets the count after a response.
func (r *Refusals) Answered() { *r = 0 }
