package membership

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/internal/ctxtime"
	"github.com/cactusproxy/cactusproxy/ports"
)

// pollList reads the platform's list periodically until ctx ends. If a read fails, the
// last list stays in force.
func (c *Controller) pollList(ctx context.Context) {
	var known uint64
	for {
		known = c.readList(ctx, known)
		if !ctxtime.Sleep(ctx, c.pollWait()) {
			return
		}
	}
}

// pollWait returns the time until the next read, with a jitter of a fifth either way
// so that the reads of all hosts spread out.
func (c *Controller) pollWait() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := max(pollInterval, time.Duration(len(c.view.entries))*pollPerHost)
	return d*4/5 + time.Duration(c.rng.Int64N(int64(d*2/5)))
}

func (c *Controller) readList(ctx context.Context, known uint64) uint64 {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	snap, err := c.opts.List.List(ctx, known)
	switch {
	case err != nil:
		c.count.listFailed.Add(1)
		c.opts.Log.Warn("failed to read the host list", zap.Error(err))
		return known
	case snap.Unchanged:
		return known
	case snap.Version < known:
		// The platform may serve an older list than before. Applying it would
		// bring back hosts that are gone and leaving marks that were cleared.
		c.count.listOld.Add(1)
		return known
	}
	c.applyList(snap)
	return snap.Version
}

func (c *Controller) applyList(snap ports.HostSnapshot) {
	c.mu.Lock()
	c.view.applyList(snap.Hosts, time.Now())
	c.publishLocked()
	c.mu.Unlock()
	if c.opts.OnList != nil {
		c.opts.OnList(snap)
	}
}
