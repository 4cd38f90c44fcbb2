package admission

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/peer"
	policy "github.com/cactusproxy/cactusproxy/policy/admission"
	"github.com/cactusproxy/cactusproxy/policy/rendezvous"
	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// reportsPerSecond is the number of reports that an owner gets while its service is short of
	// room. If there are more hosts than that allows, each reports less often.
	reportsPerSecond = 400
	// reportTimeout bounds a report and its reply; a round trip takes 1 to 3 ms.
	reportTimeout = 150 * time.Millisecond
	// ownerBackoff is how long a host that didn't reply gets no reports.
	ownerBackoff = 5 * time.Second
	// maxOwnersAsked is the number of hosts to which one report is sent until one replies.
	maxOwnersAsked = 3
	// idleTTL is the time without requests after which a host forgets a service.
	idleTTL = time.Minute
	// viewTTL is the time without reports after which an owner forgets a service.
	viewTTL = 3 * time.Second
)

// maxPeriod bounds the time between two reports, since levels lose weight with age.
const maxPeriod = time.Second

// period returns the time between two reports of a host.
func period(hosts int) time.Duration {
	return min(max(policy.Interval, time.Duration(hosts)*time.Second/reportsPerSecond), maxPeriod)
}

// Run reports to owners until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	c.mu.Lock()
	timer := time.NewTimer(time.Duration(c.rng.Float64() * float64(policy.Interval))) // hosts report at different times
	c.mu.Unlock()
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-timer.C:
			timer.Reset(period(len(c.deps.Board.Members.Load().Members)))
			c.reportAll(ctx, now)
		}
	}
}

// reportAll reports on each service that may be short of room, and forgets old views and backoffs.
func (c *Controller) reportAll(ctx context.Context, now time.Time) {
	c.mu.Lock()
	services := make([]*service, 0, len(c.services))
	for key, s := range c.services {
		services = append(services, s)
		if s.idle(now) {
			delete(c.services, key)
		}
	}
	for key, v := range c.views {
		if now.Sub(v.reportedAt) > viewTTL {
			delete(c.views, key)
		}
	}
	for id, until := range c.unreachable {
		if now.After(until) {
			delete(c.unreachable, id)
		}
	}
	c.mu.Unlock()
	for _, s := range services {
		if r, due := s.takeReport(now); due {
			go c.report(ctx, s, r)
		}
	}
}

// report sends a report to the owner of its service and puts the level of the reply in force. If
// the owner doesn't reply, the next hosts are asked; if none does, this host's own view is used.
func (c *Controller) report(ctx context.Context, s *service, r report) {
	c.count.reports.Add(1)
	defer s.endReport()
	for range maxOwnersAsked {
		owner := c.owner(r.key())
		if owner == c.self {
			break
		}
		reply, err := c.ask(ctx, owner, r)
		if err == nil {
			if reply.Known {
				s.setLevel(time.Now(), reply.level())
			}
			return
		}
		if ctx.Err() != nil {
			return // this host is stopping
		}
		c.count.reportsFailed.Add(1)
		c.deps.Log.Info("owner of admission did not reply", zap.String("service", r.Service), zap.String("peer", string(owner)), zap.Error(err))
		c.mu.Lock()
		c.unreachable[owner] = time.Now().Add(ownerBackoff)
		c.mu.Unlock()
	}
	if l, known := c.view(time.Now(), &r); known {
		s.setLevel(time.Now(), l)
	}
}

func (c *Controller) ask(ctx context.Context, owner ports.HostID, r report) (levelReply, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return peer.Call[levelReply](ctx, c.deps.Link, owner, peer.KindAdmission+kindReport, r)
}

// owner returns the host that owns a service, among those that this host can reach.
func (c *Controller) owner(key blackboard.ServiceKey) ports.HostID {
	members := c.deps.Board.Members.Load().Members
	c.mu.Lock()
	reachable := make([]blackboard.Member, 0, len(members))
	for _, m := range members {
		if _, failed := c.unreachable[m.Host.ID]; !failed {
			reachable = append(reachable, m)
		}
	}
	c.mu.Unlock()
	m, ok := rendezvous.Owner("admission/"+key.String(), reachable)
	if !ok {
		return c.self
	}
	return m.Host.ID
}

// ownedView is an owner's view of a service.
type ownedView struct {
	policy.View
	// level is known after the first period.
	level policy.Level
	known bool
	// nextAt is when the next level is due, reportedAt when the last report came.
	nextAt, reportedAt time.Time
}

// onReport adds a report of another host and replies with the level.
func (c *Controller) onReport(_ context.Context, _ ports.HostID, r report) (levelReply, error) {
	c.count.owned.Add(1)
	l, known := c.view(time.Now(), &r)
	return replyOf(l, known), nil
}

// view adds a report to the view of its service and returns the level, which changes once in a
// period. It returns false before the end of the first.
func (c *Controller) view(now time.Time, r *report) (policy.Level, bool) {
	weights := c.currentScope().weights
	c.mu.Lock()
	defer c.mu.Unlock()
	key := r.key()
	v := c.views[key]
	if v == nil {
		v = &ownedView{nextAt: now.Add(period(len(c.deps.Board.Members.Load().Members)))}
		c.views[key] = v
	}
	v.reportedAt = now
	v.Report(r.demand(), r.Seen)
	if !now.Before(v.nextAt) {
		v.level, v.known = v.Next(weights), true
		v.nextAt = now.Add(period(len(c.deps.Board.Members.Load().Members)))
		if v.level.Limited {
			c.count.limited.Add(1)
		}
	}
	return v.level, v.known
}
