package cactusproxy_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/internal/fakes/faultypath"
	"github.com/cactusproxy/cactusproxy/internal/standin/target"
	"github.com/cactusproxy/cactusproxy/internal/testcluster"
)

// catalogueCluster is three coordinated hosts and three targets of one service.
type catalogueCluster struct {
	hosts   []*testcluster.Host
	targets []*testcluster.Target
	// paths are the hosts' paths to the targets.
	paths []*faultypath.Path
}

func newCatalogue(t *testing.T) *catalogueCluster {
	d := new(catalogueCluster)
	byHost := make(map[string]*faultypath.Path)
	for i := range 3 {
		path := new(faultypath.Path)
		d.paths = append(d.paths, path)
		byHost[fmt.Sprint("entry-", i)] = path
	}
	l, err := testcluster.New(testcluster.Options{
		DialTarget: func(ctx context.Context, host, addr string) (net.Conn, error) {
			return byHost[host].Dial(ctx, addr)
		},
	})
	assert.NilError(t, err)
	t.Cleanup(l.Close)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for i := range 3 {
		h, err := l.AddHost(fmt.Sprint("entry-", i), "zone-a")
		assert.NilError(t, err)
		d.hosts = append(d.hosts, h)
	}
	for _, h := range d.hosts {
		assert.NilError(t, l.WaitMembers(ctx, h.ID, len(d.hosts)))
		assert.NilError(t, l.WaitReady(ctx, h.ID))
	}
	_, err = l.Apply(ctx, d.hosts[0].ID, "examples/auction/template.jsonc", "examples/auction/workspace.jsonc")
	assert.NilError(t, err)
	for i := range 3 {
		tg, err := l.AddTarget(fmt.Sprint("catalogue-", i), "zone-a", "subasta-verde", "catalogue", target.Options{Slots: 2, Queue: 16, MaxConns: 200})
		assert.NilError(t, err)
		d.targets = append(d.targets, tg)
	}
	for _, h := range d.hosts {
		assert.NilError(t, l.WaitTargets(ctx, h.ID, "subasta-verde", "catalogue", len(d.targets)))
	}
	return d
}

// browse sends a read request through one of the hosts.
func (d *catalogueCluster) browse(t *testing.T, host int) testcluster.Response {
	addr := d.hosts[host%len(d.hosts)].CallersAddr()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+addr+"/subasta-verde/catalogue/lots", nil)
	assert.Check(t, err)
	r, err := testcluster.Do(http.DefaultClient, req)
	assert.Check(t, err)
	return r
}

// Guards against coordinated hosts that send requests or probes to a target before the
// Retry-After time that it asked for has passed.
func TestCoordinatedHostsLetTargetsRest(t *testing.T) {
	const rest = 3 * time.Second
	d := newCatalogue(t)
	tg := d.targets[0]
	tg.SetBehaviour(target.Behaviour{Shed: true, RetryAfter: rest})
	for begin, i := time.Now(), 0; time.Since(begin) < rest*2/3; i++ {
		assert.Equal(t, d.browse(t, i).Status, http.StatusOK)
		time.Sleep(5 * time.Millisecond)
	}
	s := tg.Status()
	t.Logf("%d calls, %d probes", s.ShedCalls, s.Probes)
	// The target tells each host separately, so that one request of each may arrive.
	assert.Check(t, s.ShedCalls >= 1 && s.ShedCalls <= len(d.hosts), "%d calls", s.ShedCalls)
	assert.Check(t, s.Probes <= 1, "%d probes", s.Probes)
}

// Guards against a coordinator that grants more requests to a target than the rate limit
// that the target announces.
func TestCoordinatedHostsKeepTheLimitsThatTargetsName(t *testing.T) {
	const (
		limit   = 2.0 // requests per second that each of the three targets announces
		allowed = 17  // in 4 s: 1.5 times the limit, plus 5
		every   = 40 * time.Millisecond
		span    = 4 * time.Second
		stable  = time.Second // after this time all hosts know the limit
	)
	d := newCatalogue(t)
	for _, tg := range d.targets {
		tg.SetBehaviour(target.Behaviour{Limit: limit})
	}

	var mu sync.Mutex
	var wg sync.WaitGroup
	told := make(map[string]int)
	begin := time.Now()
	for i := 0; time.Since(begin) < stable+span+time.Second; i++ {
		wg.Go(func() {
			r := d.browse(t, i)
			mu.Lock()
			defer mu.Unlock()
			told[r.Outcome+"/"+r.Reason]++
			assert.Check(t, r.Status == http.StatusOK || r.Header.Get("Retry-After") != "", "%d without Retry-After", r.Status)
		})
		time.Sleep(every)
	}
	wg.Wait()
	t.Logf("%v", told)
	for _, tg := range d.targets {
		var at []time.Time
		for _, r := range tg.Runs() {
			if r.Started.Sub(begin) > stable {
				at = append(at, r.Started)
			}
		}
		got := maxWithin(span, at)
		t.Logf("%s: %d in 4 s", tg.ID, got)
		assert.Check(t, got <= allowed, "%s: %d", tg.ID, got)
	}
	// Most of the permitted capacity must be used.
	assert.Check(t, float64(told["answered/ok"]) > 0.7*3*limit*span.Seconds(), "%v", told)
}

// maxWithin returns the largest number of timestamps within any window of length span.
func maxWithin(span time.Duration, at []time.Time) (most int) {
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
