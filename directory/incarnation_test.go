package directory

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/ports"
)

// word is what the record says of a target that tells its start.
func word(rev Revision, born ports.Incarnation, addr string) Target {
	return Target{ID: "a", Revision: rev, Incarnation: born, Service: "s", Addr: addr}
}

func draining(t Target) Target {
	t.Draining = true
	return t
}

func merge(s *State, at time.Time, list ...Target) {
	for _, t := range list {
		s.Merge(at, Changes{Targets: []Target{t}})
	}
}

// only returns the one target in use.
func only(t *testing.T, s *State, at time.Time) Usable {
	t.Helper()
	list, _ := s.Usable(at)
	assert.Equal(t, len(list), 1)
	return list[0]
}

// A target drains, ends and starts again under its name. It is used again, and counts as
// just started.
func TestDrainedTargetComesBack(t *testing.T) {
	s := NewState()
	merge(s, now, word(1, 100, "x:1"), draining(word(2, 100, "x:1")))
	later := now.Add(10 * time.Second)
	merge(s, later, word(3, 200, "x:1"))
	got := only(t, s, later)
	assert.Check(t, !got.Draining)
	assert.Equal(t, got.FirstSeen, later)
}

// A target crashes while the store is out, its entry lapses, and it is back at another
// address before the time for which it would have been held is over.
func TestCrashedTargetComesBackElsewhere(t *testing.T) {
	s := NewState()
	merge(s, now, word(1, 100, "x:1"))
	s.Merge(now, Changes{Hold: 2 * time.Second, Targets: []Target{{ID: "a", Revision: 2, Removed: true}}})
	merge(s, now.Add(time.Second), word(3, 200, "y:1"))
	got := only(t, s, now.Add(time.Second))
	assert.Equal(t, got.Addr, "y:1")
	assert.Equal(t, got.FirstSeen, now.Add(time.Second))
	assert.Equal(t, only(t, s, now.Add(time.Minute)).Addr, "y:1", "the former run's hold ends nothing")
}

// A write of the former run arrives at the store after the first of the new one, and says
// that the target drains. Callers go on being served by the new run; its next word ends it.
func TestLateWordOfAFormerRunChangesNothing(t *testing.T) {
	s := NewState()
	merge(s, now, word(1, 100, "x:1"), word(2, 200, "y:1"), draining(word(3, 100, "x:1")))
	assert.Check(t, !only(t, s, now).Draining)
	assert.Equal(t, s.LateWords(), int64(1))
	merge(s, now.Add(time.Second), word(4, 200, "y:1"))
	got := only(t, s, now.Add(time.Minute))
	assert.Check(t, !got.Draining)
	assert.Equal(t, got.Addr, "y:1")
	assert.Equal(t, got.FirstSeen, now)
}

// The time of day of a target's host was set back, and the target started again: its word
// seems to be a former run's, and nothing replaces it. It is believed after 5 s; for good
// would lose the target until it starts once more.
func TestWordOfAnEarlierTimeIsBelievedIfItStays(t *testing.T) {
	s := NewState()
	merge(s, now, word(1, 200, "x:1"), word(2, 100, "y:1"))
	list, next := s.Usable(now)
	assert.Equal(t, list[0].Addr, "x:1")
	assert.Equal(t, next, now.Add(lateFor))
	got := only(t, s, now.Add(lateFor))
	assert.Equal(t, got.Addr, "y:1")
	assert.Equal(t, got.FirstSeen, now.Add(lateFor))
	assert.Equal(t, s.Digest(), merged([]Changes{{Targets: []Target{word(2, 100, "y:1")}}}).Digest())
}

// A word that does not tell of a start is one of the run at hand.
func TestWordWithoutAStartIsOfTheSameRun(t *testing.T) {
	s := NewState()
	merge(s, now, word(1, 200, "x:1"))
	merge(s, now.Add(time.Second), draining(word(2, 0, "x:1")))
	got := only(t, s, now.Add(time.Second))
	assert.Check(t, got.Draining)
	assert.Equal(t, got.Incarnation, ports.Incarnation(200))
	assert.Equal(t, got.FirstSeen, now)
}

// An entry is overwritten by one that can not be read, just after an outage of the store.
// It is not held in use, as one that lapsed would be.
func TestUnreadableEntryIsNotHeld(t *testing.T) {
	s := NewState()
	merge(s, now, word(1, 200, "x:1"))
	gone := Target{ID: "a", Revision: 2, Removed: true, Unreadable: true}
	s.Merge(now, Changes{Hold: 2 * time.Second, Targets: []Target{gone}})
	list, _ := s.Usable(now)
	assert.Equal(t, len(list), 0)
	s.Merge(now, Changes{Hold: 2 * time.Second, Targets: []Target{gone}})
	list, _ = s.Usable(now)
	assert.Equal(t, len(list), 0, "told again")
	merge(s, now.Add(time.Second), word(3, 200, "x:1"))
	assert.Equal(t, only(t, s, now.Add(time.Second)).FirstSeen, now)
}

// randomRuns is a history of targets that start again under their names, with writes of
// former runs that arrive late and end up overwritten.
func randomRuns(rng *rand.Rand) []Changes {
	born := make(map[ports.HostID]ports.Incarnation)
	var steps []Changes
	rev := Revision(1)
	say := func(t Target) {
		rev++
		t.Revision = rev
		steps = append(steps, Changes{Revision: rev, Targets: []Target{t}})
	}
	for range 60 {
		id := ports.HostID(string(rune('a' + rng.IntN(5))))
		t := Target{ID: id, Incarnation: max(born[id], 1), Service: "s"}
		switch rng.IntN(5) {
		case 0:
			born[id] += 1 + ports.Incarnation(rng.IntN(3))
		case 1:
			t.Draining = true
		case 2:
			if former := t.Incarnation - 1; former > 0 {
				say(Target{ID: id, Incarnation: former, Service: "s", Draining: true})
			}
		case 3:
			say(Target{ID: id, Removed: true, Unreadable: rng.IntN(2) == 0})
		}
		t.Incarnation = max(born[id], 1)
		say(t)
	}
	return steps
}

// Hosts hear of restarts from several watchers in any order, and some of it twice. They
// must agree in the end, and none may use a former run once the later one is known.
func TestRestartsMergeInAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 7))
		steps := randomRuns(rng)
		want := merged(steps)
		mixed := append(append([]Changes(nil), steps...), steps[rng.IntN(len(steps)):]...)
		rng.Shuffle(len(mixed), func(i, j int) { mixed[i], mixed[j] = mixed[j], mixed[i] })
		got := NewState()
		latest := make(map[ports.HostID]ports.Incarnation)
		for _, c := range mixed {
			got.Merge(now, c)
			for _, target := range c.Targets {
				latest[target.ID] = max(latest[target.ID], target.Incarnation)
			}
			for id, target := range view(got) {
				assert.Check(t, target.Incarnation >= latest[id], "seed %d: %s", seed, id)
			}
		}
		assert.DeepEqual(t, view(got), view(want))
		assert.Equal(t, got.Digest(), want.Digest(), "seed %d", seed)
	}
}
