package directory

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/routing"
)

var now = time.Unix(1000, 0)

// randomSteps returns a history of configurations and targets, one change per step.
func randomSteps(rng *rand.Rand) []Changes {
	var steps []Changes
	version := uint64(1)
	for rev := Revision(2); rev < 80; rev++ {
		if rng.IntN(5) == 0 {
			version += 1 + rng.Uint64N(3)
			steps = append(steps, Changes{Revision: rev, Config: &routing.Config{Version: version}})
			continue
		}
		t := Target{ID: ports.HostID(fmt.Sprintf("t%d", rng.IntN(12))), Revision: rev, Service: "s", Addr: "10.0.0.1:1"}
		switch rng.IntN(4) {
		case 0:
			t = Target{ID: t.ID, Revision: rev, Removed: true}
		case 1:
			t.Draining = true
		}
		steps = append(steps, Changes{Revision: rev, Targets: []Target{t}})
	}
	return steps
}

func stateAfter(steps []Changes) *State {
	s := NewState()
	for _, c := range steps {
		s.Merge(now, c)
	}
	return s
}

func usableTargets(s *State) map[ports.HostID]Target {
	list, _ := s.Usable(now)
	out := make(map[ports.HostID]Target)
	for _, u := range list {
		out[u.ID] = u.Target
	}
	return out
}

// Guards against hosts that end up with different states: two watchers forward the same changes,
// and some arrive twice or late.
func TestMergeDoesNotDependOnOrder(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		steps := randomSteps(rng)
		want := stateAfter(steps)
		mixed := append(append([]Changes(nil), steps...), steps[rng.IntN(len(steps)):]...)
		rng.Shuffle(len(mixed), func(i, j int) { mixed[i], mixed[j] = mixed[j], mixed[i] })
		got := stateAfter(mixed)
		assert.Equal(t, got.Config().Version, want.Config().Version, "seed %d", seed)
		assert.Equal(t, got.Newest(), want.Newest(), "seed %d", seed)
		assert.DeepEqual(t, usableTargets(got), usableTargets(want))
	}
}

// A host that has no state, or lacks some of it, must get all of it by a snapshot, and must not
// bring removed targets back.
func TestWholeBringsAHostUpToDate(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 1))
	steps := randomSteps(rng)
	full := stateAfter(steps)
	for _, n := range []int{0, 10, 40} {
		behind := stateAfter(steps[:n])
		behind.Merge(now, full.Snapshot(now, 0, behind.Buckets()))
		assert.DeepEqual(t, usableTargets(behind), usableTargets(full))
		assert.Equal(t, behind.Config().Version, full.Config().Version)
	}
}

// A complete list removes the targets that it does not contain, but not those that were listed
// after it was read.
func TestWholeListDropsWhatItDoesNotName(t *testing.T) {
	s := NewState()
	s.Merge(now, Changes{Revision: 5, AllTargets: true, Targets: []Target{{ID: "a", Revision: 2}, {ID: "b", Revision: 3}}})
	s.Merge(now, Changes{Revision: 9, Targets: []Target{{ID: "c", Revision: 9}}})
	s.Merge(now, Changes{Revision: 7, AllTargets: true, Targets: []Target{{ID: "a", Revision: 2}}})
	got := usableTargets(s)
	assert.Equal(t, len(got), 2)
	assert.Check(t, got["a"].ID == "a" && got["c"].ID == "c")
}

// A target whose entry was removed without draining is used until its hold ends, one that was
// draining not at all.
func TestHeldTargets(t *testing.T) {
	s := NewState()
	s.Merge(now, Changes{Targets: []Target{{ID: "a", Revision: 1}, {ID: "b", Revision: 2, Draining: true}}})
	s.Merge(now, Changes{Hold: time.Second, Targets: []Target{{ID: "a", Revision: 3, Removed: true}, {ID: "b", Revision: 4, Removed: true}}})
	list, next := s.Usable(now)
	assert.Equal(t, len(list), 1)
	assert.Equal(t, next, now.Add(time.Second))
	list, _ = s.Usable(now.Add(time.Second))
	assert.Equal(t, len(list), 0)
}

// A host that missed a version receives a delta based on it. It must keep its configuration
// until it fetches the whole one.
func TestDeltaFromAMissedVersionIsPassedOver(t *testing.T) {
	s := NewState()
	s.Merge(now, Changes{Config: &routing.Config{Version: 3}})
	assert.Check(t, !s.Merge(now, Changes{Delta: &routing.Delta{Base: 4, Version: 5}}))
	assert.Equal(t, s.Config().Version, uint64(3))
	assert.Check(t, s.Merge(now, Changes{Delta: &routing.Delta{Base: 3, Version: 5}}))
	assert.Equal(t, s.Config().Version, uint64(5))
}

