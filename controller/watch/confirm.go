package watch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/denial"
	"github.com/cactusproxy/cactusproxy/policy/instant"
	"github.com/cactusproxy/cactusproxy/policy/watchers"
	"github.com/cactusproxy/cactusproxy/ports"
)

// confirmTimeout bounds what a caller waits until hosts that watch the store have said whether
// the configuration at hand is the newest: a round trip takes 1 to 3 ms inside a region.
const confirmTimeout = 100 * time.Millisecond

// timerShare is the part of a wait, one in so many, by which the store's timer and this host's
// may differ: far more than timers do, and 45 ms of a wait of 0.9 s.
const timerShare = 20

// hear takes in that some host told of a version of the configuration.
func (c *Controller) hear(version uint64) {
	c.deps.Board.Confirmation.Update(func(old blackboard.Confirmation) (blackboard.Confirmation, bool) {
		heard := version > old.Newest
		old.Newest = max(old.Newest, version)
		return old, heard
	})
}

// certainAt returns when what an answer of the store says was certainly so. An answer without
// any change was made when the wait was over, but for what the two timers may differ; for any
// other the moment of asking counts.
//
// What was so at the moment of asking is known whatever the answer met on its way; dated by its
// arrival, a late one would have hosts deny routes that were added meanwhile.
func certainAt(asked, now time.Time, ch directory.Changes) time.Time {
	held := ch.Waited - ch.Waited/timerShare
	if now.Sub(asked) < held {
		return asked
	}
	return asked.Add(held)
}

// noteConfig takes in when an answer on the configuration was certainly so. One that holds
// another configuration than the one at hand confirms nothing: it was refused here, or the
// answer is a stale one. Neither do answers after it that tell of no change, until one holds
// the configuration at hand. The lock is held.
func (c *Controller) noteConfig(w *watching, ch directory.Changes, at time.Time) {
	other := ch.ConfigUnread || ch.Config != nil && ch.Config.Version != c.version()
	switch {
	case other:
		w.configAt = time.Time{}
	case ch.Config != nil || !w.configAt.IsZero():
		w.configAt = at
	}
}

// Confirm finds out whether the configuration at hand is the newest, and puts what it learns on
// the board. It returns once it knows, at the latest after confirmTimeout, or when ctx ends.
//
// Heartbeats would tell without asking, but not how long they were on their way: on a link that
// was full they had hosts deny routes that were added 3 s before.
func (c *Controller) Confirm(ctx context.Context) {
	done := c.asking.DoChan("", func() (any, error) {
		c.askWatchers()
		return nil, nil
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// askWatchers asks the hosts that watch, this one first, until one has had word from the store
// that is young.
func (c *Controller) askWatchers() {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	now := time.Now()
	c.mu.Lock()
	reply := c.howNew(now)
	ids := watchers.FreshWatchers(now, c.beats)
	c.mu.Unlock()
	if c.confirmed(now, reply) {
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

// askWatcher asks one host, and reports whether its word is young. What it says was so
// by its age before the moment of asking, whatever the question and the reply met on their way.
func (c *Controller) askWatcher(ctx context.Context, id ports.HostID) bool {
	asked := time.Now()
	reply, err := peer.Call[confirmReply](ctx, c.deps.Link, id, kindConfirm, confirmRequest{})
	if err != nil {
		c.deps.Log.Debug("peer did not tell how new its configuration is", zap.String("peer", string(id)), zap.Error(err))
		return false
	}
	return c.confirmed(asked, reply)
}

// confirmed takes in how new the configuration of a host was at a moment, and reports whether
// nobody else needs to be asked.
//
// A word that is about to be too old does not end the asking: it would be too old when the answer is
// written.
func (c *Controller) confirmed(at time.Time, r confirmReply) bool {
	c.hear(r.Version)
	if !r.Known {
		return false
	}
	c.confirm(at.Add(-r.Age))
	return instant.Elapsed(at.Add(-r.Age), time.Now()) <= denial.FreshAge
}

// onConfirm tells another host how new this one's configuration is.
func (c *Controller) onConfirm(context.Context, ports.HostID, confirmRequest) (confirmReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.howNew(time.Now()), nil
}

// howNew returns how new this host's configuration is. The lock is held.
func (c *Controller) howNew(now time.Time) confirmReply {
	r := confirmReply{Version: c.version()}
	if c.watch != nil && !c.watch.configAt.IsZero() {
		r.Known, r.Age = true, instant.Elapsed(c.watch.configAt, now)
	}
	return r
}

// confirm takes in that at a moment the store had no configuration newer than the newest that
// this host has heard of.
func (c *Controller) confirm(at time.Time) {
	c.deps.Board.Confirmation.Update(func(old blackboard.Confirmation) (blackboard.Confirmation, bool) {
		if !at.After(old.At) {
			return old, false
		}
		old.At = at
		return old, true
	})
}

// logBehind tells that this host lacks something that another one has, and asks for it.
func (c *Controller) logBehind(heardFrom ports.HostID) {
	heard := c.deps.Board.Confirmation.Load()
	c.mu.Lock()
	version, revision := c.version(), c.state.Newest()
	c.mu.Unlock()
	c.deps.Log.Info("behind, asking others", zap.Uint64("version", version), zap.Uint64("newest", heard.Newest),
		zap.Stringer("revision", revision), zap.String("from", string(heardFrom)))
}

// confirmationMetrics is what operators see of how new the configuration at hand is.
type confirmationMetrics struct {
	Version uint64 `json:"version"`
	Newest  uint64 `json:"newest"`
	// ConfirmedMS is the age of the last confirmation in milliseconds, -1 if there was none.
	ConfirmedMS int64 `json:"confirmed_ms"`
}

func (c *Controller) confirmationMetrics() any {
	heard := c.deps.Board.Confirmation.Load()
	m := confirmationMetrics{Newest: heard.Newest, ConfirmedMS: -1}
	if table := c.deps.Board.Routes.Load(); table != nil {
		m.Version = table.Config.Version
	}
	if !heard.At.IsZero() {
		m.ConfirmedMS = instant.Elapsed(heard.At, time.Now()).Milliseconds()
	}
	return m
}
