package soak

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// regressions are seeds that once broke a promise, or a check, with the cause.
//
//	1  a call that left between the note that its host is to be killed and the kill was
//	   taken for one that an undisturbed host cut off: the check was mended; and a host
//	   found its port taken by another test and ended: each run has an address of its own
//	200  the same as the first of seed 1, for a host that had also been stopped within six
//	   seconds before: the check took it for one that was stopping; it was mended; and a
//	   kill during a stop led to two starts of one host: restarts go one at a time
//	401  two hosts were given the same address, and one ended at its start: no address is
//	   drawn twice
var regressions = []uint64{1, 200, 401}

// shortRun is how long hosts are disturbed in CI.
const shortRun = 5 * time.Second

// Addresses are drawn for hundreds of hosts, none of which listens yet. All differ.
func TestNoAddressIsDrawnTwice(t *testing.T) {
	a := newAddresses()
	seen := make(map[string]bool)
	for range 2_000 {
		addr, err := a.draw()
		assert.NilError(t, err)
		assert.Check(t, !seen[addr], addr)
		seen[addr] = true
	}
}

// A proper request is told that it is wrong. That is a promise broken, unless a host that
// was disturbed, or that need not have heard of it yet, does not find its route. A host that
// served the route before has no such excuse.
func TestDeniedRequestsAreFound(t *testing.T) {
	now := time.Now()
	long, justNow := now.Add(-time.Minute), now.Add(-time.Second)
	young := route{name: "young", added: justNow}
	old := route{name: "old", added: long}
	for _, c := range []struct {
		name      string
		status    int
		route     route
		disturbed time.Time
		served    bool
		want      bool
	}{
		{"a route of all configurations", 404, route{name: "lots"}, justNow, false, true},
		{"a redirect", 301, route{name: "lots"}, justNow, false, true},
		{"a bad request on a young route", 400, young, justNow, false, true},
		{"a young route", 404, young, long, false, false},
		{"a young route served before", 404, young, long, true, true},
		{"an old route", 404, old, long, false, true},
		{"an old route at a disturbed host", 404, old, justNow, false, false},
		{"an old route at a disturbed host that served it", 404, old, justNow, true, true},
		{"refused", 503, old, long, true, false},
		{"too many", 429, old, long, true, false},
		{"served", 200, old, long, true, false},
	} {
		p := &process{}
		s := &Soak{known: make(map[knowing]time.Time), marks: map[*process][]time.Time{p: {c.disturbed}}}
		if c.served {
			s.noteKnown(&sent{process: p, route: c.route, end: now.Add(-500 * time.Millisecond)})
		}
		r := &sent{process: p, route: c.route, status: c.status, at: now, end: now.Add(time.Millisecond)}
		assert.Equal(t, s.denied(r), c.want, c.name)
	}
	p := &process{}
	s := &Soak{known: make(map[knowing]time.Time), storeMarks: []time.Time{justNow}}
	assert.Check(t, !s.denied(&sent{process: p, route: old, status: 404, at: now, end: now}), "the store is disturbed")
}

// Real hosts are paused, killed, stopped and cut off from store and peers, while
// callers go on. No promise to callers may be broken.
func TestSeeds(t *testing.T) {
	binary, err := Build(t.Context(), t.TempDir())
	assert.NilError(t, err)
	for _, seed := range regressions {
		res, err := Run(t.Context(), Options{
			Seed: seed, Binary: binary, Dir: t.TempDir(), Processes: 4, Callers: 8, For: shortRun,
		})
		assert.NilError(t, err)
		assert.Check(t, res.Served > 0)
		for _, f := range res.Findings {
			t.Errorf("seed %d: %s", seed, f)
		}
		if t.Failed() {
			t.Logf("done: %q", res.Actions)
		}
	}
}
