package watch

import (
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/policy/watchers"
	"github.com/cactusproxy/cactusproxy/ports"
)

// maxTransits bounds the watchers whose heartbeats are measured. Two watch at a time; more are
// left from hosts that watched before.
const maxTransits = 64

// hear takes in that some host told of a version of the configuration.
func (c *Controller) hear(version uint64) {
	c.deps.Board.Confirmation.Update(func(old blackboard.Confirmation) (blackboard.Confirmation, bool) {
		heard := version > old.Newest
		old.Newest = max(old.Newest, version)
		return old, heard
	})
}

// confirmByWatch takes in an answer of the store to this host's own watch. A configuration that
// can not be read is newer than the one at hand: until one is read again, answers that tell of
// no change confirm nothing.
func (c *Controller) confirmByWatch(now time.Time, w *watching, ch directory.Changes) {
	if ch.ConfigUnread || ch.Config != nil {
		w.configUnread.Store(ch.ConfigUnread)
	}
	if w.serves() && !w.configUnread.Load() {
		c.confirm(now.Add(-w.storeAge(now)))
	}
}

// confirmByBeat takes in a watcher's heartbeat. The lock is held.
func (c *Controller) confirmByBeat(now time.Time, b beat) {
	late := c.lateness(now, b)
	if b.StoreOK && !b.ConfigUnread {
		c.confirm(now.Add(-b.StoreAge - late))
	}
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

// lateness returns how long a heartbeat waited on its way. The lock is held.
func (c *Controller) lateness(now time.Time, b beat) time.Duration {
	if b.Sent == 0 {
		return 0
	}
	t := c.transits[b.Host]
	if t == nil {
		if len(c.transits) >= maxTransits {
			clear(c.transits)
		}
		t = new(watchers.Transit)
		c.transits[b.Host] = t
	}
	return t.Late(now, b.Sent)
}

// logBehind tells that this host lacks something that another one has, and asks for it.
func (c *Controller) logBehind(heardFrom ports.HostID) {
	heard := c.deps.Board.Confirmation.Load()
	c.mu.Lock()
	version, revision := c.version(), c.state.Newest()
	c.mu.Unlock()
	c.deps.Log.Info("behind, asking others", zap.Uint64("version", version), zap.Uint64("newest", heard.Newest),
		zap.Uint64("revision", uint64(revision)), zap.String("from", string(heardFrom)))
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
		m.ConfirmedMS = time.Since(heard.At).Milliseconds()
	}
	return m
}
