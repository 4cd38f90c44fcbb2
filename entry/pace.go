package entry

import (
	"context"

	"golang.org/x/time/rate"
)

const (
	// usualShare is the part of a host's link that bodies of callers may take.
	usualShare = 0.7
	// watcherShare is that part on a host that watches the platform's store: every change
	// comes in and goes out to all others there.
	watcherShare = 0.2
	// paceBurst is how many bytes are read without a wait after a pause.
	paceBurst = 128 << 10
)

// bodyPace is how fast bodies of callers are read, all together. Nil is any.
//
// Uploads fill the link both ways, and changes of the configuration and the targets wait behind them.
// A caller whose bytes are not read stops sending.
type bodyPace struct {
	usual, watcher *rate.Limiter
	watches        func() bool
}

// newBodyPace returns the pace on a link that carries some bytes a second, 0 if not known.
// watches reports whether this host watches the store; nil means never.
func newBodyPace(linkBytes float64, watches func() bool) *bodyPace {
	if linkBytes <= 0 {
		return nil
	}
	if watches == nil {
		watches = func() bool { return false }
	}
	return &bodyPace{
		usual:   rate.NewLimiter(rate.Limit(usualShare*linkBytes), paceBurst),
		watcher: rate.NewLimiter(rate.Limit(watcherShare*linkBytes), paceBurst),
		watches: watches,
	}
}

// wait returns once n bytes more may have been read, or with an error if ctx ends first.
func (p *bodyPace) wait(ctx context.Context, n int) error {
	if p == nil {
		return nil
	}
	limit := p.usual
	if p.watches() {
		limit = p.watcher
	}
	for n > 0 {
		step := min(n, paceBurst)
		if err := limit.WaitN(ctx, step); err != nil {
			return err
		}
		n -= step
	}
	return nil
}
