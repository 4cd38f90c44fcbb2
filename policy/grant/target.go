package grant

import (
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/policy/health"
	"github.com/cactusproxy/cactusproxy/policy/instant"
	"github.com/cactusproxy/cactusproxy/ports"
)

// target is a target as the coordinator sees it.
type target struct {
	// What every choice reads stands first, to fit into one cache line.
	open    bool // listed, not leaving, and not kept for one attempt alone
	doubted bool // health has something to say
	zone    zone
	foreign int // attempts of others that the target last reported
	calls   []*call
	oldest  instant.Time // grant of the oldest attempt
	// restUntil is the end of the time in which the target gets no more than
	// restLimit attempts, since it refused one.
	restUntil instant.Time
	restLimit int
	refusals  health.Refusals
	slowUntil instant.Time // until then an overdue answer is held against it

	id        ports.HostID
	listed    bool
	leaving   bool
	alone     bool // its attempt must stay the only one
	firstSeen time.Time
	health    health.State
	lastGrant time.Time
	lastEnd   time.Time
	foreignAt instant.Time
}

// zone stands for the name of an availability zone; see Coordinator.zone.
type zone uint16

func (t *target) inFlight() int { return len(t.calls) }

// usable reports whether the target may get attempts at all.
func (t *target) usable() bool { return t.listed && !t.leaving }

// setOpen brings open up to date after a change of what it depends on.
func (t *target) setOpen() { t.open = t.usable() && !t.alone }

func (t *target) add(c *call) {
	t.calls = append(t.calls, c)
	t.alone = t.alone || c.alone
	t.setOpen()
	if len(t.calls) == 1 || c.since < t.oldest {
		t.oldest = c.since
	}
}

// remove takes an attempt off the target and reports whether it was there.
func (t *target) remove(c *call) bool {
	i := slices.Index(t.calls, c)
	if i < 0 {
		return false
	}
	t.calls = slices.Delete(t.calls, i, i+1)
	t.alone = false
	t.oldest = 0
	for i, x := range t.calls {
		t.alone = t.alone || x.alone
		if i == 0 || x.since < t.oldest {
			t.oldest = x.since
		}
	}
	t.setOpen()
	return true
}

// foreignFor is how long a reported load of others is believed.
const foreignFor = 20 * time.Millisecond

// learn takes what the end of an attempt says about its target.
func (b *Coordinator) learn(now time.Time, c *call, e Completion) {
	t := c.target
	if e.Leaving || e.Class == pick.Leaving {
		b.leave(t)
	}
	switch e.Class {
	case pick.OK:
		t.refusals.Answered()
		if !c.queued || b.service.Count() < minSamples {
			b.service.Observe(e.Latency)
		}
		b.learnGap(now, c, e)
		b.record(now, t, false)
		b.learnSlow(now, t, e.Latency)
	case pick.Failed, pick.TimedOut:
		b.record(now, t, true)
	case pick.BrokeOff, pick.Foreign, pick.NotSent:
		b.record(now, t, true)
		b.rest(now, t)
	case pick.Shed:
		b.rest(now, t)
	}
	if e.Load >= 0 && e.Class != Unused {
		t.foreign = max(e.Load-t.inFlight(), 0)
		t.foreignAt = b.clock.At(now)
	}
}

// maxSlow bounds how long one overdue answer is held against a target.
const maxSlow = 2 * time.Second

// learnSlow remembers a target whose answer was overdue for as long as it took.
// At low load every target is idle again when the next call comes, and nothing in
// flight tells the straggler from the others: it would get its even share of the
// calls, and each of them its delay.
func (b *Coordinator) learnSlow(now time.Time, t *target, took time.Duration) {
	if d := b.overdueAfter(); d > 0 && took > d {
		t.slowUntil = b.clock.At(now).Add(min(took, maxSlow))
	}
}

// rest keeps more attempts than now are in flight off a target for a while.
func (b *Coordinator) rest(now time.Time, t *target) {
	t.restUntil = b.clock.At(now).Add(t.refusals.Refused())
	t.restLimit = t.inFlight() - 1 // the one that ends is still among them
}

func (b *Coordinator) leave(t *target) {
	if t.leaving {
		return
	}
	t.leaving = true
	t.setOpen()
	if b.reserved == t {
		b.reserved = nil
	}
	b.count()
}

// learnGap learns how long a slot stands empty between two attempts because
// grant and release are on their way. The release tells how long the attempt
// took at the entry host; the rest of the time from the grant was the journey.
func (b *Coordinator) learnGap(now time.Time, c *call, e Completion) {
	gap := now.Sub(c.granted) - e.Latency
	if gap < 0 || gap > maxGap {
		return
	}
	b.gap += (gap - b.gap) / 64
}

func (b *Coordinator) record(now time.Time, t *target, failed bool) {
	b.failures.Record(failed)
	t.doubted = t.health.Ejected(now) || t.health.OnTrial()
	if t.health.Record(now, failed, &b.failures) && health.MayEject(b.CountEjected(now), len(b.targets)) {
		t.health.Eject(now, b.rng)
		t.doubted = true
		b.newlyOut = append(b.newlyOut, t.id)
	}
}

// CountEjected returns how many targets are left out at present.
func (b *Coordinator) CountEjected(now time.Time) int {
	n := 0
	for _, t := range b.targets {
		if t.listed && t.health.Ejected(now) {
			n++
		}
	}
	return n
}
