package grant

import (
	"time"

	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/platform"
	"github.com/cactusproxy/cactusproxy/policy/health"
)

// target is a target as the coordinator sees it.
type target struct {
	id        platform.HostID
	listed    bool
	leaving   bool
	firstSeen time.Time
	health    health.State
	calls     []*call
	oldest    time.Time // grant of the oldest attempt
	alone     bool      // its attempt must stay the only one
	lastGrant time.Time
	lastEnd   time.Time
	// slowUntil is the end of the time in which an overdue answer is held
	// against the target.
	slowUntil time.Time
	// shedUntil is the end of the time in which the target gets no more than
	// shedLimit attempts, since it refused one.
	shedUntil time.Time
	shedLimit int
	// foreign is how many attempts of others the target last reported.
	foreign   int
	foreignAt time.Time
}

func (t *target) inFlight() int { return len(t.calls) }

// usable reports whether the target may get attempts at all.
func (t *target) usable() bool { return t.listed && !t.leaving }

func (t *target) add(c *call) {
	t.calls = append(t.calls, c)
	t.alone = t.alone || c.alone
	if len(t.calls) == 1 || c.granted.Before(t.oldest) {
		t.oldest = c.granted
	}
}

func (t *target) remove(c *call) {
	for i, x := range t.calls {
		if x == c {
			t.calls = append(t.calls[:i], t.calls[i+1:]...)
			break
		}
	}
	t.alone = false
	t.oldest = time.Time{}
	for _, x := range t.calls {
		t.alone = t.alone || x.alone
		if t.oldest.IsZero() || x.granted.Before(t.oldest) {
			t.oldest = x.granted
		}
	}
}

// Times for which a sign is held against a target.
const (
	shedFor    = 50 * time.Millisecond
	foreignFor = 20 * time.Millisecond
)

// learn takes what the end of an attempt says about its target.
func (b *Book) learn(now time.Time, c *call, e End) {
	t := c.target
	if e.Leaving || e.Class == pick.Leaving {
		b.leave(t)
	}
	switch e.Class {
	case pick.OK:
		b.service.Observe(e.Latency)
		b.learnGap(now, c, e)
		b.learnSlow(now, t, e)
		b.record(now, t, false)
	case pick.Failed, pick.BrokeOff, pick.TimedOut, pick.NotSent:
		b.record(now, t, true)
	case pick.Shed:
		t.shedUntil = now.Add(shedFor)
		t.shedLimit = max(t.inFlight()-1, 1)
	}
	if e.Load >= 0 && e.Class != Returned {
		t.foreign = max(e.Load-t.inFlight(), 0)
		t.foreignAt = now
	}
}

func (b *Book) leave(t *target) {
	if t.leaving {
		return
	}
	t.leaving = true
	if b.reserved == t {
		b.reserved = nil
	}
	b.count()
}

// learnGap learns how long a slot stands empty between two attempts because
// grant and release are on their way. The release tells how long the attempt
// took at the entry host; the rest of the time from the grant was the journey.
func (b *Book) learnGap(now time.Time, c *call, e End) {
	gap := now.Sub(c.granted) - e.Latency
	if gap < 0 || gap > maxGap {
		return
	}
	b.gap += (gap - b.gap) / 64
}

// learnSlow remembers for a while that an answer took much longer than usual.
func (b *Book) learnSlow(now time.Time, t *target, e End) {
	if limit := b.overdueAfter(); limit > 0 && e.Latency > limit {
		t.slowUntil = now.Add(slowFor)
	} else {
		t.slowUntil = time.Time{}
	}
}

func (b *Book) record(now time.Time, t *target, failed bool) {
	b.failures.Record(failed)
	if t.health.Record(now, failed, &b.failures) && health.Allowed(b.countEjected(now), len(b.targets)) {
		t.health.Eject(now, b.rng)
		b.newlyOut = append(b.newlyOut, t.id)
	}
}

func (b *Book) countEjected(now time.Time) int {
	n := 0
	for _, t := range b.targets {
		if t.listed && t.health.Ejected(now) {
			n++
		}
	}
	return n
}
