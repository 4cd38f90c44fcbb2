package instant

import "time"

// Elapsed returns the time between two moments by the monotonic or the wall clock, whichever is
// longer. The monotonic clock stops while a machine is suspended; a host that relied on it alone
// would treat stale state as fresh after waking up.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
