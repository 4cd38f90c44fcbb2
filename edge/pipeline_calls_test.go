package edge_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/pipeline"
	"github.com/cactusproxy/cactusproxy/platform/standin"
)

// countingTarget counts the requests that run, and responds with a body of a given size if the path
// ends in a number.
type countingTarget struct {
	*standin.Target
	// running is how many requests run, started how many have started.
	running, started atomic.Int32
	ids              sync.Map
}

// ran reports whether a request with this ID ran.
func (c *countingTarget) ran(id string) bool {
	_, ok := c.ids.Load(id)
	return ok
}

// ServeHTTP implements http.Handler.
func (c *countingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == standin.HealthPath {
		c.Target.ServeHTTP(w, r)
		return
	}
	c.started.Add(1)
	c.running.Add(1)
	defer c.running.Add(-1)
	size, err := strconv.Atoi(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:])
	if err != nil {
		c.Target.ServeHTTP(w, r)
		return
	}
	id := r.Header.Get(standin.HeaderRequestID)
	c.ids.Store(id, true)
	w.Header().Set(standin.HeaderRequestID, id)
	w.Header().Set(standin.HeaderSeal, "seal-"+id)
	_, _ = io.WriteString(w, strings.Repeat("x", size))
	if strings.Contains(r.URL.Path, "/broken/") {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// counted adds a route to a target whose requests are counted. The target takes any number of
// requests at a time.
func (l *localCluster) counted(version uint64, work time.Duration) *countingTarget {
	l.t.Helper()
	tg := l.startCounted("counted-0", work)
	l.configure(version, standin.Route{Name: "counted", Host: hostName, Prefix: "/counted/", Type: "safe", Service: "counted", Timeout: "5s", MaxAttempts: 2})
	l.awaitVersion(version, "counted")
	return tg
}

// countedGroup is counted with several targets, so that one to which a busy machine opens no connection
// in time doesn't leave the service without any.
func (l *localCluster) countedGroup(version uint64) []*countingTarget {
	l.t.Helper()
	var targets []*countingTarget
	for i := range 7 {
		targets = append(targets, l.startCounted(fmt.Sprint("counted-", i+1), 0))
	}
	targets = append(targets, l.counted(version, 0))
	l.await("all targets are listed", func() bool {
		for key, list := range l.daemons[0].Board().Targets.Load().ByService {
			if key.Service == "counted" {
				return len(list) == len(targets)
			}
		}
		return false
	})
	return targets
}

// total adds up a counter of targets.
func total(targets []*countingTarget, counter func(*countingTarget) *atomic.Int32) int {
	n := 0
	for _, tg := range targets {
		n += int(counter(tg).Load())
	}
	return n
}

func running(tg *countingTarget) *atomic.Int32 { return &tg.running }
func started(tg *countingTarget) *atomic.Int32 { return &tg.started }

// startCounted starts a target of the service counted.
func (l *localCluster) startCounted(id string, work time.Duration) *countingTarget {
	tg := &countingTarget{Target: &standin.Target{ID: id, Slots: 512, Queue: 512, Work: work}}
	server := httptest.NewServer(tg)
	l.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	l.store.Put("servers", tg.ID, tg.Entry("counted", server.Listener.Addr().String(), "a", "ready"))
	return tg
}

// awaitVersion waits until the first daemon has a configuration and the targets of a service.
func (l *localCluster) awaitVersion(version uint64, service string) {
	l.t.Helper()
	l.await("the configuration", func() bool {
		b := l.daemons[0].Board()
		for key := range b.Targets.Load().ByService {
			if key.Service == service {
				return b.Routes.Load().Config.Version == version
			}
		}
		return false
	})
}

// Guards against requests that run under the key of another request of the connection: each has its
// own, and one without a valid key is refused in its place.
func TestPipelinedRequestsHaveTheirOwnKeys(t *testing.T) {
	l := newLocalCluster(t, 1)
	l.configureTenants(2, twoTenants("ysgol-secret"))
	l.awaitVersion(2, "lots")
	c := l.pipelinedCaller(l.daemons[0])
	key := func(k string) string { return standin.HeaderKey + ": " + k }
	c.send(
		pipelined("GET", "/lots/1", "k1", key("coleg-secret")),
		pipelined("GET", "/lots/1", "k2"),
		pipelined("GET", "/lots/1", "k3", key("ysgol-secret")),
		pipelined("GET", "/lots/1", "k4", key("other")),
		pipelined("GET", "/lots/1", "k5", key("coleg-secret")),
	)
	c.expect("k1", http.StatusOK)
	c.expect("k2", http.StatusUnauthorized)
	c.expect("k3", http.StatusOK)
	c.expect("k4", http.StatusUnauthorized)
	c.expect("k5", http.StatusOK)
	for id, tenant := range map[string]string{"k1": "coleg", "k3": "ysgol", "k5": "coleg"} {
		assert.DeepEqual(t, l.receivedHeaders(id)[standin.HeaderTenant], []string{tenant})
	}
}

// Guards against a refusal that changes the order of the responses or affects the other requests.
func TestPipelinedRequestOverQuotaIsRefusedInItsPlace(t *testing.T) {
	l := newLocalCluster(t, 1)
	l.configureTenants(2, twoTenants("ysgol-secret"))
	l.awaitVersion(2, "lots")
	l.await("the quota is used up", func() bool {
		return l.sendWithKey("ysgol-secret", l.daemons[0], "/lots/7").status == http.StatusTooManyRequests
	})
	c := l.pipelinedCaller(l.daemons[0])
	c.send(
		pipelined("GET", "/lots/1", "q1", standin.HeaderKey+": coleg-secret"),
		pipelined("GET", "/lots/1", "q2", standin.HeaderKey+": ysgol-secret"),
		pipelined("GET", "/lots/1", "q3", standin.HeaderKey+": coleg-secret"),
	)
	c.expect("q1", http.StatusOK)
	c.expect("q2", http.StatusTooManyRequests)
	c.expect("q3", http.StatusOK)
}

// Guards against a tenant that pays twice: a request behind a response that breaks off counts as
// unread and is sent again, so that its unit of the quota is returned, whether it still runs or not.
func TestDroppedRequestReturnsItsUnitOfTheQuota(t *testing.T) {
	l := newLocalCluster(t, 1)
	tg := l.counted(2, 3*time.Second)
	routes := append(l.routes(), standin.Route{Name: "counted", Host: hostName, Prefix: "/counted/", Type: "safe", Service: "counted", Timeout: "5s", MaxAttempts: 1})
	l.store.Put("op", "config", standin.ConfigWithTenants(3, []standin.Tenant{{Name: "ysgol", Keys: []string{"ysgol-secret"}, Rate: 50, Burst: 50}}, routes...))
	l.awaitVersion(3, "counted")
	l.await("the quota is known", func() bool {
		return l.sendWithKey("ysgol-secret", l.daemons[0], "/lots/7").status == http.StatusOK
	})
	key := standin.HeaderKey + ": ysgol-secret"
	c := l.pipelinedCaller(l.daemons[0])
	// The response is too large to be buffered and breaks off.
	c.send(pipelined("GET", "/counted/broken/600000", "d1", key), pipelined("GET", "/lots/1", "d2", key), pipelined("GET", "/counted/slow", "d3", key))
	_, err := c.read()
	assert.Check(t, err != nil, "the response is complete")
	l.await("the slow request is canceled", func() bool { return tg.running.Load() == 0 })
	l.await("two units are returned", func() bool {
		return l.daemons[0].Metrics().Map("quota").Get("returned").String() == "2"
	})
}

// Guards against a request whose time runs out in the middle of a sequence: it gets its own response
// in its place.
func TestPipelinedRequestsHaveTheirOwnDeadlines(t *testing.T) {
	l := newLocalCluster(t, 1)
	l.slowRoute(600 * time.Millisecond)
	c := l.pipelinedCaller(l.daemons[0])
	short := strings.Replace(pipelined("GET", "/slow/2", "t2"), ": 4000", ": 250", 1)
	begin := time.Now()
	c.send(pipelined("GET", "/slow/1", "t1"), short, pipelined("GET", "/lots/3", "t3"), pipelined("GET", "/slow/4", "t4"))
	c.expect("t1", http.StatusOK)
	r := c.expect("t2", http.StatusGatewayTimeout)
	assert.Check(t, strings.Contains(r.body, "target-timeout"), r.body)
	c.expect("t3", http.StatusOK)
	c.expect("t4", http.StatusOK)
	assert.Check(t, time.Since(begin) < 1100*time.Millisecond, "two requests of 600 ms took %v", time.Since(begin))
}

// Guards against a request at the head that times out and holds up or drops those behind it.
func TestTimeoutAtTheHeadKeepsTheRest(t *testing.T) {
	l := newLocalCluster(t, 1)
	l.slowRoute(2 * time.Second)
	c := l.pipelinedCaller(l.daemons[0])
	begin := time.Now()
	c.send(strings.Replace(pipelined("GET", "/slow/1", "h1"), ": 4000", ": 300", 1), pipelined("GET", "/lots/2", "h2"), pipelined("GET", "/lots/3", "h3"))
	c.expect("h1", http.StatusGatewayTimeout)
	c.expect("h2", http.StatusOK)
	c.expect("h3", http.StatusOK)
	assert.Check(t, time.Since(begin) < time.Second, "took %v", time.Since(begin))
	c.send(pipelined("GET", "/lots/4", "h4"))
	c.expect("h4", http.StatusOK)
}

// Guards against requests that go on running at targets for a caller that is gone.
func TestCallersDisconnectCancelsPipelinedRequestsAtTargets(t *testing.T) {
	l := newLocalCluster(t, 1)
	tg := l.counted(2, 4*time.Second)
	for _, more := range []string{"", pipelined("POST", "/bids/1", "g5")} {
		c := l.pipelinedCaller(l.daemons[0])
		for i := range 4 {
			c.send(pipelined("GET", "/counted/slow", fmt.Sprint("g", i)))
		}
		c.send(more)
		l.await("all requests run", func() bool { return tg.running.Load() == 4 })
		time.Sleep(50 * time.Millisecond)
		begin := time.Now()
		assert.NilError(t, c.Close())
		l.await("all requests are canceled", func() bool { return tg.running.Load() == 0 })
		assert.Check(t, time.Since(begin) < 500*time.Millisecond, "took %v", time.Since(begin))
	}
}

// Guards against a target that breaks off and costs the connection: a safe request is retried, and
// one whose attempts all break off gets its own status 502, both in their places.
func TestTargetsThatBreakOffCostOneRequest(t *testing.T) {
	l := newLocalCluster(t, 1)
	for _, tg := range l.targets {
		tg.LoseResponse = func(id string) bool {
			return strings.HasPrefix(id, "always") || strings.HasPrefix(id, "once") && l.runs(id) == 1
		}
	}
	// The others go to another service: a request that lost a target runs only beside no other.
	l.counted(2, 20*time.Millisecond)
	c := l.pipelinedCaller(l.daemons[0])
	for _, tc := range []struct {
		lost   string
		status int
	}{{"once", http.StatusOK}, {"always", http.StatusBadGateway}} {
		c.send(pipelined("GET", "/counted/a", tc.lost[:1]+"1"), pipelined("GET", "/lots/2", tc.lost+"2"), pipelined("GET", "/counted/c", tc.lost[:1]+"3"))
		c.expect(tc.lost[:1]+"1", http.StatusOK)
		c.expect(tc.lost+"2", tc.status)
		c.expect(tc.lost[:1]+"3", http.StatusOK)
	}
}

// Guards against a mutating request that overtakes others or is overtaken.
func TestPipelinedMutatingRequestWaitsForAllBeforeIt(t *testing.T) {
	l := newLocalCluster(t, 1)
	l.slowRoute(300 * time.Millisecond)
	c := l.pipelinedCaller(l.daemons[0])
	begin := time.Now()
	c.send(
		pipelined("GET", "/slow/1", "m1"), pipelined("GET", "/lots/2", "m2"),
		pipelined("POST", "/bids/3", "m3", "Content-Length: 0"), pipelined("GET", "/lots/4", "m4"), pipelined("GET", "/bids/5", "m5"),
	)
	for i := 1; i <= 5; i++ {
		c.expect(fmt.Sprint("m", i), http.StatusOK)
	}
	assert.Check(t, l.startOf("m2").Before(l.startOf("m3")))
	assert.Check(t, l.startOf("m3").Sub(begin) >= 300*time.Millisecond, "the mutating request overtook the first")
	assert.Check(t, l.startOf("m4").Sub(l.startOf("m3")) >= 20*time.Millisecond, "a request overtook the mutating one")
	assert.Check(t, l.startOf("m5").Sub(l.startOf("m4")) >= 20*time.Millisecond, "a mutating GET overtook another request")
}

// Guards against a caller that doesn't read its responses: it must not occupy targets, and must get
// all responses in order once it reads.
func TestSlowReaderOccupiesNoTarget(t *testing.T) {
	l := newLocalCluster(t, 1)
	targets := l.countedGroup(2)
	c := l.pipelinedCaller(l.daemons[0])
	assert.NilError(t, c.Conn.(interface{ SetReadBuffer(bytes int) error }).SetReadBuffer(32<<10))
	const requests, size = 300, 30_000 // 9 MB, more than the buffers of a connection on loopback
	go func() {
		for i := range requests {
			if _, err := io.WriteString(c, pipelined("GET", fmt.Sprint("/counted/", size), fmt.Sprint("s", i))); err != nil {
				return
			}
		}
	}()
	// The responses fill the connection. Those behind them wait in memory.
	before := -1
	l.await("no request starts any more", func() bool {
		n := total(targets, started)
		same := n == before && n > pipeline.DefaultPerConnection
		before = n
		time.Sleep(200 * time.Millisecond)
		return same && total(targets, running) == 0
	})
	assert.Check(t, before < requests, "all responses fit into the buffers of the connection")
	assert.Equal(t, l.send(l.daemons[0], http.MethodGet, "/counted/10", "").status, http.StatusOK)
	for i := range requests {
		r, err := c.read()
		assert.NilError(t, err)
		assert.Equal(t, r.id, fmt.Sprint("s", i))
		assert.Equal(t, len(r.body), size, "status %d, %s", r.status, r.body[:min(len(r.body), 50)])
	}
}

// Guards against lost, doubled or reordered responses under many connections: 200 with 100 requests
// each, which reach the limits of the host. So many requests at once may be refused, as they are on as
// many connections without pipelining; a refused one must not have run.
func TestManyPipelinedConnections(t *testing.T) {
	l := newLocalCluster(t, 1)
	targets := l.countedGroup(2)
	ran := func(id string) bool {
		return slices.ContainsFunc(targets, func(tg *countingTarget) bool { return tg.ran(id) })
	}
	const conns, requests = 200, 100
	var wg sync.WaitGroup
	failures := make(chan string, conns)
	var refused atomic.Int32
	for i := range conns {
		c := l.pipelinedCaller(l.daemons[0])
		assert.NilError(t, c.SetDeadline(time.Now().Add(5*time.Minute))) // a busy machine with the race detector
		wg.Add(1)
		go func() {
			defer wg.Done()
			var all strings.Builder
			for j := range requests {
				all.WriteString(pipelined("GET", "/counted/10", fmt.Sprintf("c%d-%d", i, j)))
			}
			go func() { _, _ = io.WriteString(c, all.String()) }()
			for j := range requests {
				r, err := c.read()
				want := fmt.Sprintf("c%d-%d", i, j)
				isRefused := r.status == http.StatusServiceUnavailable && strings.HasPrefix(r.body, "not-run ")
				if err != nil || r.id != want || r.status != http.StatusOK && !isRefused || isRefused == ran(want) {
					failures <- fmt.Sprintf("%s: got %q, status %d, %v, %s", want, r.id, r.status, err, r.body)
					return
				}
				if isRefused {
					refused.Add(1)
				}
			}
		}()
	}
	wg.Wait()
	close(failures)
	for f := range failures {
		t.Error(f)
	}
	assert.Equal(t, total(targets, running), 0)
	t.Log(refused.Load(), "refused", l.daemons[0].Metrics().Map("pipeline").String())
}

// Guards against a shutdown that loses responses to pipelined requests, or announces the close before
// the last of them, so that callers send the rest again.
func TestStopAnswersPipelinedRequests(t *testing.T) {
	l := newLocalCluster(t, 1)
	l.slowRoute(900 * time.Millisecond)
	for _, tg := range l.targets {
		if tg.service == "bids" {
			tg.Work = 1200 * time.Millisecond
		}
	}
	l.configure(3, standin.Route{Name: "slow", Host: hostName, Prefix: "/slow/", Type: "safe", Service: "slow", Timeout: "5s", MaxAttempts: 1},
		standin.Route{Name: "slower", Host: hostName, Prefix: "/slower/", Type: "safe", Service: "bids", Timeout: "5s", MaxAttempts: 1})
	l.awaitVersion(3, "slow")
	d := l.daemons[0]
	c := l.pipelinedCaller(d)
	c.send(pipelined("GET", "/slow/1", "p1"), pipelined("GET", "/lots/2", "p2"), pipelined("GET", "/slower/3", "p3"))
	l.await("the requests run", func() bool {
		return !l.startOf("p1").IsZero() && !l.startOf("p2").IsZero() && !l.startOf("p3").IsZero()
	})
	d.stop()
	assert.Check(t, !c.expect("p1", http.StatusOK).closed, "the close is announced before the last response")
	assert.Check(t, !c.expect("p2", http.StatusOK).closed, "the close is announced before the last response")
	assert.Check(t, c.expect("p3", http.StatusOK).closed, "the last response doesn't announce the close")
	_, err := c.reader.ReadByte()
	assert.Equal(t, err, io.EOF)
	<-d.done
	assert.NilError(t, d.err)
}

// Guards against requests that a host starts although it has announced the close: callers send them
// again, so that they would run twice.
func TestStoppingHostStartsNothingBehindAnAnnouncedClose(t *testing.T) {
	l := newLocalCluster(t, 1)
	d := l.daemons[0]
	c := l.pipelinedCaller(d)
	c.send(pipelined("GET", "/lots/1", "e1"))
	c.expect("e1", http.StatusOK)
	d.stop()
	l.await("the host is leaving", func() bool { return d.Board().Status.Load().Leaving })
	c.send(pipelined("GET", "/lots/2", "e2"), pipelined("GET", "/lots/3", "e3"), pipelined("POST", "/bids/4", "e4", "Content-Length: 0"))
	assert.Check(t, c.expect("e2", http.StatusOK).closed)
	_, err := c.reader.ReadByte()
	assert.Equal(t, err, io.EOF)
	<-d.done
	assert.NilError(t, d.err)
	assert.Equal(t, l.runs("e3")+l.runs("e4"), 0)
}
