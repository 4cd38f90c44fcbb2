package instant

import "time"

// Elapsed returns the time between two moments, as the monotonic or the wall clock has it,
// whichever is longer. A suspended machine stops the monotonic clock, and a host that trusted
// it alone would wake up and take what it knew before for news.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
