package coldstart

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/ports"
)

var start = time.Unix(1000, 0)

// capacity is the calls per second that a cold target bears, maxPerSecond the most that may reach
// it within any second.
const (
	capacity     = 4.5
	maxPerSecond = 14 // whole calls: capacity x 1.5 + 8
)

func hosts(n int) []blackboard.Member {
	var list []blackboard.Member
	for i := range n {
		h := ports.Host{ID: ports.HostID(fmt.Sprint("h", i)), Zone: fmt.Sprint("z", i%3)}
		list = append(list, blackboard.Member{Host: h, State: blackboard.MemberLive, Ready: true})
	}
	return list
}

// limiter is a host's share of a target's calls.
type limiter interface{ Take(now time.Time) bool }

// evenShare is the alternative that Quota is compared with: each host has the same share of the
// rate and may save up one call.
type evenShare struct{ l *rate.Limiter }

func (e evenShare) Take(now time.Time) bool { return e.l.AllowN(now, 1) }

func newEvenShare(_, _ ports.HostID, _ string, perSecond float64, members []blackboard.Member) limiter {
	return evenShare{rate.NewLimiter(rate.Limit(perSecond/float64(len(members))), 1)}
}

func newOwned(self, target ports.HostID, zone string, perSecond float64, members []blackboard.Member) limiter {
	return newQuota(self, target, zone, perSecond, members)
}

func newQuota(self, target ports.HostID, zone string, perSecond float64, members []blackboard.Member) *Quota {
	q := &Quota{}
	q.Assign(start, perSecond, OwnershipOf(self, target, zone, perSecond, members))
	return q
}

type newLimiter func(self, target ports.HostID, zone string, perSecond float64, members []blackboard.Member) limiter

// zoneLoad is the load on a cold zone of targets.
type zoneLoad struct {
	// worst is the most calls that reached one target within a second, sent the number of calls
	// sent over three seconds, and wanted the number that hosts tried to send.
	worst, sent, wanted int
}

// simulate has each host of a zone offer calls to random targets at the given rate for three
// seconds. seen returns the hosts that a host knows.
func simulate(w newLimiter, targets int, perSecond float64, all []blackboard.Member, seen func(self int) []blackboard.Member) (p zoneLoad) {
	rng := rand.New(rand.NewPCG(1, 2))
	type pair struct{ host, target int }
	limiters := make(map[pair]limiter)
	sentAt := make(map[int][]time.Duration)
	for ms := range 3000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for i, m := range all {
			if m.Host.Zone != "z0" || rng.Float64() >= perSecond/1000 {
				continue
			}
			p.wanted++
			for _, t := range rng.Perm(targets) {
				k := pair{i, t}
				if limiters[k] == nil {
					limiters[k] = w(m.Host.ID, ports.HostID(fmt.Sprint("t", t)), "z0", capacity, seen(i))
				}
				if limiters[k].Take(now) {
					sentAt[t] = append(sentAt[t], time.Duration(ms)*time.Millisecond)
					p.sent++
					break
				}
			}
		}
	}
	for _, times := range sentAt {
		for i := range times {
			n := 0
			for _, other := range times[i:] {
				if other-times[i] < time.Second {
					n++
				}
			}
			p.worst = max(p.worst, n)
		}
	}
	return p
}

// A zone of 52 targets comes back cold while 35 hosts have calls for it. With even shares each
// host may save up a call per target, so the burst on one target grows with the number of hosts.
// With few owners it stays within the target's capacity, and hosts still use most of that.
func TestFewOwnersKeepColdTargetsWithinBounds(t *testing.T) {
	all := hosts(103)
	view := func(int) []blackboard.Member { return all }
	for _, perSecond := range []float64{3, 10, 100} {
		owned := simulate(newOwned, 52, perSecond, all, view)
		even := simulate(newEvenShare, 52, perSecond, all, view)
		t.Logf("%v calls per second and host: owned %+v, even shares %+v", perSecond, owned, even)
		assert.Check(t, owned.worst <= maxPerSecond, "%+v", owned)
	}
	// All hosts send to a single cold target.
	owned := simulate(newOwned, 1, 100, all, view)
	even := simulate(newEvenShare, 1, 100, all, view)
	t.Logf("one target: owned %+v, even shares %+v", owned, even)
	assert.Check(t, owned.worst <= maxPerSecond, "%+v", owned)
	assert.Check(t, even.worst > maxPerSecond, "%+v", even)
}

