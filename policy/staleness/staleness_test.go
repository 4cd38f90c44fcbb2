package staleness

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func TestReplicaIsUsedWhileItIsKnownToBeNew(t *testing.T) {
	for name, tc := range map[string]struct {
		v    Replica
		want Decision
	}{
		"complete just now":                    {Replica{Age: time.Millisecond}, Decision{Route: true}},
		"complete at the limit, change on way": {Replica{Age: MaxAge, Lacking: true}, Decision{Route: true}},
		"too old":                              {Replica{Age: MaxAge + 1}, Decision{Refresh: true}},
		"too old, store out for others too":    {Replica{Age: time.Minute, StoreOut: true}, Decision{Route: true}},
		"lacks a change, store out":            {Replica{Age: time.Minute, StoreOut: true, Lacking: true}, Decision{Refresh: true}},
	} {
		var r Refreshes
		assert.Equal(t, r.Decide(start, tc.v), tc.want, name)
	}
}

// Guards against a host that turns its callers away for good because nobody is left to ask.
func TestHostThatReachesNobodyServesByWhatItHas(t *testing.T) {
	for lacking, want := range map[bool]int{false: 1, true: maxFailures} {
		var r Refreshes
		v := Replica{Age: time.Minute, Lacking: lacking}
		now, refreshes := start, 0
		for ; !r.Decide(now, v).Route; now = now.Add(50 * time.Millisecond) {
			assert.Assert(t, now.Sub(start) < time.Minute)
			if r.Decide(now, v).Refresh {
				refreshes++
				r.Ended(now, now.Add(400*time.Millisecond), false)
				now = now.Add(400 * time.Millisecond)
			}
		}
		assert.Equal(t, refreshes, want)
		assert.Check(t, r.Decide(now.Add(refreshInterval), v) == Decision{Route: true, Refresh: true}, "asks on")
	}
}

// Guards against routing by an old replica because questions went unanswered while the process did
// not run, or before it was stopped.
func TestQuestionsOfAStoppedProcessDoNotCount(t *testing.T) {
	v := Replica{Age: time.Minute}
	var r Refreshes
	r.Ended(start, start.Add(maxRefresh+1), false)
	assert.Equal(t, r.Decide(start.Add(maxRefresh+1), v), Decision{Refresh: true})
	r.Ended(start, start.Add(time.Second), false)
	assert.Equal(t, r.Decide(start.Add(time.Second+failureTTL), v), Decision{Refresh: true})
}

// Whatever happens, a replica that is too old is used only after a refresh that failed within the
// last seconds, or while the store is out; one that lacks a change only after many.
func TestRandomHistories(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var r Refreshes
		now := start
		failed := 0
		var last time.Time
		for range 300 {
			now = now.Add(time.Duration(rng.Int64N(int64(2 * time.Second))))
			if now.Sub(last) >= failureTTL {
				failed = 0
			}
			v := Replica{Age: time.Duration(rng.Int64N(int64(4 * time.Second))), Lacking: rng.IntN(2) == 0, StoreOut: rng.IntN(8) == 0}
			d := r.Decide(now, v)
			old := v.Age > MaxAge && (v.Lacking || !v.StoreOut)
			assert.Check(t, !d.Route || !old || failed > 0 && !v.Lacking || failed >= maxFailures, "seed %d: %+v after %d failures", seed, v, failed)
			assert.Check(t, d.Route || d.Refresh || failed > 0, "seed %d: refused without asking", seed)
			if !d.Refresh {
				continue
			}
			began := now
			now = now.Add(time.Duration(rng.Int64N(int64(maxRefresh + time.Second))))
			upToDate := rng.IntN(4) == 0
			r.Ended(began, now, upToDate)
			if now.Sub(last) >= failureTTL || upToDate {
				failed = 0
			}
			if !upToDate && now.Sub(began) <= maxRefresh {
				failed, last = failed+1, now
			}
		}
	}
}
