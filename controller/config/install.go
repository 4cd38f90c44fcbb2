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

// Counters of config_events and config_refused.
const (
	eventPush     = "applied_push"
	eventStore    = "applied_store"
	eventPeer     = "applied_peer"
	eventCommit   = "applied_commit"
	refusedStale  = "stale_sequence"
	refusedGap    = "sequence_gap"
	refusedDamage = "damaged_snapshot"
)

// Sequence returns the sequence number in force on this host.
func (c *Controller) Sequence() uint64 { return c.Board.Config.Load().Sequence }

func isNewer(present, next uint64) bool { return next > present }

// applied tells what became of a change or configuration offered to the host.
type applied uint8

const (
	appliedNow applied = iota + 1
	appliedStale
	appliedGap
)

// applyChange puts a change in force if it is the next one.
func (c *Controller) applyChange(ch Change, event string) applied {
	c.mu.Lock()
	defer c.mu.Unlock()
	cur := c.Board.Config.Load()
	if !c.admit(cur.Sequence, ch.Sequence) {
		c.refused.Add(refusedStale, 1)
		return appliedStale
	}
	if ch.Sequence > cur.Sequence+1 {
		// Changes are deltas: applying this one over the gap would leave out
		// another workspace's change while the sequence says it is there.
		c.refused.Add(refusedGap, 1)
		return appliedGap
	}
	c.store(withWorkspace(cur, ch), event)
	c.recent = append(c.recent, ch.delta())
	if len(c.recent) > maxRecent {
		c.recent = slices.Clone(c.recent[len(c.recent)-maxRecent:])
	}
	return appliedNow
}

// installConfig puts a whole configuration in force if it is newer.
func (c *Controller) installConfig(next *declare.Config, event string) applied {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.admit(c.Sequence(), next.Sequence) {
		c.refused.Add(refusedStale, 1)
		return appliedStale
	}
	c.store(next, event)
	c.recent = nil
	return appliedNow
}

// store publishes a configuration; c.mu is held.
func (c *Controller) store(next *declare.Config, event string) {
	cur := c.Sequence()
	invariant.Check(next.Sequence > cur, invariant.ConfigForward,
		"host %s would go from sequence %d to %d", c.Link.Self(), cur, next.Sequence)
	c.Board.Config.Store(next)
	c.events.Add(event, 1)
	c.Log.Info("config applied", zap.Uint64("sequence", next.Sequence), zap.String("by", event))
}

// withWorkspace returns the configuration with one workspace replaced.
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

// changesAfter returns the changes that follow a sequence number, or false if
// they are no longer all in memory.
func (c *Controller) changesAfter(sequence uint64) ([]Change, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sequence >= c.Sequence() {
		return nil, true
	}
	i := slices.IndexFunc(c.recent, func(ch Change) bool { return ch.Sequence == sequence+1 })
	if i < 0 {
		return nil, false
	}
	return slices.Clone(c.recent[i:]), true
}
