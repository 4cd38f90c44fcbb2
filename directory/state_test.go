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

// randomSteps is a history of configurations and targets, one step for each change.
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

func merged(steps []Changes) *State {
	s := NewState()
	for _, c := range steps {
		s.Merge(now, c)
	}
	return s
}

func view(s *State) map[ports.HostID]Target {
	list, _ := s.Usable(now)
	out := make(map[ports.HostID]Target)
	for _, u := range list {
		out[u.ID] = u.Target
	}
	return out
}

// Two watchers pass the same changes on, some arrive twice and some late. A host must
// know the same in the end, whatever the order.
func TestMergeDoesNotDependOnOrder(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		steps := randomSteps(rng)
		want := merged(steps)
		mixed := append(append([]Changes(nil), steps...), steps[rng.IntN(len(steps)):]...)
		rng.Shuffle(len(mixed), func(i, j int) { mixed[i], mixed[j] = mixed[j], mixed[i] })
		got := merged(mixed)
		assert.Equal(t, got.Config().Version, want.Config().Version, "seed %d", seed)
		assert.Equal(t, got.Newest(), want.Newest(), "seed %d", seed)
		assert.DeepEqual(t, view(got), view(want))
	}
}

// A host that knows nothing, or less, takes over all that another one knows, and what
// is gone there stays gone.
func TestWholeBringsAHostUpToDate(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 1))
	steps := randomSteps(rng)
	full := merged(steps)
	for _, n := range []int{0, 10, 40} {
		behind := merged(steps[:n])
		behind.Merge(now, full.Whole(now, 0, behind.Buckets()))
		assert.DeepEqual(t, view(behind), view(full))
		assert.Equal(t, behind.Config().Version, full.Config().Version)
	}
}

// A reading of the whole list drops what it does not name, but not what was listed
// after it was made.
func TestWholeListDropsWhatItDoesNotName(t *testing.T) {
	s := NewState()
	s.Merge(now, Changes{Revision: 5, AllTargets: true, Targets: []Target{{ID: "a", Revision: 2}, {ID: "b", Revision: 3}}})
	s.Merge(now, Changes{Revision: 9, Targets: []Target{{ID: "c", Revision: 9}}})
	s.Merge(now, Changes{Revision: 7, AllTargets: true, Targets: []Target{{ID: "a", Revision: 2}}})
	got := view(s)
	assert.Equal(t, len(got), 2)
	assert.Check(t, got["a"].ID == "a" && got["c"].ID == "c")
}

// A target whose entry went without a drain is used for as long as it is held, one
// that was draining not at all.
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

// A host that missed a version gets a delta that begins at it. It must stay where it
// is, until it asks for the whole.
func TestDeltaFromAMissedVersionIsPassedOver(t *testing.T) {
	s := NewState()
	s.Merge(now, Changes{Config: &routing.Config{Version: 3}})
	assert.Check(t, !s.Merge(now, Changes{Delta: &routing.Delta{Base: 4, Version: 5}}))
	assert.Equal(t, s.Config().Version, uint64(3))
	assert.Check(t, s.Merge(now, Changes{Delta: &routing.Delta{Base: 3, Version: 5}}))
	assert.Equal(t, s.Config().Version, uint64(5))
}

// A watcher that reads the record whole passes on only what was new to it. A host that
// knew as much must know the same afterwards, and the two must agree on the digest; a
// difference must show in it.
func TestNewsBringAHostAsFarAsTheWholeStep(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 2))
		steps := randomSteps(rng)
		early, whole := steps[:40], merged(steps)
		watcher, host := merged(early), merged(early)
		before := host.Digest()
		reading := Changes{Revision: 80, AllTargets: true, Config: whole.Config()}
		for _, target := range view(whole) {
			reading.Targets = append(reading.Targets, target)
		}
		news := watcher.Take(now, reading)
		host.Take(now, news)
		assert.DeepEqual(t, view(host), view(watcher))
		assert.Equal(t, host.Digest(), watcher.Digest())
		assert.Equal(t, host.Digest(), whole.Digest())
		assert.Check(t, before != host.Digest(), "seed %d", seed)
		assert.Check(t, watcher.Take(now, reading).Empty(), "nothing of it is new any more")
	}
}

// A host that lacks some changes of a large list is told the parts of it that differ, not
// all, and knows the same afterwards; one that lacks nothing is told no target.
func TestHostThatLacksLittleIsToldLittle(t *testing.T) {
	whole := Changes{Revision: 3000, AllTargets: true}
	for i := range 3000 {
		whole.Targets = append(whole.Targets, Target{ID: ports.HostID(fmt.Sprint("t", i)), Revision: Revision(i + 1)})
	}
	ahead, behind := NewState(), NewState()
	ahead.Take(now, whole)
	behind.Take(now, behindOf(ahead))
	assert.DeepEqual(t, view(behind), view(ahead))
	ahead.Take(now, Changes{Revision: 3003, Targets: []Target{
		{ID: "t7", Revision: 3001, Draining: true},
		{ID: "t8", Revision: 3002, Removed: true},
		{ID: "new", Revision: 3003},
	}})
	ahead.Advance(3003)
	step := ahead.Whole(now, 0, behind.Buckets())
	assert.Check(t, len(step.Targets) < 250, "%d targets", len(step.Targets))
	behind.Take(now, step)
	assert.DeepEqual(t, view(behind), view(ahead))
	assert.Equal(t, behind.Newest(), ahead.Newest())
	again := ahead.Whole(now, 0, behind.Buckets())
	assert.Equal(t, len(again.Targets), 0)
	behind.Take(now, again)
	assert.DeepEqual(t, view(behind), view(ahead)) // nothing is dropped for want of a name
}

// behindOf is what a host without any list is told.
func behindOf(s *State) Changes { return s.Whole(now, 0, NewState().Buckets()) }
