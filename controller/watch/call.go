package watch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/policy/watchers"
)

const (
	// retryPause is the time from a watcher's failed call to the next one; it doubles up to
	// maxRetryPause. Refused calls are paid for too, and an outage lasts seconds.
	retryPause    = 100 * time.Millisecond
	maxRetryPause = 400 * time.Millisecond
)

// answer is the result of a call to the store.
type answer struct {
	changes directory.Changes
	err     error
	// askedAt and receivedAt are when the call began and ended.
	askedAt, receivedAt time.Time
	// currentAt is a time at which the store certainly had nothing newer. It is later than validAt
	// if the store tells its clock.
	currentAt time.Time
}

// historyGone reports whether the store no longer has the changes that were asked for.
func (a answer) historyGone() bool { return errors.Is(a.err, directory.ErrHistoryGone) }

// validAt returns a time at which the store certainly had nothing newer.
func (a answer) validAt() time.Time { return validAt(a.askedAt, a.receivedAt, a.changes) }

// maxPendingCalls bounds the overlapping calls of awaitReturn: those that begin within the
// longest timeout.
const maxPendingCalls = int(maxTimeout/maxRetryPause) + 1

// call makes one call to the store.
func (c *Controller) call(ctx context.Context, w *storeWatch, t directory.Topic, after directory.Revision) answer {
	a := answer{askedAt: time.Now()}
	timeout := c.timeout.next(a.askedAt)
	slow := c.reportIfSlow(w, t)
	a.changes, a.err = c.fetch(ctx, w, t, after, timeout)
	slow.Stop()
	a.receivedAt = time.Now()
	if a.err == nil {
		a.currentAt = c.dateByStoreClock(a)
	}
	switch {
	case a.err == nil && a.receivedAt.Sub(a.askedAt) < baseTimeout:
		c.timeout.reset()
	case errors.Is(a.err, context.DeadlineExceeded) && ctx.Err() == nil:
		c.timeout.timedOut(a.receivedAt, timeout)
	}
	return a
}

// awaitReturn calls the store until it answers, after a call that failed, or until ctx ends.
//
// About targets it doesn't wait for the timeout of one call before it makes the next: the hosts
// take the time without any answer for the length of the outage, and a store that is back must
// not seem to be out until the timeout of a call that it will never answer.
func (c *Controller) awaitReturn(ctx context.Context, w *storeWatch, t directory.Topic, after directory.Revision) answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	overlap := t == directory.TopicTargets && after > 0 // a read of all targets is large
	answers := make(chan answer, maxPendingCalls)
	pause := retryPause
	next := time.NewTimer(pause)
	defer next.Stop()
	armed := true
	for pending := 0; ; {
		select {
		case a := <-answers:
			pending--
			if a.err == nil || a.historyGone() {
				return a
			}
			c.storeFailed(w, t, a.askedAt, a.err)
		case <-next.C:
			armed = false
			pending++
			go func() { answers <- c.call(ctx, w, t, after) }()
			pause = min(2*pause, maxRetryPause)
		case <-ctx.Done():
			return answer{err: ctx.Err()}
		}
		if !armed && (pending == 0 || overlap && pending < maxPendingCalls) {
			next.Reset(pause)
			armed = true
		}
	}
}

// fetch makes one call to the store: a full read of the topic, or a watch that continues where
// the last call ended.
func (c *Controller) fetch(ctx context.Context, w *storeWatch, t directory.Topic, after directory.Revision, timeout time.Duration) (directory.Changes, error) {
	c.count.calls.Add(1)
	if after == 0 {
		return c.deps.Source.Read(ctx, t, timeout)
	}
	wait := watchers.WatchTimeout
	if w != nil && w.failing[t].Load() {
		wait = noWait // a store that is back answers at once
	} else if c.rank() > 0 {
		wait = watchers.SecondaryWatchTimeout
	}
	if left, scheduled := c.rereadIn(w, t); scheduled {
		if left <= 0 {
			return c.deps.Source.Read(ctx, t, timeout)
		}
		wait = min(wait, left)
	}
	w.wait.Store(int64(wait))
	return c.deps.Source.Watch(ctx, t, after, wait, timeout)
}
