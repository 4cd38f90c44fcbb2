package watch

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/routing"
)

// noWait is the wait of a watch that returns at once.
const noWait time.Duration = 0

// withOlderTargets adds to changes of the configuration topic the changes of targets that
// preceded them, so that every host applies both at once.
//
// The topics are watched separately, and changes of targets are gathered for gatherDelay. An
// evacuation that overtook the targets listed for it elsewhere, or a configuration that overtook
// those of a new service, would make every host refuse calls for want of a target.
func (c *Controller) withOlderTargets(ctx context.Context, ch directory.Changes) directory.Changes {
	after, needed := c.olderTargetsNeeded(ch)
	if !needed {
		return ch
	}
	c.count.calls.Add(1)
	older, err := c.deps.Source.Watch(ctx, directory.TopicTargets, after, noWait, baseTimeout)
	if err != nil {
		c.count.failed.Add(1)
		c.deps.Log.Warn("changes applied without the targets that preceded them",
			zap.Stringer("revision", ch.Revision), zap.Stringer("targets_revision", after), zap.Error(err))
		return ch
	}
	ch.Targets = older.Targets
	return ch
}

// olderTargetsNeeded reports whether applying the changes could leave a service without targets,
// and the revision as of which all targets are known.
func (c *Controller) olderTargetsNeeded(ch directory.Changes) (after directory.Revision, needed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	after = c.state.CompleteAt()
	if after == 0 || after >= ch.Revision {
		return after, false
	}
	return after, slices.ContainsFunc(ch.Evacuations, c.state.Evacuations().Begins) || c.namesEmptyService(ch.Config)
}

// namesEmptyService reports whether a configuration is new and has a service of which no target
// is known. c.mu must be held.
func (c *Controller) namesEmptyService(cfg *routing.Config) bool {
	return cfg != nil && cfg.Version > c.version() && slices.ContainsFunc(cfg.Services, func(s routing.Service) bool {
		return c.state.Count(s.Name) == 0
	})
}
