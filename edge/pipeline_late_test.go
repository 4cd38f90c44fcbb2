package edge_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/platform/standin"
)

// workingTarget takes as long for a request as the last part of its path says, in milliseconds.
type workingTarget struct{ *standin.Target }

// ServeHTTP implements http.Handler.
func (w workingTarget) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if ms, err := strconv.Atoi(r.URL.Path[len("/work/"):]); err == nil {
		time.Sleep(time.Duration(ms) * time.Millisecond)
	}
	w.Target.ServeHTTP(rw, r)
}

// BenchmarkLateCalls reports how many of 100 calls take longer than lateAfter, from when the caller
// sends them. 4 callers send 3 calls a second each at random times for 20 s, without waiting for
// responses: each call on a connection of its own, or all calls of a caller on one connection.
func BenchmarkLateCalls(b *testing.B) {
	for _, tc := range []struct {
		name     string
		off, one bool
	}{{"separate", true, false}, {"pipelined/off", true, true}, {"pipelined/on", false, true}} {
		b.Run(tc.name, func(b *testing.B) {
			l := newLocalCluster(b, 0)
			l.callers = fmt.Sprintf(`, "pipeline": {"off": %v}`, tc.off)
			l.start()
			for i := range 4 {
				tg := &standin.Target{ID: fmt.Sprint("work-", i), Slots: 16, Queue: 16}
				server := httptest.NewServer(workingTarget{tg})
				b.Cleanup(server.Close)
				l.store.Put("servers", tg.ID, tg.Entry("work", server.Listener.Addr().String(), "a", "ready"))
			}
			l.configure(2, standin.Route{Name: "work", Host: hostName, Prefix: "/work/", Type: "safe", Service: "work", Timeout: "6s", MaxAttempts: 1})
			l.awaitVersion(2, "work")
			var late, calls atomic.Int64
			var wg sync.WaitGroup
			for i := range 4 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					l.lateCalls(i, tc.one, &late, &calls)
				}()
			}
			wg.Wait()
			b.ReportMetric(100*float64(late.Load())/float64(calls.Load()), "late-%")
			b.ReportMetric(float64(calls.Load()), "calls")
		})
	}
}

const lateAfter = 800 * time.Millisecond

// lateCalls sends the calls of one caller, the same in each case.
func (l *localCluster) lateCalls(caller int, one bool, late, calls *atomic.Int64) {
	random := rand.New(rand.NewPCG(uint64(caller), 1))
	var c *pipelinedCaller
	var wg sync.WaitGroup
	var sent chan time.Time
	receive := func(c *pipelinedCaller, at time.Time) {
		r, err := c.read()
		assert.Check(l.t, err == nil && r.status == http.StatusOK, "%v %v", r.status, err)
		calls.Add(1)
		if time.Since(at) > lateAfter {
			late.Add(1)
		}
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / 3))
		ms := 100 + random.IntN(160) // and one in 20 takes 6 times as long
		if random.IntN(20) == 0 {
			ms *= 6
		}
		if c == nil || !one {
			c = l.pipelinedCaller(l.daemons[0])
			assert.Check(l.t, c.SetDeadline(time.Now().Add(time.Minute)) == nil)
			sent = make(chan time.Time, 1000)
			conn, times := c, sent
			wg.Add(1)
			go func() {
				defer wg.Done()
				for at := range times {
					receive(conn, at)
				}
			}()
		}
		sent <- time.Now()
		_, _ = io.WriteString(c, pipelined("GET", fmt.Sprint("/work/", ms), "late"))
		if !one {
			close(sent)
		}
	}
	if one {
		close(sent)
	}
	wg.Wait()
}
