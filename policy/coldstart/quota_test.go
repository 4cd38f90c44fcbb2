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

// What a cold target bears, and the most that may reach it in any second.
const (
	bears = 4.5
	most  = 14 // whole calls, bears x 1.5 + 8
)

func hosts(n int) []blackboard.Member {
	var list []blackboard.Member
	for i := range n {
		h := ports.Host{ID: ports.HostID(fmt.Sprint("h", i)), Zone: fmt.Sprint("z", i%3)}
		list = append(list, blackboard.Member{Host: h, State: blackboard.MemberLive, Ready: true})
	}
	return list
}

// limit is a host's part of a target's calls.
type limit interface{ Take(now time.Time) bool }

// evenPart is the way that is weighed against Quota: each host has the same part of the rate,
// and may save up one call.
type evenPart struct{ l *rate.Limiter }

func (e evenPart) Take(now time.Time) bool { return e.l.AllowN(now, 1) }

func newEvenPart(_, _ ports.HostID, _ string, perSecond float64, members []blackboard.Member) limit {
	return evenPart{rate.NewLimiter(rate.Limit(perSecond/float64(len(members))), 1)}
}

func newOwned(self, target ports.HostID, zone string, perSecond float64, members []blackboard.Member) limit {
	return NewQuota(self, target, zone, perSecond, members)
}

type way func(self, target ports.HostID, zone string, perSecond float64, members []blackboard.Member) limit

// pressure is what a cold zone of targets got.
type pressure struct {
	// worst is the most calls that reached one target within a second, taken the calls in all
	// over three seconds, wanted those that hosts would have sent.
	worst, taken, wanted int
}

// press has each host of a zone offer a call to a random target some times a second for three
// seconds. seen tells which hosts a host knows.
func press(w way, targets int, perSecond float64, all []blackboard.Member, seen func(self int) []blackboard.Member) (p pressure) {
	rng := rand.New(rand.NewPCG(1, 2))
	type pair struct{ host, target int }
	parts := make(map[pair]limit)
	at := make(map[int][]time.Duration)
	for ms := range 3000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for i, m := range all {
			if m.Host.Zone != "z0" || rng.Float64() >= perSecond/1000 {
				continue
			}
			p.wanted++
			for _, t := range rng.Perm(targets) {
				k := pair{i, t}
				if parts[k] == nil {
					parts[k] = w(m.Host.ID, ports.HostID(fmt.Sprint("t", t)), "z0", bears, seen(i))
				}
				if parts[k].Take(now) {
					at[t] = append(at[t], time.Duration(ms)*time.Millisecond)
					p.taken++
					break
				}
			}
		}
	}
	for _, times := range at {
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

// A zone of 52 targets comes back cold, and 35 hosts have calls for it. With even parts, each
// host may save up a call for each target: what reaches one at the same moment grows with the
// hosts. Owned by few, it stays within what a target bears, and hosts use most of what there
// is.
func TestFewOwnersKeepColdTargetsWithinBounds(t *testing.T) {
	all := hosts(103)
	know := func(int) []blackboard.Member { return all }
	for _, perSecond := range []float64{3, 10, 100} {
		owned := press(newOwned, 52, perSecond, all, know)
		even := press(newEvenPart, 52, perSecond, all, know)
		t.Logf("%v calls a second and host: owned %+v, even parts %+v", perSecond, owned, even)
		assert.Check(t, owned.worst <= most, "%+v", owned)
	}
	// All hosts turn to one target that alone is cold.
	owned := press(newOwned, 1, 100, all, know)
	even := press(newEvenPart, 1, 100, all, know)
	t.Logf("one target: owned %+v, even parts %+v", owned, even)
	assert.Check(t, owned.worst <= most, "%+v", owned)
	assert.Check(t, even.worst > most, "%+v", even)
}

// Hosts start, are cut off and come back: each knows two thirds of the others, and not the
// same. What reaches a cold target still stays within bounds.
func TestHostsThatDisagreeKeepColdTargetsWithinBounds(t *testing.T) {
	all := hosts(103)
	know := func(self int) []blackboard.Member {
		rng := rand.New(rand.NewPCG(uint64(self), 4))
		var list []blackboard.Member
		for i, m := range all {
			if i == self || rng.IntN(3) > 0 {
				list = append(list, m)
			}
		}
		return list
	}
	p := press(newOwned, 52, 20, all, know)
	t.Logf("%+v", p)
	assert.Check(t, p.worst <= most, "%+v", p)
}

// Each target has as many owners as its rate allows, all in its zone, and a host that goes
// takes few ownerships with it.
func TestOwnersAreFewAndNear(t *testing.T) {
	all := hosts(103)
	owners := func(target ports.HostID, zone string, members []blackboard.Member) map[ports.HostID]bool {
		set := make(map[ports.HostID]bool)
		for _, m := range members {
			if NewQuota(m.Host.ID, target, zone, bears, members).Available(start) {
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

// A target says that it is not cold any more, and that holds against what was presumed before;
// a later sign that it may have turned cold again counts.
func TestTargetsOwnWordGoesBeforeWhatIsPresumed(t *testing.T) {
	var b Estimate
	b.Infer(start, start.Add(3*time.Second), ZoneReturn)
	assert.Check(t, b.Cold(start) && !b.Confirmed())
	b.Observe(start, 0)
	assert.Check(t, !b.Cold(start) && b.Warm(start))
	assert.Check(t, b.Warm(start.Add(freshFor)))
	assert.Check(t, !b.Warm(start.Add(wordFor)), "a word of a while ago says little")
	b.MarkUsed()
	assert.Check(t, !b.Warm(start.Add(freshFor)), "an older word is good for one call")
	b.Infer(start, start.Add(-time.Second), Record)
	assert.Check(t, !b.Cold(start), "a time that has passed says nothing")
	b.Infer(start, start.Add(time.Second), Record)
	assert.Check(t, b.Cold(start))
	b.Observe(start, 2*time.Second)
	b.Infer(start, start.Add(time.Second), Record)
	assert.Equal(t, b.Basis(start), HealthAnswer)
	assert.Equal(t, b.Basis(start.Add(3*time.Second)), Unknown)
	assert.Check(t, b.Confirmed() && b.Cold(start.Add(1900*time.Millisecond)), "a sign does not shorten it")
}
