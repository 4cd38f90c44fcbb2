package directory

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/ports"
)

// entry returns an entry of one target.
func entry(rev Revision, incarnation ports.Incarnation, addr string) Target {
	return Target{ID: "a", Revision: rev, Incarnation: incarnation, Service: "s", Addr: addr}
}

func draining(t Target) Target {
	t.Draining = true
	return t
}

func mergeEach(s *State, at time.Time, list ...Target) {
	for _, t := range list {
		s.Merge(at, Changes{Targets: []Target{t}})
	}
}

// onlyTarget returns the one usable target.
func onlyTarget(t *testing.T, s *State, at time.Time) Usable {
	t.Helper()
	list, _ := s.Usable(at)
	assert.Equal(t, len(list), 1)
	return list[0]
}

// A target drains, stops and restarts under its name. It must be used again, as one that has
// just started.
func TestDrainedTargetComesBack(t *testing.T) {
	s := NewState()
	mergeEach(s, now, entry(1, 100, "x:1"), draining(entry(2, 100, "x:1")))
	later := now.Add(10 * time.Second)
	mergeEach(s, later, entry(3, 200, "x:1"))
	got := onlyTarget(t, s, later)
	assert.Check(t, !got.Draining)
	assert.Equal(t, got.FirstSeen, later)
}

// A target crashes while the store is down, its entry expires, and it is back at another address
// before the hold on the expired entry ends.
func TestCrashedTargetComesBackElsewhere(t *testing.T) {
	s := NewState()
	mergeEach(s, now, entry(1, 100, "x:1"))
	s.Merge(now, Changes{Hold: 2 * time.Second, Targets: []Target{{ID: "a", Revision: 2, Removed: true}}})
	mergeEach(s, now.Add(time.Second), entry(3, 200, "y:1"))
	got := onlyTarget(t, s, now.Add(time.Second))
	assert.Equal(t, got.Addr, "y:1")
	assert.Equal(t, got.FirstSeen, now.Add(time.Second))
	assert.Equal(t, onlyTarget(t, s, now.Add(time.Minute)).Addr, "y:1", "the previous incarnation's hold ended the new one")
}

// A write of the previous incarnation reaches the store after the first write of the new one,
// and says that the target drains. Callers must still be served by the new incarnation, whose
// next renewal replaces the entry.
func TestLateEntryOfAPreviousIncarnationChangesNothing(t *testing.T) {
	s := NewState()
	mergeEach(s, now, entry(1, 100, "x:1"), entry(2, 200, "y:1"), draining(entry(3, 100, "x:1")))
	assert.Check(t, !onlyTarget(t, s, now).Draining)
	assert.Equal(t, s.StaleEntries(), int64(1))
	mergeEach(s, now.Add(time.Second), entry(4, 200, "y:1"))
	got := onlyTarget(t, s, now.Add(time.Minute))
	assert.Check(t, !got.Draining)
	assert.Equal(t, got.Addr, "y:1")
	assert.Equal(t, got.FirstSeen, now)
}

// Guards against losing a target until its next restart after its host's clock was set back: the
// restarted target's entry looks like one of an earlier incarnation, and nothing replaces it. It
// must be accepted after 5 s.
func TestEntryOfAnEarlierIncarnationIsAcceptedIfItStays(t *testing.T) {
	s := NewState()
	mergeEach(s, now, entry(1, 200, "x:1"), entry(2, 100, "y:1"))
	list, next := s.Usable(now)
	assert.Equal(t, list[0].Addr, "x:1")
	assert.Equal(t, next, now.Add(staleEntryDelay))
	got := onlyTarget(t, s, now.Add(staleEntryDelay))
	assert.Equal(t, got.Addr, "y:1")
	assert.Equal(t, got.FirstSeen, now.Add(staleEntryDelay))
	assert.Equal(t, s.Digest(), stateAfter([]Changes{{Targets: []Target{entry(2, 100, "y:1")}}}).Digest())
}

// An entry without an incarnation belongs to the known one.
func TestEntryWithoutAnIncarnationIsOfTheKnownOne(t *testing.T) {
	s := NewState()
	mergeEach(s, now, entry(1, 200, "x:1"))
	mergeEach(s, now.Add(time.Second), draining(entry(2, 0, "x:1")))
	got := onlyTarget(t, s, now.Add(time.Second))
	assert.Check(t, got.Draining)
	assert.Equal(t, got.Incarnation, ports.Incarnation(200))
	assert.Equal(t, got.FirstSeen, now)
}

// An entry is overwritten by an undecodable one just after an outage of the store. The target
// must not be held in use like one whose entry expired.
func TestUnreadableEntryIsNotHeld(t *testing.T) {
	s := NewState()
	mergeEach(s, now, entry(1, 200, "x:1"))
	gone := Target{ID: "a", Revision: 2, Removed: true, Unreadable: true}
	s.Merge(now, Changes{Hold: 2 * time.Second, Targets: []Target{gone}})
	list, _ := s.Usable(now)
	assert.Equal(t, len(list), 0)
	s.Merge(now, Changes{Hold: 2 * time.Second, Targets: []Target{gone}})
	list, _ = s.Usable(now)
	assert.Equal(t, len(list), 0, "sent again")
	mergeEach(s, now.Add(time.Second), entry(3, 200, "x:1"))
	assert.Equal(t, onlyTarget(t, s, now.Add(time.Second)).FirstSeen, now)
}

// randomRestarts returns a history of targets that restart under their names, with delayed
// writes of previous incarnations that are later overwritten.
func randomRestarts(rng *rand.Rand) []Changes {
	incarnations := make(map[ports.HostID]ports.Incarnation)
	var steps []Changes
	rev := Revision(1)
	write := func(t Target) {
		rev++
		t.Revision = rev
		steps = append(steps, Changes{Revision: rev, Targets: []Target{t}})
	}
	for range 60 {
		id := ports.HostID(string(rune('a' + rng.IntN(5))))
		t := Target{ID: id, Incarnation: max(incarnations[id], 1), Service: "s"}
		switch rng.IntN(5) {
		case 0:
			incarnations[id] += 1 + ports.Incarnation(rng.IntN(3))
		case 1:
			t.Draining = true
		case 2:
			if previous := t.Incarnation - 1; previous > 0 {
				write(Target{ID: id, Incarnation: previous, Service: "s", Draining: true})
			}
		case 3:
			write(Target{ID: id, Removed: true, Unreadable: rng.IntN(2) == 0})
		}
		t.Incarnation = max(incarnations[id], 1)
		write(t)
	}
	return steps
}

// Hosts receive restarts from several watchers in any order, and some twice. They must converge,
// and none may use a previous incarnation once it knows the later one.
func TestRestartsMergeInAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 7))
		steps := randomRestarts(rng)
		want := stateAfter(steps)
		mixed := append(append([]Changes(nil), steps...), steps[rng.IntN(len(steps)):]...)
		rng.Shuffle(len(mixed), func(i, j int) { mixed[i], mixed[j] = mixed[j], mixed[i] })
		got := NewState()
		latest := make(map[ports.HostID]ports.Incarnation)
		for _, c := range mixed {
			got.Merge(now, c)
			for _, target := range c.Targets {
				latest[target.ID] = max(latest[target.ID], target.Incarnation)
			}
			for id, target := range usableTargets(got) {
				assert.Check(t, target.Incarnation >= latest[id], "seed %d: %s", seed, id)
			}
		}
		assert.DeepEqual(t, usableTargets(got), usableTargets(want))
		assert.Equal(t, got.Digest(), want.Digest(), "seed %d", seed)
	}
}
