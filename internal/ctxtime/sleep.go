// Package ctxtime waits for times that a context can cut short.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for d and reports whether it passed before ctx ended. Without any
// time to wait it reports whether ctx has not ended yet.
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
