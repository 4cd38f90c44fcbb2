package budget

import (
	"time"

	"github.com/cactusproxy/cactusproxy/ports"
)

// lease is a share that this host holds.
type lease struct {
	index   int
	version uint64
	nonce   string
	// requestedAt is when this host requested the lease or its last renewal. The
	// lease counts from here, which is before the row was written.
	requestedAt time.Time
	// duration is the lease duration written in the row.
	duration time.Duration
	// heldSince is when this host acquired the share.
	heldSince time.Time
	// uncertain is the last renewal if its reply was lost and it was not read back
	// yet.
	uncertain *renewal
	costs     costWindow
}

// renewal is one renewal of a lease.
type renewal struct {
	nonce       string
	requestedAt time.Time
}

// covers reports whether the lease lasts for at least d from now.
func (l *lease) covers(now time.Time, d time.Duration) bool {
	return elapsed(l.requestedAt, now)+d <= l.duration
}

// elapsed returns the longer of the times shown by this host's monotonic and wall
// clocks. The monotonic clock may stop while the machine is suspended; a wall clock
// that is set back does no harm.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// resolveRenewal updates the lease from its row after the reply to a renewal was
// lost. It returns false if the row belongs to another host.
func (l *lease) resolveRenewal(r ports.Row, s share) bool {
	if l.uncertain != nil && s.Nonce == l.uncertain.nonce {
		l.nonce, l.requestedAt = l.uncertain.nonce, l.uncertain.requestedAt
	} else if s.Nonce != l.nonce {
		return false
	}
	l.version = r.Version
	l.uncertain = nil
	return true
}