// A watcher that reads the whole store forwards only what was new to it. A host with the same
// previous state must end up with the same state and the same digest, and the digest must have
// changed.
func TestNewChangesBringAHostAsFarAsTheFullRead(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 2))
		steps := randomSteps(rng)
		early, whole := steps[:40], stateAfter(steps)
		watcher, host := stateAfter(early), stateAfter(early)
		before := host.Digest()
		reading := Changes{Revision: 80, AllTargets: true, Config: whole.Config()}
		for _, target := range usableTargets(whole) {
			reading.Targets = append(reading.Targets, target)
		}
		applied := watcher.Apply(now, reading)
		host.Apply(now, applied)
		assert.DeepEqual(t, usableTargets(host), usableTargets(watcher))
		assert.Equal(t, host.Digest(), watcher.Digest())
		assert.Equal(t, host.Digest(), whole.Digest())
		assert.Check(t, before != host.Digest(), "seed %d", seed)
		assert.Check(t, watcher.Apply(now, reading).Empty(), "the same read was new again")
	}
}

// A host that lacks a few changes of a large list must receive only the parts that differ, and
// then have the same list; a host that lacks nothing must receive no target.
func TestHostThatLacksLittleIsToldLittle(t *testing.T) {
	whole := Changes{Revision: 3000, AllTargets: true}
	for i := range 3000 {
		whole.Targets = append(whole.Targets, Target{ID: ports.HostID(fmt.Sprint("t", i)), Revision: Revision(i + 1)})
	}
	ahead, behind := NewState(), NewState()
	ahead.Apply(now, whole)
	behind.Apply(now, fullSnapshot(ahead))
	assert.DeepEqual(t, usableTargets(behind), usableTargets(ahead))
	ahead.Apply(now, Changes{Revision: 3003, Targets: []Target{
		{ID: "t7", Revision: 3001, Draining: true},
		{ID: "t8", Revision: 3002, Removed: true},
		{ID: "new", Revision: 3003},
	}})
	ahead.Advance(3003)
	step := ahead.Snapshot(now, 0, behind.Buckets())
	assert.Check(t, len(step.Targets) < 250, "%d targets", len(step.Targets))
	behind.Apply(now, step)
	assert.DeepEqual(t, usableTargets(behind), usableTargets(ahead))
	assert.Equal(t, behind.Newest(), ahead.Newest())
	again := ahead.Snapshot(now, 0, behind.Buckets())
	assert.Equal(t, len(again.Targets), 0)
	behind.Apply(now, again)
	assert.DeepEqual(t, usableTargets(behind), usableTargets(ahead)) // targets outside the sent parts are kept
}

// fullSnapshot returns what a host without any targets is sent.
func fullSnapshot(s *State) Changes { return s.Snapshot(now, 0, NewState().Buckets()) }

// Guards against a target that stays in use for as long as news of its removal keep arriving: each of
// them carries the hold that its sender had left, and they come late and more than once.
func TestRepeatedRemovalHoldsTargetNoLonger(t *testing.T) {
	const hold = 700 * time.Millisecond
	removal := Changes{Hold: hold, Targets: []Target{{ID: "a", Revision: 2, Removed: true}}}
	start := time.Unix(1000, 0)
	s := NewState()
	s.Merge(start, Changes{Revision: 1, AllTargets: true, Targets: []Target{{ID: "a", Revision: 1}}})
	for at := time.Duration(0); at < 3*time.Second; at += 100 * time.Millisecond {
		s.Merge(start.Add(at), removal)
		usable, _ := s.Usable(start.Add(at))
		assert.Equal(t, len(usable), map[bool]int{true: 1, false: 0}[at < hold], "%s after the removal", at)
	}
}

// An outage that this host learns of after the removal holds the target from then on: its entry may
// have expired, and is written again within that time.
func TestOutageLearnedOfLaterHoldsARemovedTarget(t *testing.T) {
	removal := Changes{Hold: 700 * time.Millisecond, Targets: []Target{{ID: "a", Revision: 2, Removed: true}}}
	start := time.Unix(1000, 0)
	s := NewState()
	s.Merge(start, Changes{Revision: 1, AllTargets: true, Targets: []Target{{ID: "a", Revision: 1}}})
	s.Merge(start, removal)
	removal.OutageHold = 2200 * time.Millisecond
	s.Merge(start.Add(600*time.Millisecond), removal)
	usable, next := s.Usable(start.Add(2700 * time.Millisecond))
	assert.Equal(t, len(usable), 1)
	assert.Equal(t, next, start.Add(2800*time.Millisecond))
}
