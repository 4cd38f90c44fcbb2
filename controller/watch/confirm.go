package watch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/policy/denial"
	"github.com/cactusproxy/cactusproxy/policy/instant"
	"github.com/cactusproxy/cactusproxy/policy/watchers"
	"github.com/cactusproxy/cactusproxy/ports"
)

// confirmTimeout bounds how long a caller waits for the watchers to say whether the current
// configuration is the newest: a round trip takes 1 to 3 ms within a region.
const confirmTimeout = 100 * time.Millisecond

// timerSkewDivisor bounds the difference between the store's timer and this host's as a fraction
// of a wait, 1/timerSkewDivisor. That is far more than timers differ, and 45 ms of a wait of 0.9
// s.
const timerSkewDivisor = 20

// noteVersion records that some host has a version of the configuration.
func (c *Controller) noteVersion(version uint64) {
	c.deps.Board.Confirmation.Update(func(old blackboard.Confirmation) (blackboard.Confirmation, bool) {
		newer := version > old.Newest
		old.Newest = max(old.Newest, version)
		return old, newer
	})
}

// validAt returns a time at which the content of a store answer was certainly current. An answer
// without changes was made when its wait ended, give or take the difference between the two
// timers; any other answer is dated by when it was requested.
//
// What was true at the time of the request holds however long the answer takes. Dated by its
// arrival, a delayed answer would make hosts deny routes that were added in the meantime.
func validAt(asked, now time.Time, ch directory.Changes) time.Time {
	held := ch.Waited - ch.Waited/timerSkewDivisor
	if now.Sub(asked) < held {
		return asked
	}
	return asked.Add(held)
}

// noteConfig records when a store answer on the configuration was certainly current. An answer
// with a configuration other than the current one confirms nothing: either this host rejected
// that configuration or the answer is stale. Nor do later answers without changes, until one
// carries the current configuration. c.mu must be held.
func (c *Controller) noteConfig(w *storeWatch, ch directory.Changes, at time.Time) {
	other := ch.ConfigUnreadable || ch.Config != nil && ch.Config.Version != c.version()
	switch {
	case other:
		w.configAt = time.Time{}
	case ch.Config != nil || !w.configAt.IsZero():
		w.configAt = at
	}
}

// Confirm finds out whether the current configuration is the newest and publishes what it learns
// on the board. It returns once that is known, after confirmTimeout, or when ctx ends.
//
// Heartbeats carry the same information without a request, but not how long they were in
// transit: over a saturated link they made hosts deny routes that had been added 3 s before.
func (c *Controller) Confirm(ctx context.Context) {
	done := c.confirmGroup.DoChan("", func() (any, error) {
		c.askWatchers()
		return nil, nil
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// askWatchers asks the watchers, this host first, until one has a recent enough confirmation
// from the store.
func (c *Controller) askWatchers() {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	now := time.Now()
	c.mu.Lock()
	reply := c.configFreshness(now)
	ids := watchers.FreshWatchers(now, c.heartbeats)
	c.mu.Unlock()
	if c.applyConfirmation(now, reply) {
		return
	}
	answers := make(chan bool, len(ids))
	for _, id := range ids {
		go func() { answers <- c.askWatcher(ctx, id) }()
	}
	for range ids {
		if <-answers {
			return
		}
	}
}

// askWatcher asks one watcher and reports whether its confirmation is recent enough. The age in
// the reply counts back from the time of the request, so delays in transit do not matter.
func (c *Controller) askWatcher(ctx context.Context, id ports.HostID) bool {
	asked := time.Now()
	reply, err := c.callConfirm(ctx, id)
	return err == nil && c.applyConfirmation(asked, reply)
}

// applyConfirmation records a host's reply about its configuration as of a time, and reports
// whether no other host needs to be asked.
//
// A confirmation that is about to become too old does not end the search: it would be too old by
// the time the response is written.
func (c *Controller) applyConfirmation(at time.Time, r confirmReply) bool {
	c.noteVersion(r.Version)
	if !r.Known {
		return false
	}
	c.noteConfirmed(at.Add(-r.Age))
	return instant.Elapsed(at.Add(-r.Age), time.Now()) <= denial.FreshAge
}

// onConfirm replies with how recently this host's configuration was confirmed.
func (c *Controller) onConfirm(context.Context, ports.HostID, confirmRequest) (confirmReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.configFreshness(time.Now()), nil
}

// configFreshness returns this host's version of the configuration and when the store last
// confirmed it. c.mu must be held.
func (c *Controller) configFreshness(now time.Time) confirmReply {
	r := confirmReply{Version: c.version(), Start: c.deps.Self.Start, Clock: c.reading(now)}
	if c.watch != nil && !c.watch.configAt.IsZero() {
		r.Known, r.Age = true, instant.Elapsed(c.watch.configAt, now)
	}
	return r
}

// noteConfirmed records that at a time the store had no configuration newer than the newest one
// this host has heard of.
func (c *Controller) noteConfirmed(at time.Time) {
	c.deps.Board.Confirmation.Update(func(old blackboard.Confirmation) (blackboard.Confirmation, bool) {
		if !at.After(old.At) {
			return old, false
		}
		old.At = at
		return old, true
	})
}

// logBehind logs that this host lacks a change that another host has.
func (c *Controller) logBehind(from ports.HostID) {
	confirmation := c.deps.Board.Confirmation.Load()
	c.mu.Lock()
	version, revision := c.version(), c.state.Newest()
	c.mu.Unlock()
	c.deps.Log.Info("behind, asking others", zap.Uint64("version", version), zap.Uint64("newest", confirmation.Newest),
		zap.Stringer("revision", revision), zap.String("from", string(from)))
}

// confirmationMetrics shows operators how recently the current configuration was confirmed.
type confirmationMetrics struct {
	Version uint64 `json:"version"`
	Newest  uint64 `json:"newest"`
	// ConfirmedMS is the age of the last confirmation in milliseconds, -1 if there was none.
	ConfirmedMS int64 `json:"confirmed_ms"`
	// ReplicaAgeMS is how long ago this host's copy of the state was certainly complete, in
	// milliseconds, -1 if it never was.
	ReplicaAgeMS int64 `json:"replica_age_ms"`
}

func (c *Controller) confirmationMetrics() any {
	confirmation := c.deps.Board.Confirmation.Load()
	m := confirmationMetrics{Newest: confirmation.Newest, ConfirmedMS: -1, ReplicaAgeMS: -1}
	if age := c.replica.age(time.Now()); age != neverCurrent {
		m.ReplicaAgeMS = age.Milliseconds()
	}
	if table := c.deps.Board.Routes.Load(); table != nil {
		m.Version = table.Config.Version
	}
	if !confirmation.At.IsZero() {
		m.ConfirmedMS = instant.Elapsed(confirmation.At, time.Now()).Milliseconds()
	}
	return m
}
