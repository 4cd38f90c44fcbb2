package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLaterEraIsNewer(t *testing.T) {
	old, next := NewRevision(0, 1<<40), NewRevision(1, 3)
	assert.Check(t, next > old)
	assert.Equal(t, next.Era(), uint64(1))
	assert.Equal(t, next.Number(), uint64(3))
	assert.Equal(t, next.String(), "1/3")
	assert.Equal(t, old.String(), "1099511627776")
}

// Guards against using a removed target because a restored copy lists it again, and against
// never using one that has returned.
func TestTargetThatWasGoneBeforeACopyIsUsedOnceItStaysListed(t *testing.T) {
	now := time.Unix(1000, 0)
	used := func(s *State, at time.Time) int {
		s.Changed(at)
		return s.Count("s")
	}
	for _, gone := range []bool{true, false} {
		s := NewState()
		listed := Target{ID: "a", Service: "s", Addr: "10.0.0.1:1", Zone: "z", Slots: 1}
		listed.Revision = NewRevision(0, 10)
		s.Merge(now, Changes{Revision: listed.Revision, AllTargets: true, Targets: []Target{listed}})
		s.Merge(now, Changes{Revision: NewRevision(0, 20), Targets: []Target{{ID: "a", Revision: NewRevision(0, 20), Removed: true}}})
		assert.Equal(t, used(s, now), 0)

		copied := listed
		copied.Revision = NewRevision(1, 10)
		s.Merge(now, Changes{Revision: NewRevision(1, 12), AllTargets: true, Targets: []Target{copied}})
		assert.Equal(t, used(s, now), 0, "the copy is older than its removal")
		if gone {
			end := Target{ID: "a", Revision: NewRevision(1, 13), Removed: true}
			s.Merge(now.Add(time.Second), Changes{Revision: end.Revision, Targets: []Target{end}})
		}
		s.Merge(now.Add(staleEntryDelay), Changes{})
		want := 1
		if gone {
			want = 0
		}
		assert.Equal(t, used(s, now.Add(staleEntryDelay)), want)
	}
}
