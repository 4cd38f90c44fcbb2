package memstore

import (
	"context"
	"time"

	"github.com/cactusproxy/cactusproxy/directory"
)

// SetTrickle makes responses with changes keep arriving for d, as over a slow link. No timeout for
// silence ends them.
func (c *Client) SetTrickle(d time.Duration) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.trickle = d
}

// awaitTrickle waits until all of a response has arrived, and reports whether it arrives slowly.
func (c *Client) awaitTrickle(ctx context.Context, ch directory.Changes) (trickled bool, err error) {
	c.store.mu.Lock()
	d := c.trickle
	c.store.mu.Unlock()
	if d == 0 || ch.Empty() {
		return false, nil
	}
	select {
	case <-time.After(d):
		return true, nil
	case <-ctx.Done():
		return true, ctx.Err()
	}
}
