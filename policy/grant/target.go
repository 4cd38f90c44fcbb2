package grant

import (
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/policy/health"
	"github.com/cactusproxy/cactusproxy/policy/instant"
	"github.com/cactusproxy/cactusproxy/ports"
)

// target is the coordinator's state of a target.
type target struct {
	// The fields that every choice reads come first, to share one cache line.
	available   bool // listed, not leaving, and not running an exclusive attempt
	impaired    bool // ejected or on trial
	zone        zone
	otherLoad   int // attempts of others, by the target's last report
	attempts    []*attempt
	oldestGrant instant.Time // when the oldest attempt was granted
	// Until backoffUntil the target gets no more than backoffLimit attempts, because it refused
	// one.
	backoffUntil instant.Time
	backoffLimit int
	refusals     health.Refusals
	slowUntil    instant.Time // penalized until then for an overdue response

	id          ports.HostID
	listed      bool
	leaving     bool
	exclusive   bool // runs an exclusive attempt
	firstSeen   time.Time
	health      health.State
	lastGrant   time.Time
	lastEnd     time.Time
	otherLoadAt instant.Time
}

// zone is the number of an availability zone; see Coordinator.zone.
type zone uint16

func (t *target) inFlight() int { return len(t.attempts) }

// usable reports whether the target may get attempts at all.
func (t *target) usable() bool { return t.listed && !t.leaving }

// updateAvailable recomputes available after a change of what it depends on.
func (t *target) updateAvailable() { t.available = t.usable() && !t.exclusive }

func (t *target) add(c *attempt) {
	t.attempts = append(t.attempts, c)
	t.exclusive = t.exclusive || c.exclusive
	t.updateAvailable()
	if len(t.attempts) == 1 || c.grantedInstant < t.oldestGrant {
		t.oldestGrant = c.grantedInstant
	}
}

// remove removes an attempt and reports whether the target held it.
func (t *target) remove(c *attempt) bool {
	i := slices.Index(t.attempts, c)
	if i < 0 {
		return false
	}
	t.attempts = slices.Delete(t.attempts, i, i+1)
	t.exclusive = false
	t.oldestGrant = 0
	for i, x := range t.attempts {
		t.exclusive = t.exclusive || x.exclusive
		if i == 0 || x.grantedInstant < t.oldestGrant {
			t.oldestGrant = x.grantedInstant
		}
	}
	t.updateAvailable()
	return true
}

// otherLoadTTL is how long a reported load of others is used.
const otherLoadTTL = 20 * time.Millisecond

// observe applies what the result of an attempt says about its target.
func (b *Coordinator) observe(now time.Time, c *attempt, e Completion) {
	t := c.target
	if e.Leaving || e.Class == pick.Leaving {
		b.markLeaving(t)
	}
	switch e.Class {
	case pick.OK:
		t.refusals.Answered()
		if !c.queued || b.latencies.Count() < minSamples {
			b.latencies.Observe(e.Latency)
		}
		b.updateTurnaround(now, c, e)
		b.recordResult(now, t, false)
		b.markSlow(now, t, e.Latency)
	case pick.Failed, pick.TimedOut:
		b.recordResult(now, t, true)
	case pick.BrokeOff, pick.Foreign, pick.NotSent:
		b.recordResult(now, t, true)
		b.backOff(now, t)
	case pick.Shed:
		b.backOff(now, t)
	}
	if e.Load >= 0 && e.Class != Unused {
		t.otherLoad = max(e.Load-t.inFlight(), 0)
		t.otherLoadAt = b.clock.At(now)
	}
}

// maxSlow is the longest time that one overdue response counts against a target.
const maxSlow = 2 * time.Second

// markSlow penalizes a target whose response was overdue, for as long as the response took. At
// low load every target is idle again when the next call arrives, and no attempt in flight
// reveals the straggler: without this it would get its even share of the calls and delay each of
// them.
func (b *Coordinator) markSlow(now time.Time, t *target, took time.Duration) {
	if d := b.overdueAfter(); d > 0 && took > d {
		t.slowUntil = b.clock.At(now).Add(min(took, maxSlow))
	}
}

// backOff caps the attempts on a target at those in flight now, for a while.
func (b *Coordinator) backOff(now time.Time, t *target) {
	t.backoffUntil = b.clock.At(now).Add(t.refusals.Refused())
	t.backoffLimit = t.inFlight() - 1 // excluding the attempt that is ending
}

func (b *Coordinator) markLeaving(t *target) {
	if t.leaving {
		return
	}
	t.leaving = true
	t.updateAvailable()
	if b.reserved == t {
		b.reserved = nil
	}
	b.updateCapacity()
}

// updateTurnaround updates the time that a slot is idle between two attempts while release and
// grant are in transit. The completion says how long the attempt took at the entry host; the rest
// of the time since the grant was spent in transit.
func (b *Coordinator) updateTurnaround(now time.Time, c *attempt, e Completion) {
	turnaround := now.Sub(c.granted) - e.Latency
	if turnaround < 0 || turnaround > maxTurnaround {
		return
	}
	b.turnaround += (turnaround - b.turnaround) / 64
}

func (b *Coordinator) recordResult(now time.Time, t *target, failed bool) {
	b.failures.Record(failed)
	t.impaired = t.health.Ejected(now) || t.health.OnTrial()
	if t.health.Record(now, failed, &b.failures) && health.MayEject(b.CountEjected(now), len(b.targets)) {
		t.health.Eject(now, b.rng)
		t.impaired = true
		b.newlyEjected = append(b.newlyEjected, t.id)
	}
}

// CountEjected returns the number of targets that are ejected now.
func (b *Coordinator) CountEjected(now time.Time) int {
	n := 0
	for _, t := range b.targets {
		if t.listed && t.health.Ejected(now) {
			n++
		}
	}
	return n
}
