package watch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/policy/staleness"
	"github.com/cactusproxy/cactusproxy/policy/watchers"
	"github.com/cactusproxy/cactusproxy/ports"
)

// refreshHosts is how many random hosts are asked for what this one may lack, after the watcher that
// sent the latest heartbeat.
const refreshHosts = 4

// refreshes are the attempts to bring a replica up to date that is too old to route calls by it.
type refreshes struct {
	policy staleness.Refreshes
	// running is set while a refresh runs. released is closed once the calls that wait for it may
	// go on: at its end or when the replica is up to date.
	running  bool
	released chan struct{}
}

// AwaitCurrent reports whether calls may be routed by this host's replica. If it is too old, the
// host brings it up to date, and AwaitCurrent waits until that has succeeded or failed, or ctx ends.
func (c *Controller) AwaitCurrent(ctx context.Context) bool {
	for c.replica.age(time.Now()) > staleness.MaxAge {
		route, released := c.decideCall(time.Now())
		if route || released == nil {
			return route
		}
		select {
		case <-released:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// decideCall reports whether a call may be routed by a replica that is too old. Otherwise the call is
// to wait for the channel, and to be refused if that is nil.
func (c *Controller) decideCall(now time.Time) (route bool, released <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.refreshes.policy.Decide(now, staleness.Replica{
		Age:      c.replica.age(now),
		Lacking:  c.lacks(),
		StoreOut: watchers.StoreOut(now, c.heartbeats),
	})
	if d.Refresh && !c.refreshes.running {
		c.startRefresh(now)
	}
	if d.Route || !d.Refresh {
		return d.Route, nil
	}
	return false, c.refreshes.released
}

// startRefresh starts to bring the replica up to date. c.mu must be held.
func (c *Controller) startRefresh(now time.Time) {
	c.refreshes.running, c.refreshes.released = true, make(chan struct{})
	c.count.refreshes.Add(1)
	c.deps.Log.Info("replica may be out of date, asking others", zap.Duration("age", c.replica.messageAge(now)),
		zap.Bool("lacking", c.lacks()), zap.Uint64("version", c.version()),
		zap.Uint64("newest", c.deps.Board.Confirmation.Load().Newest), zap.Stringer("revision", c.state.Newest()))
	go c.refresh(now)
}

// refresh asks other hosts, and the store as well once all of them have replied in vain or after
// hedgeDelay. A host that has just started asks both at once: the others may have started with it.
func (c *Controller) refresh(began time.Time) {
	ctx := context.Background()
	outdated := func() bool { return c.replica.age(time.Now()) > staleness.MaxAge }
	asked := make(chan struct{})
	go func() {
		defer close(asked)
		c.fetchHedged(ctx, c.refreshOrder(), hedgeDelay, "", outdated)
	}()
	delay := hedgeDelay
	if c.replica.age(began) == neverCurrent {
		delay = 0
	}
	select {
	case <-asked:
	case <-time.After(delay):
	}
	c.readIfBehind(ctx, outdated)
	<-asked
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	upToDate := !outdated()
	c.refreshes.policy.Ended(began, now, upToDate)
	c.refreshes.running = false
	c.releaseCalls()
	if !upToDate {
		c.count.refreshesFailed.Add(1)
	}
	c.deps.Log.Info("asked others for what the replica may lack", zap.Bool("up_to_date", upToDate), zap.Duration("took", now.Sub(began)),
		zap.Uint64("version", c.version()), zap.Stringer("revision", c.state.Newest()))
}

// refreshOrder returns the hosts to ask.
func (c *Controller) refreshOrder() []ports.HostID {
	return append(c.lastHeard(), c.anyHosts(refreshHosts)...)
}

// lastHeard returns the watcher that sent the latest heartbeat, if any.
func (c *Controller) lastHeard() (list []ports.HostID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var latest time.Time
	for id, b := range c.heartbeats {
		if b.SentAt.After(latest) {
			latest, list = b.SentAt, []ports.HostID{id}
		}
	}
	return list
}

// releaseCalls lets the calls go on that wait for a refresh. c.mu must be held.
func (c *Controller) releaseCalls() {
	if c.refreshes.released != nil {
		close(c.refreshes.released)
		c.refreshes.released = nil
	}
}
