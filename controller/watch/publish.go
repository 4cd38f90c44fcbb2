package watch

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/routing"
)

// publishConfig puts a configuration in force. The lock is held.
func (c *Controller) publishConfig(old, next *routing.Config, from ports.HostID) {
	directory.CheckForward(old, next)
	c.deps.Board.Routes.Store(routing.NewTable(next, c.rng))
	c.deps.Board.Status.Update(func(s blackboard.Status) (blackboard.Status, bool) {
		changed := !s.ConfigConfirmed
		s.ConfigConfirmed = true
		return s, changed
	})
	if n := next.Unknown(); n > 0 {
		c.deps.Log.Error("routes of an unknown kind, taken as at most once", zap.Uint64("version", next.Version), zap.Int("routes", n))
	}
	c.deps.Log.Info("configuration in force", zap.Uint64("version", next.Version),
		zap.Int("routes", len(next.Routes)), zap.String("from", string(from)))
}

// publishTargets puts the services whose targets have changed on the board. The lock is held.
func (c *Controller) publishTargets(now time.Time) {
	changed, expiry := c.state.Changed(now)
	c.expiry = expiry
	all := c.evacuationsChanged
	c.evacuationsChanged = false
	if all {
		changed = c.state.Services()
	}
	c.deps.Board.Targets.Update(func(old *blackboard.Targets) (*blackboard.Targets, bool) {
		view := &blackboard.Targets{ListVersion: uint64(c.state.Newest()), ByService: maps.Clone(old.ByService)}
		if view.ByService == nil {
			view.ByService = make(map[blackboard.ServiceKey][]blackboard.Target)
		}
		for _, name := range changed {
			key := blackboard.ServiceKey{Workspace: routing.Workspace, Service: name}
			view.ByService[key] = c.listOf(now, name, old.ByService[key], all)
			if len(view.ByService[key]) == 0 {
				delete(view.ByService, key)
			}
		}
		return view, len(changed) > 0 || view.ListVersion != old.ListVersion
	})
	if !c.state.HasTargets() {
		return
	}
	c.deps.Board.Status.Update(func(s blackboard.Status) (blackboard.Status, bool) {
		changed := s.TargetsUnknown
		s.TargetsUnknown = false
		return s, changed
	})
}

// listOf returns the targets of a service as the board shows them: those that have not changed,
// if not all are to be made anew, as they are in the old list. Both are sorted. The lock is held.
func (c *Controller) listOf(now time.Time, name string, old []blackboard.Target, all bool) []blackboard.Target {
	list := make([]blackboard.Target, 0, c.state.Count(name))
	for u, changed := range c.state.Show(name) {
		for len(old) > 0 && old[0].ID < u.ID {
			old = old[1:]
		}
		var before *blackboard.Target
		if len(old) > 0 && old[0].ID == u.ID {
			before = &old[0]
		}
		if before != nil && !changed && !all {
			list = append(list, *before)
			continue
		}
		t := target(now, u, before)
		t.Evacuated = c.state.Evacuations().Active(u.Zone)
		t.ReturnedAt = c.state.Evacuations().EndedAt(u.Zone)
		list = append(list, t)
	}
	return list
}

// target is a target as the board shows it; before is what it showed, or nil. A mark of leaving
// that came from the target's own answer stays for that run of it: the record lags behind it.
func target(now time.Time, u *directory.Usable, before *blackboard.Target) blackboard.Target {
	t := blackboard.Target{
		ID:          u.ID,
		Incarnation: u.Incarnation,
		Addr:        u.Addr,
		Zone:        u.Zone,
		Slots:       u.Slots,
		Leaving:     u.Draining,
		FirstSeen:   u.FirstSeen,
	}
	if u.WarmUp > 0 {
		t.WarmUntil = u.ListedAt.Add(u.WarmUp)
	}
	if before != nil && before.Leaving && !u.Incarnation.Replaces(before.Incarnation) {
		t.Leaving, t.LeavingSince = true, before.LeavingSince
	} else if t.Leaving {
		t.LeavingSince = now
	}
	return t
}

// maxLines is how many targets that a host learned of at once get a line each; with more,
// as at a start, one line counts them.
const maxLines = 20

// linesPerSecond and lineBurst bound the lines about targets of one host: in a release of
// thousands each host would write thousands.
const (
	linesPerSecond = 20
	lineBurst      = 200
)

// logTargets tells of targets that leave or are gone: each changes what this
// host believes.
func (c *Controller) logTargets(ch, news directory.Changes, from ports.HostID) {
	if ch.AllTargets && len(news.Targets) > maxLines {
		c.deps.Log.Info("targets read", zap.Int("targets", len(news.Targets)),
			zap.Stringer("revision", ch.Revision), zap.String("from", string(from)))
		return
	}
	for _, t := range news.Targets {
		if !c.lines.Allow() {
			c.count.linesDropped.Add(1)
			continue
		}
		word := "target listed"
		switch {
		case t.Unreadable:
			word = "target's entry names none"
		case t.Removed:
			word = "target gone"
		case t.Draining:
			word = "target leaving"
		}
		c.deps.Log.Info(word, zap.String("target", string(ports.NewRunID(t.ID, t.Incarnation))), zap.String("service", t.Service),
			zap.Stringer("revision", t.Revision), zap.Duration("hold", ch.Hold), zap.String("from", string(from)))
	}
}
