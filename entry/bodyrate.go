package entry

import (
	"context"

	"golang.org/x/time/rate"
)

const (
	// linkShare is the share of a host's link that request bodies may use.
	linkShare = 0.7
	// watcherLinkShare is that share on a host that watches the platform's store: it receives
	// every change and forwards it to all other hosts.
	watcherLinkShare = 0.2
	// bodyRateBurst is how many bytes may be read without waiting after an idle period.
	bodyRateBurst = 128 << 10
)

// bodyRateLimiter limits the rate at which request bodies are read, in total over all callers. Nil
// means no limit.
//
// Uploads would otherwise fill the link in both directions and delay changes of the configuration
// and the targets. A caller whose bytes aren't read stops sending.
type bodyRateLimiter struct {
	normal, watcher *rate.Limiter
	watchesStore    func() bool
}

// newBodyRateLimiter returns the limiter for a link with a capacity in bytes per second; it is nil
// if the capacity is 0 (unknown). watches reports whether this host watches the store; nil means
// that it never does.
func newBodyRateLimiter(linkBytes float64, watches func() bool) *bodyRateLimiter {
	if linkBytes <= 0 {
		return nil
	}
	if watches == nil {
		watches = func() bool { return false }
	}
	return &bodyRateLimiter{
		normal:       rate.NewLimiter(rate.Limit(linkShare*linkBytes), bodyRateBurst),
		watcher:      rate.NewLimiter(rate.Limit(watcherLinkShare*linkBytes), bodyRateBurst),
		watchesStore: watches,
	}
}

// wait blocks until n more bytes may be read, or returns an error if ctx ends first.
func (l *bodyRateLimiter) wait(ctx context.Context, n int) error {
	if l == nil {
		return nil
	}
	limiter := l.normal
	if l.watchesStore() {
		limiter = l.watcher
	}
	for n > 0 {
		chunk := min(n, bodyRateBurst)
		if err := limiter.WaitN(ctx, chunk); err != nil {
			return err
		}
		n -= chunk
	}
	return nil
}
