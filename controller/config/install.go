package config

import (
	"slices"
	"strings"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/internal/invariant"
)

// maxRecent bounds the changes kept in memory for peers that lack them.
const maxRecent = 64

// Keys of the metrics maps config_events and config_refused.
const (
	eventPush      = "applied_push"
	eventStore     = "applied_store"
	eventPeer      = "applied_peer"
	eventCommit    = "applied_commit"
	refusedStale   = "stale_sequence"
	refusedGap     = "sequence_gap"
	refusedDamaged = "damaged_snapshot"
)

// Sequence returns the sequence number of the host's active configuration.
func (c *Controller) Sequence() uint64 { return c.Board.Config.Load().Sequence }

func isNewer(present, next uint64) bool { return next > present }

// applyStatus is the result of applying a change or a whole configuration.
type applyStatus uint8

const (
	applyDone applyStatus = iota + 1
	applyStale
	applyGap
)

// applyChange applies a change if its sequence number is the next one.
func (c *Controller) applyChange(ch Change, event string) applyStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	cur := c.Board.Config.Load()
	if !c.accepts(cur.Sequence, ch.Sequence) {
		c.refused.Add(refusedStale, 1)
		return applyStale
	}
	if ch.Sequence > cur.Sequence+1 {
		// A change holds one workspace only. Applying it across a gap would leave out the
		// changes of other workspaces while the sequence number says that they are
		// included.
		c.refused.Add(refusedGap, 1)
		return applyGap
	}
	c.publish(withWorkspace(cur, ch), event)
	c.recentChanges = append(c.recentChanges, ch.withoutSource())
	if len(c.recentChanges) > maxRecent {
		c.recentChanges = slices.Clone(c.recentChanges[len(c.recentChanges)-maxRecent:])
	}
	return applyDone
}

// installConfig replaces the whole configuration if the given one is newer.
func (c *Controller) installConfig(next *declare.Config, event string) applyStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.accepts(c.Sequence(), next.Sequence) {
		c.refused.Add(refusedStale, 1)
		return applyStale
	}
	c.publish(next, event)
	c.recentChanges = nil
	return applyDone
}

// publish makes a configuration the active one. c.mu must be held.
func (c *Controller) publish(next *declare.Config, event string) {
	cur := c.Sequence()
	invariant.Check(next.Sequence > cur, invariant.ConfigForward,
		"host %s would go from sequence %d to %d", c.Link.Self(), cur, next.Sequence)
	c.Board.Config.Store(next)
	c.events.Add(event, 1)
	c.Log.Info("config applied", zap.Uint64("sequence", next.Sequence), zap.String("by", event))
}

// withWorkspace returns a copy of the configuration with the changed workspace replaced
// or added.
func withWorkspace(cur *declare.Config, ch Change) *declare.Config {
	next := &declare.Config{Sequence: ch.Sequence, Workspaces: slices.Clone(cur.Workspaces)}
	i, found := slices.BinarySearchFunc(next.Workspaces, ch.Workspace.Name, func(w declare.Workspace, name string) int {
		return strings.Compare(w.Name, name)
	})
	if found {
		next.Workspaces[i] = ch.Workspace
	} else {
		next.Workspaces = slices.Insert(next.Workspaces, i, ch.Workspace)
	}
	return next
}

// changesAfter returns the changes that follow a sequence number, or false if some of
// them are no longer in memory.
func (c *Controller) changesAfter(sequence uint64) ([]Change, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sequence >= c.Sequence() {
		return nil, true
	}
	i := slices.IndexFunc(c.recentChanges, func(ch Change) bool { return ch.Sequence == sequence+1 })
	if i < 0 {
		return nil, false
	}
	return slices.Clone(c.recentChanges[i:]), true
}