// Each host knows a different two thirds of the others, as during starts and partitions. The load
// on a cold target must stay within bounds.
func TestHostsThatDisagreeKeepColdTargetsWithinBounds(t *testing.T) {
	all := hosts(103)
	view := func(self int) []blackboard.Member {
		rng := rand.New(rand.NewPCG(uint64(self), 4))
		var list []blackboard.Member
		for i, m := range all {
			if i == self || rng.IntN(3) > 0 {
				list = append(list, m)
			}
		}
		return list
	}
	p := simulate(newOwned, 52, 20, all, view)
	t.Logf("%+v", p)
	assert.Check(t, p.worst <= maxPerSecond, "%+v", p)
}

// Each target has as many owners as its rate allows, all in its zone, and the loss of a host
// moves few ownerships.
func TestOwnersAreFewAndInTheZone(t *testing.T) {
	all := hosts(103)
	owners := func(target ports.HostID, zone string, members []blackboard.Member) map[ports.HostID]bool {
		set := make(map[ports.HostID]bool)
		for _, m := range members {
			if newQuota(m.Host.ID, target, zone, capacity, members).Available(start) {
				set[m.Host.ID] = true
			}
		}
		return set
	}
	moved := 0
	for i := range 50 {
		target := ports.HostID(fmt.Sprint("t", i))
		set := owners(target, "z1", all)
		assert.Equal(t, len(set), 4)
		for id := range set {
			m, _ := (&blackboard.Members{Members: all}).Find(id)
			assert.Equal(t, m.Host.Zone, "z1")
		}
		for id := range owners(target, "z1", all[:102]) {
			if !set[id] {
				moved++
			}
		}
		assert.Equal(t, len(owners(target, "nowhere", all)), 4, "a zone without hosts")
	}
	assert.Check(t, moved < 20, "%d", moved)
}

func TestOwners(t *testing.T) {
	for _, tc := range []struct {
		perSecond   float64
		hosts, want int
	}{{4.5, 103, 4}, {0.3, 103, 1}, {4.5, 2, 2}, {100, 14, 14}} {
		assert.Equal(t, OwnerCount(tc.perSecond, tc.hosts), tc.want)
	}
}

// A target's own report that it is warm overrides earlier inferences; a later indication that it
// may have turned cold again counts.
func TestOwnReportOverridesInference(t *testing.T) {
	var b Estimate
	b.Infer(start, start.Add(3*time.Second), ZoneReturn)
	assert.Check(t, b.Cold(start) && !b.Confirmed())
	b.Observe(start.Add(-time.Millisecond), start, 0)
	assert.Check(t, !b.Cold(start) && b.Warm(start))
	assert.Check(t, b.Warm(start.Add(reportTTL-2*time.Millisecond)))
	assert.Check(t, !b.Warm(start.Add(reportTTL-time.Millisecond)), "a report has expired as long after it was asked for")
	b.Infer(start, start.Add(-time.Second), Record)
	assert.Check(t, !b.Cold(start), "a time in the past is ignored")
	b.Infer(start, start.Add(time.Second), Record)
	assert.Check(t, b.Cold(start))
	b.Observe(start, start, 2*time.Second)
	b.Infer(start, start.Add(time.Second), Record)
	assert.Equal(t, b.Basis(start), HealthAnswer)
	assert.Equal(t, b.Basis(start.Add(3*time.Second)), Unknown)
	assert.Check(t, b.Confirmed() && b.Cold(start.Add(1900*time.Millisecond)), "an inference does not shorten the estimate")
}
