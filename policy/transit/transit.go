// Package transit estimates how long messages of another host were in transit.
//
// Messages queue for seconds on saturated links. A host that takes what it receives for news
// would go by a state that has long been replaced.
package transit

import "time"

const (
	// preciseWithin is the uncertainty up to which a measurement of a clock is good enough.
	preciseWithin = 50 * time.Millisecond
	// usefulWithin is the uncertainty up to which a measurement tells more than the growth of the
	// transit times.
	usefulWithin = 300 * time.Millisecond
	// preciseFor is how long a measurement is not repeated: clocks drift apart by up to 0.1 ms a
	// second.
	preciseFor = time.Minute
	// noticeable is the transit time from which it may be the clocks that have changed.
	noticeable = 100 * time.Millisecond
)

// Clock relates the steady clock of another host to that of this one. Both count from moments of
// their own, so that their readings differ by an unknown offset. The zero Clock is unmeasured.
type Clock struct {
	measured bool
	// offset is at most what a reading of this host exceeds one of the other host made at the
	// same moment.
	offset time.Duration
	// uncertainty is how much offset may fall short of that, measuredAt when it was last
	// measured, by this host's clock.
	uncertainty, measuredAt time.Duration
	// received is set once a message was received. least is then the least difference between the
	// readings at which messages were received and sent, so offset is no more than that.
	received bool
	least    time.Duration
}

// Measure records a reading that another host sent in its reply to a request. All arguments are
// readings: requested and received of this host's clock, theirs of the other host's in between.
func (c *Clock) Measure(requested, received, theirs time.Duration) {
	next := *c
	next.measured, next.measuredAt = true, received
	next.offset, next.uncertainty = requested-theirs, received-requested
	recent := c.measured && received-c.measuredAt < preciseFor
	highest := c.offset + c.uncertainty
	switch {
	case recent && next.offset < c.offset && next.uncertainty > c.uncertainty:
		return // it tells less than the one before
	case recent && next.offset >= c.offset && next.offset <= highest:
		next.uncertainty = min(next.uncertainty, highest-next.offset)
	}
	*c = next
}

// Receive records that a message sent at a reading of the other host's clock was received at one of
// this host's.
func (c *Clock) Receive(sent, received time.Duration) {
	if !c.received || received-sent < c.least {
		c.received, c.least = true, received-sent
	}
	if received-sent < c.offset {
		c.offset = received - sent // nothing arrives before it was sent: the clocks have drifted
	}
}

// Transit returns for how long at most a message was in transit, or false if the clock is
// unmeasured.
func (c *Clock) Transit(sent, received time.Duration) (time.Duration, bool) {
	return received - sent - c.offset, c.measured
}

// Growth returns by how much longer a message was in transit than the fastest one so far.
func (c *Clock) Growth(sent, received time.Duration) time.Duration { return received - sent - c.least }

// Useful reports whether the clock was measured well enough to go by Transit alone.
func (c *Clock) Useful() bool { return c.measured && c.uncertainty <= usefulWithin }

// NeedsMeasurement reports whether the clock is to be measured before a transit time is believed.
func (c *Clock) NeedsMeasurement(transit, now time.Duration) bool {
	if !c.measured {
		return true
	}
	precise := c.uncertainty <= preciseWithin && now-c.measuredAt < preciseFor
	return transit > noticeable && !precise
}
