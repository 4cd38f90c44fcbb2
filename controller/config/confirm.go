package config

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/policy/instant"
)

// Counters of the ways in which a configuration was confirmed.
const (
	confirmedByStore = "confirmed_store"
	confirmedByPeer  = "confirmed_peer"
	confirmedByMost  = "confirmed_majority"
)

// Fresh reports whether the configuration was confirmed within Timings.Lapse.
// It is exact at the moment of the call, also in the first instant after a
// pause, while Status.ConfigConfirmed follows within Timings.Tick.
func (c *Controller) Fresh() bool {
	_, fresh := c.evidenceAge()
	return fresh
}

// evidenceAge returns how old the confirmation is, and whether it holds.
func (c *Controller) evidenceAge() (age time.Duration, fresh bool) {
	at := c.evidence.Load()
	if at == nil {
		return 0, false
	}
	age = instant.Elapsed(*at, c.Now())
	return age, age < c.Timings.Lapse
}

// confirm records that the configuration was the newest when it was asked for, less
// the age of the evidence. The instant of asking counts, not that of the answer: a host
// may be paused between the two, and the answer would look new though it is old.
func (c *Controller) confirm(asked time.Time, e evidence) {
	if woke := c.wokeAt.Load(); woke != nil && asked.Before(*woke) {
		return
	}
	advance(&c.evidence, asked.Add(-e.age))
	c.events.Add(e.how, 1)
	c.updateStatus()
}

// advance stores an instant unless a later one is there.
func advance(p *atomic.Pointer[time.Time], at time.Time) {
	for {
		old := p.Load()
		if old != nil && !old.Before(at) {
			return
		}
		if p.CompareAndSwap(old, &at) {
			return
		}
	}
}

// updateStatus writes Status.ConfigConfirmed.
func (c *Controller) updateStatus() {
	fresh := false
	changed := c.Board.Status.Update(func(s blackboard.Status) (blackboard.Status, bool) {
		fresh = c.Fresh()
		was := s.ConfigConfirmed
		s.ConfigConfirmed = fresh
		return s, was != fresh
	})
	if changed {
		c.Log.Info("config confirmation changed", zap.Bool("confirmed", fresh), zap.Uint64("sequence", c.Sequence()))
	}
}

// watchClock looks at the host's clock every tick: it withdraws a confirmation
// that has lapsed, notices that the host was paused, and asks peers while the
// store gives no answer.
func (c *Controller) watchClock(ctx context.Context) error {
	ticker := time.NewTicker(c.Timings.Tick)
	defer ticker.Stop()
	last := c.Now()
	round := newPeerRound()
	defer round.wait()
	round.start(ctx, c)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := c.Now()
		if instant.Elapsed(last, now) > c.Timings.Pause {
			c.noticePause(now, instant.Elapsed(last, now))
		}
		last = now
		c.updateStatus()
		if c.needsPeers(now) {
			round.start(ctx, c)
		}
	}
}

// noticePause withdraws the confirmation of a host that was paused: whatever it
// knew, or asked before, may be old by now.
func (c *Controller) noticePause(now time.Time, gap time.Duration) {
	c.events.Add("pauses", 1)
	c.Log.Warn("host was paused", zap.Duration("gap", gap))
	c.wokeAt.Store(&now)
	c.evidence.Store(nil)
	c.wake()
}

// needsPeers reports whether peers have to be asked: the store refuses or has
// been silent for long, or is left to other hosts to poll.
func (c *Controller) needsPeers(now time.Time) bool {
	if !c.isPoller() || !c.Fresh() || c.storeFailed.Load() {
		return true
	}
	seen := c.storeSeen.Load()
	return seen == nil || instant.Elapsed(*seen, now) > c.Timings.StoreQuiet
}
