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

// publishConfig puts a configuration into effect. c.mu must be held.
func (c *Controller) publishConfig(old, next *routing.Config, from ports.HostID) {
	directory.AssertNewer(old, next)
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

// publishTargets publishes the services whose targets have changed on the board. c.mu must be
// held.
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
			view.ByService[key] = c.boardTargets(now, name, old.ByService[key], all)
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

// boardTargets returns the targets of a service for the board. It reuses those of the old list
// that have not changed, unless all is set. Both lists are sorted by ID. c.mu must be held.
func (c *Controller) boardTargets(now time.Time, name string, old []blackboard.Target, all bool) []blackboard.Target {
	list := make([]blackboard.Target, 0, c.state.Count(name))
	for u, changed := range c.state.VisitTargets(name) {
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
		t := boardTarget(now, u, before)
		t.Evacuated = c.state.Evacuations().Active(u.Zone)
		t.ReturnedAt = c.state.Evacuations().EndedAt(u.Zone)
		list = append(list, t)
	}
	return list
}

// boardTarget converts a target for the board; before is the published one, or nil. If the
// target's own response marked it as leaving, the mark stays for that incarnation, because the
// store lags behind the target.
func boardTarget(now time.Time, u *directory.Usable, before *blackboard.Target) blackboard.Target {
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

// maxTargetLines is how many targets learned at once are logged one by one; if there are more,
// as at a start, a single line gives their number.
const maxTargetLines = 20

// linesPerSecond and lineBurst limit the log lines about targets: during a release of thousands
// of targets each host would write thousands of lines.
const (
	linesPerSecond = 20
	lineBurst      = 200
)

// logTargets logs targets that were listed, are leaving or are gone.
func (c *Controller) logTargets(ch, applied directory.Changes, from ports.HostID) {
	if ch.AllTargets && len(applied.Targets) > maxTargetLines {
		c.deps.Log.Info("targets read", zap.Int("targets", len(applied.Targets)),
			zap.Stringer("revision", ch.Revision), zap.String("from", string(from)))
		return
	}
	for _, t := range applied.Targets {
		if !c.logLimiter.Allow() {
			c.count.linesDropped.Add(1)
			continue
		}
		message := "target listed"
		switch {
		case t.Unreadable:
			message = "target's entry names none"
		case t.Removed:
			message = "target gone"
		case t.Draining:
			message = "target leaving"
		}
		c.deps.Log.Info(message, zap.String("target", string(ports.NewRunID(t.ID, t.Incarnation))), zap.String("service", t.Service),
			zap.Stringer("revision", t.Revision), zap.Duration("hold", ch.Hold), zap.String("from", string(from)))
	}
}
