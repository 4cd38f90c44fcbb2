package coldstart

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/ports"
)

var historySeeds = flag.Uint64("history-seeds", 20, "seeds of TestRandomHistoriesKeepWithinTheLimit")

// Parameters of the histories.
const (
	historyHosts  = 36
	historyLength = 20 * time.Second
	historyStep   = 10 * time.Millisecond
	// maxLag is how long after others a host may learn of a change, maxStartLag how long after its
	// start it may learn of all hosts.
	maxLag      = time.Second
	maxStartLag = 3 * time.Second
)

// historyHost is one host of a history.
type historyHost struct {
	id    ports.HostID
	hosts *Hosts
	quota Quota
	list  *blackboard.Members
	// pending are lists that the host has not learned of yet, in order.
	pending []pendingList
	// downUntil is when the host starts again, knowsAllAt when it knows all hosts.
	downUntil, knowsAllAt time.Time
}

type pendingList struct {
	at      time.Time
	members []blackboard.Member
}

// history is a random sequence of changes of the list of hosts, of which each host learns at another
// time, and of restarts, while all hosts have calls for one cold target.
type history struct {
	rng   *rand.Rand
	all   []blackboard.Member
	away  map[ports.HostID]bool
	hosts []*historyHost
	sent  []time.Time
}

func newHistory(seed uint64) *history {
	h := &history{rng: rand.New(rand.NewPCG(seed, 63)), away: make(map[ports.HostID]bool)}
	for _, m := range hosts(3 * historyHosts) {
		if m.Host.Zone == "z0" {
			h.all = append(h.all, m)
			h.hosts = append(h.hosts, &historyHost{id: m.Host.ID})
		}
	}
	for _, x := range h.hosts {
		h.start(start, x)
	}
	return h
}

func (h *history) listed() (list []blackboard.Member) {
	for _, m := range h.all {
		if !h.away[m.Host.ID] {
			list = append(list, m)
		}
	}
	return list
}

// start starts a host, which knows few others at first.
func (h *history) start(now time.Time, x *historyHost) {
	x.hosts, x.quota, x.pending = NewHosts(now), Quota{}, nil
	x.knowsAllAt = now.Add(time.Duration(h.rng.Int64N(int64(maxStartLag))))
	x.list = &blackboard.Members{Self: x.id}
	for _, m := range h.all {
		if m.Host.ID == x.id || h.rng.IntN(12) == 0 {
			x.list.Members = append(x.list.Members, m)
		}
	}
}

// change makes a host leave the list or return to it.
func (h *history) change(now time.Time) {
	id := h.all[h.rng.IntN(len(h.all))].Host.ID
	h.away[id] = !h.away[id]
	members := h.listed()
	for _, x := range h.hosts {
		at := now.Add(time.Duration(h.rng.Int64N(int64(maxLag))))
		if n := len(x.pending); n > 0 && at.Before(x.pending[n-1].at) {
			at = x.pending[n-1].at
		}
		x.pending = append(x.pending, pendingList{at, members})
	}
}

// learn applies the lists that a host learns of by now.
func (h *history) learn(now time.Time, x *historyHost) {
	for len(x.pending) > 0 && !now.Before(x.pending[0].at) {
		if x.list.Complete {
			x.list = &blackboard.Members{Self: x.id, Complete: true, Members: x.pending[0].members}
		}
		x.pending = x.pending[1:]
	}
	if !x.list.Complete && !now.Before(x.knowsAllAt) {
		x.list = &blackboard.Members{Self: x.id, Complete: true, Members: h.listed()}
	}
}

// send sends a call of a host if its quota allows one.
func (h *history) send(now time.Time, x *historyHost) {
	v := x.hosts.View(now, x.list)
	x.quota.Assign(now, capacity, v.OwnershipOf("t", "z0", capacity))
	if v.MayOwn(now) && x.quota.Take(now) {
		h.sent = append(h.sent, now)
	}
}

func (h *history) play(changeEvery, restartEvery time.Duration) {
	for now := start; now.Before(start.Add(historyLength)); now = now.Add(historyStep) {
		if h.rng.Int64N(int64(changeEvery)) < int64(historyStep) {
			h.change(now)
		}
		if h.rng.Int64N(int64(restartEvery)) < int64(historyStep) {
			x := h.hosts[h.rng.IntN(len(h.hosts))]
			x.downUntil = now.Add(time.Duration(h.rng.Int64N(int64(time.Second / 2))))
			h.start(x.downUntil, x)
		}
		for _, i := range h.rng.Perm(len(h.hosts)) {
			x := h.hosts[i]
			if now.Before(x.downUntil) {
				continue
			}
			h.learn(now, x)
			h.send(now, x)
		}
	}
}

// most returns the most calls within any second.
func (h *history) most() (most int) {
	first := 0
	for i, at := range h.sent {
		for at.Sub(h.sent[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a cold target's limit that is exceeded by owners before and after a change of the
// list of hosts, hosts that learn of it late, and hosts that have just started.
func TestRandomHistoriesKeepWithinTheLimit(t *testing.T) {
	worst, calls := 0, 0
	for seed := range *historySeeds {
		h := newHistory(seed)
		changeEvery := historyStep << (seed % 8)
		restartEvery := 8 * historyStep << (seed / 8 % 8)
		h.play(changeEvery, restartEvery)
		worst, calls = max(worst, h.most()), calls+len(h.sent)
		assert.Check(t, h.most() <= maxPerSecond, "seed %d: %d in a second", seed, h.most())
	}
	t.Logf("at most %d a second, %d calls a second on average", worst, calls/int(*historySeeds)/int(historyLength.Seconds()))
}

// Guards against hosts that disagree forever, each knowing two thirds of the others, and flood a cold
// target.
func TestHostsThatDisagreeForeverKeepWithinTheLimit(t *testing.T) {
	for seed := range *historySeeds {
		h := newHistory(seed)
		for _, x := range h.hosts {
			x.list = &blackboard.Members{Self: x.id, Complete: true}
			for _, m := range h.all {
				if m.Host.ID == x.id || h.rng.IntN(3) > 0 {
					x.list.Members = append(x.list.Members, m)
				}
			}
		}
		h.play(time.Hour, time.Hour)
		t.Logf("seed %d: at most %d a second", seed, h.most())
		assert.Check(t, h.most() <= maxPerSecond, "seed %d: %d in a second", seed, h.most())
	}
}

// Guards against a share that is idle for long after its owner has left, or is never taken over.
func TestShareIsTakenOverOnceItsOwnerHasBeenAwayForLong(t *testing.T) {
	all := hosts(3 * historyHosts)
	list := func(members []blackboard.Member) *blackboard.Members {
		return &blackboard.Members{Self: all[0].Host.ID, Complete: true, Members: members}
	}
	h := NewHosts(start)
	full := list(all)
	others := list(all[:1])
	assert.Check(t, !h.View(start, full).MayOwn(start.Add(countingWindow-1)))
	assert.Check(t, h.View(start, full).MayOwn(start.Add(countingWindow)))
	h.View(start, others)
	before := h.View(start.Add(HandoverDelay-1), others)
	assert.Equal(t, before.OwnershipOf("t", "z0", capacity).Hosts, historyHosts)
	after := h.View(start.Add(HandoverDelay), others)
	assert.DeepEqual(t, after.OwnershipOf("t", "z0", capacity), Ownership{Owned: true, Owners: 1, Hosts: 1})
	assert.Check(t, after.Version > before.Version)
}
