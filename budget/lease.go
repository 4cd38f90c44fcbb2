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
	// asked is when this host asked for the lease or its last renewal: it is
	// counted from here, before the row was written.
	asked time.Time
	// length is what the row names.
	length time.Duration
	// since is when the host first got the share.
	since time.Time
	// unsure is set while the answer to a renewal is lost.
	unsure *renewal
	spent  window
}

// renewal is a write of the row whose answer was lost.
type renewal struct {
	nonce string
	asked time.Time
}

// covers reports whether the lease lasts for this long from now on.
func (l *lease) covers(now time.Time, d time.Duration) bool {
	return elapsed(l.asked, now)+d <= l.length
}

// elapsed is the greater of the times that the monotonic and the wall clock of
// this host show. A machine that was suspended may find that its monotonic clock
// stood still; a wall clock that was set back does no harm.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// adopt takes over what the row shows, after an answer was lost; false if the
// row is another host's.
func (l *lease) adopt(r ports.Row, s share) bool {
	if l.unsure != nil && s.Nonce == l.unsure.nonce {
		l.nonce, l.asked = l.unsure.nonce, l.unsure.asked
	} else if s.Nonce != l.nonce {
		return false
	}
	l.version = r.Version
	l.unsure = nil
	return true
}
