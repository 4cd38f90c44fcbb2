package cactusproxy_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/internal/lab"
	"github.com/cactusproxy/cactusproxy/internal/standin/target"
)

// Guards against a coordinator that grants a target more than the limit it names.
func TestCoordinatedHostsKeepTheLimitsThatTargetsName(t *testing.T) {
	const (
		limit   = 2.0 // requests a second that each of three targets names
		allowed = 17  // in 4 s: half as many again, and 5
		every   = 40 * time.Millisecond
		span    = 4 * time.Second
		stable  = time.Second // all hosts have heard of the limit
	)
	l, err := lab.New(lab.Options{})
	assert.NilError(t, err)
	t.Cleanup(l.Close)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	hosts := []string{"entry-1", "entry-2", "entry-3"}
	for _, id := range hosts {
		_, err := l.AddHost(id, "zone-a")
		assert.NilError(t, err)
	}
	for _, id := range hosts {
		assert.NilError(t, l.WaitMembers(ctx, id, len(hosts)))
		assert.NilError(t, l.WaitReady(ctx, id))
	}
	_, err = l.Apply(ctx, hosts[0], "examples/auction/template.jsonc", "examples/auction/workspace.jsonc")
	assert.NilError(t, err)
	var targets []*lab.Target
	for _, id := range []string{"catalogue-1", "catalogue-2", "catalogue-3"} {
		tg, err := l.AddTarget(id, "zone-a", "subasta-verde", "catalogue", target.Options{Slots: 2, Queue: 16, MaxConns: 200})
		assert.NilError(t, err)
		tg.SetBehaviour(target.Behaviour{Limit: limit})
		targets = append(targets, tg)
	}
	for _, id := range hosts {
		assert.NilError(t, l.WaitTargets(ctx, id, "subasta-verde", "catalogue", len(targets)))
	}

	var mu sync.Mutex
	var wg sync.WaitGroup
	told := make(map[string]int)
	begin := time.Now()
	for i := 0; time.Since(begin) < stable+span+time.Second; i++ {
		h, err := l.Host(hosts[i%len(hosts)])
		assert.NilError(t, err)
		wg.Go(func() {
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.CallersAddr()+"/subasta-verde/catalogue/lots", nil)
			assert.Check(t, err)
			r, err := lab.Do(http.DefaultClient, req)
			assert.Check(t, err)
			mu.Lock()
			defer mu.Unlock()
			told[r.Outcome+"/"+r.Reason]++
			assert.Check(t, r.Status == http.StatusOK || r.Header.Get("Retry-After") != "", "%d without Retry-After", r.Status)
		})
		time.Sleep(every)
	}
	wg.Wait()
	t.Logf("%v", told)
	for _, tg := range targets {
		var at []time.Time
		for _, r := range tg.Runs() {
			if r.Started.Sub(begin) > stable {
				at = append(at, r.Started)
			}
		}
		got := mostWithin(span, at)
		t.Logf("%s: %d in 4 s", tg.ID, got)
		assert.Check(t, got <= allowed, "%s: %d", tg.ID, got)
	}
	// Most of what the targets take is used.
	assert.Check(t, float64(told["answered/ok"]) > 0.7*3*limit*span.Seconds(), "%v", told)
}

// mostWithin returns the most moments within any span of a length.
func mostWithin(span time.Duration, at []time.Time) (most int) {
	for _, from := range at {
		n := 0
		for _, other := range at {
			if d := other.Sub(from); d >= 0 && d < span {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
