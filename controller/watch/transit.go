package watch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/transit"
	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// lateHeartbeat is the time in transit from which heartbeats are counted and logged as late.
	lateHeartbeat = 300 * time.Millisecond
	// measureEvery limits how often a host measures the clock of another.
	measureEvery = time.Second
	// measurementCost is the processor time that a request takes on a small host, with its
	// connection. All hosts measure the clock of a watcher that takes over, spread over as long as
	// it needs for all.
	measurementCost = 2500 * time.Microsecond
)

// sender is what this host knows of the clock of a host that sends heartbeats.
type sender struct {
	// start distinguishes the processes of the host, as in directory.Host.
	start int64
	// firstAt is when its first heartbeat was received.
	firstAt time.Time
	clock   transit.Clock
	// nextMeasurement is the earliest time at which the clock is measured again.
	nextMeasurement time.Time
	// late is set while the heartbeats of the host are late.
	late bool
}

// reading returns the reading of this host's steady clock at a time.
func (c *Controller) reading(at time.Time) time.Duration { return at.Sub(c.started) }

// senderOf returns what is known of the process of a host that sent a heartbeat. c.mu must be held.
func (c *Controller) senderOf(now time.Time, id ports.HostID, start int64) *sender {
	s := c.senders[id]
	if s == nil || s.start != start {
		s = &sender{start: start, firstAt: now}
		c.senders[id] = s
	}
	return s
}

// sentAt returns the earliest time at which a heartbeat received now can have been sent, and whether
// that is certain: until the clock of its sender has been measured, a queue that was there from the
// first heartbeat does not show. c.mu must be held.
func (c *Controller) sentAt(now time.Time, from ports.HostID, b heartbeat) (at time.Time, certain bool) {
	if b.Sent == 0 {
		return now, false // a host of an earlier release does not tell
	}
	s := c.senderOf(now, from, b.Host.Start)
	s.clock.Receive(b.Sent, c.reading(now))
	took, known := s.clock.Transit(b.Sent, c.reading(now))
	if s.clock.NeedsMeasurement(took, c.reading(now)) && !now.Before(s.nextMeasurement) {
		s.nextMeasurement = now.Add(c.measurementSpread() + measureEvery)
		c.scheduleMeasurement(from)
	}
	switch {
	case !s.clock.Useful() && now.Sub(s.firstAt) < c.measurementSpread()+measureEvery:
		took, known = s.clock.Growth(b.Sent, c.reading(now)), false
	case !known:
		return s.firstAt, false
	}
	c.noteTransit(from, s, took)
	return now.Add(-took), known
}

// noteTransit counts late heartbeats, and logs when those of a host become late and when they are
// in time again. c.mu must be held.
func (c *Controller) noteTransit(from ports.HostID, s *sender, took time.Duration) {
	late := took > lateHeartbeat
	if late {
		c.count.lateHeartbeats.Add(1)
	}
	if late == s.late || !c.logLimiter.Allow() {
		return
	}
	s.late = late
	message := "heartbeats in time again"
	if late {
		message = "heartbeats arrive late"
	}
	c.deps.Log.Info(message, zap.String("from", string(from)), zap.Duration("transit", took))
}

// measurementSpread is the time over which all hosts measure the clock of a watcher. c.mu must be
// held.
func (c *Controller) measurementSpread() time.Duration {
	return time.Duration(len(c.hosts)) * measurementCost
}

// scheduleMeasurement measures the clock of a watcher. Until that is done, or has taken too long,
// its heartbeats are dated by the growth of their transit time, which does not show a queue that
// was full from the start. c.mu must be held.
func (c *Controller) scheduleMeasurement(id ports.HostID) {
	delay := time.Duration(c.rng.Int64N(int64(c.measurementSpread())))
	time.AfterFunc(delay, func() {
		ctx, cancel := context.WithTimeout(context.Background(), measureEvery)
		defer cancel()
		c.callConfirm(ctx, id)
	})
}

// callConfirm asks a watcher how recently its configuration was confirmed, and measures its clock
// by the reply.
func (c *Controller) callConfirm(ctx context.Context, id ports.HostID) (confirmReply, error) {
	asked := time.Now()
	reply, err := peer.Call[confirmReply](ctx, c.deps.Link, id, kindConfirm, confirmRequest{})
	if err != nil {
		c.deps.Log.Debug("failed to ask peer for its confirmation of the configuration", zap.String("peer", string(id)), zap.Error(err))
		return reply, err
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.senders[id]; s != nil && s.start == reply.Start && reply.Clock > 0 {
		s.clock.Measure(c.reading(asked), c.reading(now), reply.Clock)
	}
	return reply, nil
}
