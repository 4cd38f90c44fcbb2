package cactusproxy_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/internal/fakes/faultypath"
	"github.com/cactusproxy/cactusproxy/internal/standin/target"
)

// Guards against coordinated hosts that refuse callers because they have lost their paths to all
// targets, and against a coordinator that believes them that the targets are down.
func TestCoordinatedHostsCutOffFromTargetsServeTheirCallers(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]faultypath.Fault{
		"silent": faultypath.Silent, "reset": faultypath.Reset, "refused": faultypath.Refused, "one way": faultypath.OneWay,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newCatalogue(t)
			for i := range 30 {
				assert.Equal(t, d.browse(t, i).Status, http.StatusOK)
			}
			for _, p := range d.paths[:2] {
				p.Cut(fault)
			}
			const every, noticed, length = 20 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second
			var mu sync.Mutex
			var wg sync.WaitGroup
			told := make(map[string]int)
			begin := time.Now()
			for i := 0; time.Since(begin) < length; i++ {
				late := time.Since(begin) > noticed
				wg.Go(func() {
					r, host := d.browse(t, i), "cut"
					if i%len(d.hosts) == 2 {
						host = "well"
					}
					mu.Lock()
					defer mu.Unlock()
					if late {
						told[host+" "+r.Outcome+"/"+r.Reason]++
					}
				})
				time.Sleep(every)
			}
			wg.Wait()
			assert.Check(t, told["cut answered/ok"] > 0 && told["well answered/ok"] > 0)
			assert.Check(t, len(told) == 2, "%v", told)
		})
	}
}

// Guards against a coordinator that is cut off from all targets and goes without their load
// reports, while another host reaches them.
func TestCoordinatorCutOffFromTargetsProbesThem(t *testing.T) {
	t.Parallel()
	for well := range 3 { // any of them may be the coordinator
		t.Run(fmt.Sprint(well), func(t *testing.T) {
			t.Parallel()
			d := newCatalogue(t)
			for i, p := range d.paths {
				if i != well {
					p.Cut(faultypath.Silent)
				}
			}
			time.Sleep(1500 * time.Millisecond)
			before := d.probes()
			time.Sleep(8 * time.Second)
			assert.Check(t, d.probes() > before+12, "%d probes in 8 s", d.probes()-before)
		})
	}
}

// probes returns how many probes all targets have answered.
func (d *catalogueCluster) probes() (n int) {
	for _, tg := range d.targets {
		n += tg.Status().Probes
	}
	return n
}

// Guards against requests that coordinated hosts refuse because one host's connections were reset
// under them.
func TestCoordinatedHostsBlameNoRequestForAResetPath(t *testing.T) {
	t.Parallel()
	d := newCatalogue(t)
	for _, tg := range d.targets {
		tg.SetBehaviour(target.Behaviour{ServiceMean: 300 * time.Millisecond})
	}
	var wg sync.WaitGroup
	for range 6 { // as many as the slots of all targets
		wg.Go(func() { d.browse(t, 0) })
	}
	time.Sleep(150 * time.Millisecond)
	d.paths[0].Cut(faultypath.Reset)
	wg.Wait()
	assert.Check(t, d.hosts[0].Metrics().Map("quarantine").Get("suspected") != nil, "no request was under way")
	suspected := func() bool {
		for _, h := range d.hosts {
			if !strings.Contains(h.Metrics().String(), `"quarantine_entries": 0,`) {
				return true
			}
		}
		return false
	}
	for end := time.Now().Add(10 * time.Second); suspected(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "a host still suspects a request")
	}
	for i := range d.hosts {
		r := d.browse(t, i)
		assert.Check(t, r.Status == http.StatusOK, "host %d: %s/%s", i, r.Outcome, r.Reason)
	}
}
