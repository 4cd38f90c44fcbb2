package config

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/policy/instant"
)

// Counters by the source of a confirmation.
const (
	confirmedByStore    = "confirmed_store"
	confirmedByPeer     = "confirmed_peer"
	confirmedByMajority = "confirmed_majority"
)

// Fresh reports whether the configuration was confirmed within Timings.ConfirmationTTL.
// It is exact at the moment of the call, even directly after a pause, whereas
// Status.ConfigConfirmed may lag by up to Timings.ClockInterval.
func (c *Controller) Fresh() bool {
	_, fresh := c.confirmationAge()
	return fresh
}

// confirmationAge returns the age of the confirmation, and whether it is still valid.
func (c *Controller) confirmationAge() (age time.Duration, fresh bool) {
	at := c.confirmation.Load()
	if at == nil {
		return 0, false
	}
	age = instant.Elapsed(*at, c.Now())
	return age, age < c.Timings.ConfirmationTTL
}

// confirm records that the configuration was the newest at askedAt less the age of the
// confirmation. The time of the request counts, not that of the reply: if the host is
// paused between the two, an old reply would look new.
func (c *Controller) confirm(askedAt time.Time, e confirmation) {
	if resumed := c.resumedAt.Load(); resumed != nil && askedAt.Before(*resumed) {
		return
	}
	advance(&c.confirmation, askedAt.Add(-e.age))
	c.events.Add(e.source, 1)
	c.updateStatus()
}

// advance stores a time unless a later one is stored already.
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

// watchClock checks the host's clock every ClockInterval. It withdraws a confirmation
// that has expired, detects that the host was paused, and queries peers while the store
// doesn't answer.
func (c *Controller) watchClock(ctx context.Context) error {
	ticker := time.NewTicker(c.Timings.ClockInterval)
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
		if instant.Elapsed(last, now) > c.Timings.PauseThreshold {
			c.handlePause(now, instant.Elapsed(last, now))
		}
		last = now
		c.updateStatus()
		if c.needsPeers(now) {
			round.start(ctx, c)
		}
	}
}

// handlePause withdraws the confirmation of a host that was paused: replies received, or
// requested, before the pause may be out of date.
func (c *Controller) handlePause(now time.Time, gap time.Duration) {
	c.events.Add("pauses", 1)
	c.Log.Warn("host was paused", zap.Duration("gap", gap))
	c.resumedAt.Store(&now)
	c.confirmation.Store(nil)
	c.triggerPoll()
}

// needsPeers reports whether to query peers: if the store fails or has not answered for
// PeerFallbackDelay, if the configuration isn't confirmed, or if this host doesn't poll
// the store.
func (c *Controller) needsPeers(now time.Time) bool {
	if !c.isPoller() || !c.Fresh() || c.storeFailed.Load() {
		return true
	}
	seen := c.storeReadAt.Load()
	return seen == nil || instant.Elapsed(*seen, now) > c.Timings.PeerFallbackDelay
}
