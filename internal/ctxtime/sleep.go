// Package ctxtime provides sleeping that ends early when a context ends.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx ends, and reports whether d passed first. If d is not
// positive it returns at once and reports whether ctx is still active.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
