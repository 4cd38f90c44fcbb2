package edge_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/platform/standin"
)

func TestWholePath(t *testing.T) {
	l := newLocalCluster(t, 3)
	for i := range 60 {
		d := l.daemons[i%3]
		a := l.send(d, http.MethodGet, "/lots/7?x=1", "")
		assert.NilError(t, a.err)
		assert.Equal(t, a.status, http.StatusOK)
		assert.Equal(t, a.body, standin.ResponseBody(a.id, 0))
		assert.Equal(t, a.header.Get(standin.HeaderSeal), "seal-"+a.id)
		b := l.send(d, http.MethodPost, "/bids/7", "roses")
		assert.Equal(t, b.status, http.StatusOK)
		assert.Equal(t, b.body, standin.ResponseBody(b.id, 5))
		assert.Equal(t, l.runs(b.id), 1)
	}
	assert.Equal(t, l.send(l.daemons[0], http.MethodGet, "/other/", "").status, http.StatusNotFound)
}

// A route that the operator adds or removes must be in force on every host within two seconds.
func TestConfigurationIsInForceEverywhere(t *testing.T) {
	l := newLocalCluster(t, 3)
	status := func(want int) func() bool {
		return func() bool {
			for _, d := range l.daemons {
				if l.send(d, http.MethodGet, "/new/", "").status != want {
					return false
				}
			}
			return true
		}
	}
	start := time.Now()
	l.configure(2, standin.Route{Name: "new", Host: hostName, Prefix: "/new/", Type: "safe", Service: "lots", Timeout: "1s", MaxAttempts: 1})
	l.await("the new route is in force", status(http.StatusOK))
	assert.Check(t, time.Since(start) < 2*time.Second)
	start = time.Now()
	l.configure(3)
	l.await("the route is gone", status(http.StatusNotFound))
	assert.Check(t, time.Since(start) < 2*time.Second)
}

// A target is marked as draining. Two seconds later no host may send it new requests.
func TestLeavingTargetGetsNothingNew(t *testing.T) {
	l := newLocalCluster(t, 3)
	leaving := l.targets["bids-1"]
	l.list(leaving, "draining")
	time.Sleep(2 * time.Second)
	mark := time.Now()
	for i := range 60 {
		assert.Equal(t, l.send(l.daemons[i%3], http.MethodPost, "/bids/7", "").status, http.StatusOK)
	}
	assert.Check(t, leaving.LastRun().Before(mark))
}

// timeToKnowAll is how long after its start a host knows all others, and has its share of the retries.
const timeToKnowAll = 1500 * time.Millisecond

// A target runs a request and its response is lost. A safe request must be retried on another
// target. A mutating one must not run again, and its client gets status 502: it may have run.
func TestLostAnswers(t *testing.T) {
	l := newLocalCluster(t, 1)
	time.Sleep(timeToKnowAll)
	for _, tg := range l.targets {
		tg.LoseResponse = func(id string) bool { return strings.HasSuffix(id, "-lost") && l.runs(id) == 1 }
	}
	for i := range 10 {
		a := l.sendWithID(fmt.Sprintf("read%d-lost", i), l.daemons[0], http.MethodGet, "/lots/7", "")
		assert.Equal(t, a.status, http.StatusOK)
		b := l.sendWithID(fmt.Sprintf("bid%d-lost", i), l.daemons[0], http.MethodPost, "/bids/7", "")
		assert.Equal(t, b.status, http.StatusBadGateway)
		assert.Equal(t, l.runs(b.id), 1)
	}
}

// One response of each target is corrupted into a status 421 without the seal and request ID
// headers, which looks like another target that has taken over the address. Guards against
// excluding such targets for as long as they run, which would leave the host without any.
func TestGarbledAnswersTakeNoTargetAwayForGood(t *testing.T) {
	l := newLocalCluster(t, 1)
	for _, tg := range l.targets {
		var once atomic.Bool
		tg.CorruptStatus = func(string) int {
			if once.Swap(true) {
				return 0
			}
			return http.StatusMisdirectedRequest
		}
	}
	read := func() int { return l.send(l.daemons[0], http.MethodGet, "/lots/7", "").status }
	l.await("all targets excluded", func() bool { return read() == http.StatusServiceUnavailable })
	l.await("a target in use again", func() bool { return read() == http.StatusOK })
}

// An error response without the seal header does not come from a target that ran the request.
// A safe request must be retried on another target, and a mutating one gets status 502: it may
// have run. Guards against forwarding the status, which would blame a valid request.
func TestErrorWithoutSealIsNotForwarded(t *testing.T) {
	l := newLocalCluster(t, 1)
	time.Sleep(timeToKnowAll)
	statuses := []int{301, 400, 404, 413, 431}
	for _, tg := range l.targets {
		tg.CorruptStatus = func(id string) int {
			_, suffix, _ := strings.Cut(id, "-spoilt-")
			status, _ := strconv.Atoi(suffix)
			if l.runs(id) > 1 {
				return 0
			}
			return status
		}
	}
	for _, status := range statuses {
		a := l.sendWithID(fmt.Sprintf("read-spoilt-%d", status), l.daemons[0], http.MethodGet, "/lots/7", "")
		assert.Equal(t, a.status, http.StatusOK)
		b := l.sendWithID(fmt.Sprintf("bid-spoilt-%d", status), l.daemons[0], http.MethodPost, "/bids/7", "")
		assert.Equal(t, b.status, http.StatusBadGateway)
		assert.Equal(t, l.runs(b.id), 1)
	}
}

// During an outage of the store, requests are still served, and a host that starts loads the
// routes and targets from its peers.
func TestServesDuringStoreOutage(t *testing.T) {
	l := newLocalCluster(t, 2)
	l.store.Set(standin.Fault{Refuse: true})
	time.Sleep(500 * time.Millisecond)
	d := l.start()
	for range 10 {
		assert.Equal(t, l.send(d, http.MethodPost, "/bids/7", "").status, http.StatusOK)
	}
}

// A host is stopped while clients keep sending on open connections. Every request that it has
// read must get its complete response, readiness checks must fail at once, and clients must be
// told to close their connections.
func TestStopCutsNothingOff(t *testing.T) {
	l := newLocalCluster(t, 2)
	d := l.daemons[1]
	l.client = &http.Client{}
	var wg sync.WaitGroup
	failed := make(chan response, 1000)
	stopping := make(chan struct{})
	for w := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; ; i++ {
				a := l.sendWithID(fmt.Sprintf("w%d-%d", w, i), d, http.MethodPost, "/bids/7", "")
				if a.err != nil || a.status != http.StatusOK {
					failed <- a
					return
				}
				select {
				case <-stopping:
					if a.closed {
						return
					}
				default:
				}
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	d.stop()
	close(stopping)
	l.await("not ready", func() bool { return !d.ready(l) })
	<-d.done
	assert.NilError(t, d.err)
	wg.Wait()
	close(failed)
	for a := range failed {
		t.Errorf("%s: status %d, %v", a.id, a.status, a.err)
	}
}

// A host is stopped with the default drain settings while clients keep sending. It must accept
// requests for two seconds, until the load balancer has removed it, and none after three
// seconds: those might not complete before the platform kills the process.
func TestStopTakesNothingThatItMayNotFinish(t *testing.T) {
	l := newLocalCluster(t, 1)
	l.drain = ""
	d := l.start()
	slow := l.targets["bids-0"]
	slow.Work = 4 * time.Second
	started := time.Now()
	done := make(chan response, 3)
	for i := range 3 { // one of them reaches the slow target
		go func() { done <- l.sendWithID(fmt.Sprintf("slow%d", i), d, http.MethodPost, "/bids/7", "") }()
	}
	time.Sleep(100 * time.Millisecond)
	d.stop()
	time.Sleep(2100*time.Millisecond - time.Since(started))
	assert.Equal(t, l.send(d, http.MethodGet, "/lots/7", "").status, http.StatusOK)
	time.Sleep(3000*time.Millisecond - time.Since(started))
	assert.Check(t, l.send(d, http.MethodGet, "/lots/7", "").err != nil, "a request was accepted 3 s after the stop began")
	for range 3 {
		a := <-done
		assert.Check(t, a.err == nil, "%s: %v", a.id, a.err)
	}
}

// A target crashes while it is still listed. Mutating requests whose connection is refused must
// go to another target; their clients see no error.
func TestCrashedTargetIsAvoided(t *testing.T) {
	l := newLocalCluster(t, 2)
	l.send(l.daemons[0], http.MethodPost, "/bids/7", "")
	dead := l.targets["bids-1"]
	dead.server.CloseClientConnections()
	dead.server.Close()
	for i := range 40 {
		a := l.send(l.daemons[i%2], http.MethodPost, "/bids/7", "")
		assert.Equal(t, a.status, http.StatusOK, "%v", a.err)
	}
}

// A target drains, stops and restarts under the same ID at another address, and then a delayed
// write of the stopped process arrives. The new process must get requests within two seconds,
// and keep getting them after the stale write.
func TestTargetStartsAgainUnderItsName(t *testing.T) {
	l := newLocalCluster(t, 3)
	for i := range 2 {
		l.list(l.targets[fmt.Sprint("bids-", i)], "draining")
	}
	old := l.targets["bids-2"]
	old.StartMillis = 1000
	l.list(old, "ready")
	l.list(old, "draining")
	status := func(want int) func() bool {
		return func() bool {
			for _, d := range l.daemons {
				if l.send(d, http.MethodPost, "/bids/7", "").status != want {
					return false
				}
			}
			return true
		}
	}
	l.await("no target in use", status(http.StatusServiceUnavailable))
	next := l.restartTarget("bids-2", 2000)
	begun := time.Now()
	l.await("the new process is in use", status(http.StatusOK))
	assert.Check(t, time.Since(begun) < 2*time.Second)
	l.list(old, "draining")
	time.Sleep(500 * time.Millisecond)
	assert.Check(t, status(http.StatusOK)())
	l.list(next, "draining")
	l.await("the new process drains", status(http.StatusServiceUnavailable))
}

// Another program writes invalid entries into the table of targets: one replaces the entry of a
// known target, the others name the address of a server that is not a valid target. Requests
// must go to the remaining targets only.
func TestForeignEntriesGetNoRequests(t *testing.T) {
	l := newLocalCluster(t, 2)
	stray := l.addTarget("stray", "bids")
	addr := stray.server.Listener.Addr().String()
	l.store.Put("servers", "stray", fmt.Appendf(nil, `{"service":"bids","address":%q,"zone":"a","capacity":2,"state":"ready"}`, addr))
	l.store.Put("servers", "odd", fmt.Appendf(nil, `{"service":"bids","address":%q,"zone":"a","version":"v1","capacity":2,"state":"sleeping","warmup_left":"0ms","seq":1}`, addr))
	l.store.Put("servers", "bids-0", []byte{0xff, 0xfe})
	time.Sleep(2 * time.Second)
	mark := time.Now()
	for i := range 60 {
		assert.Equal(t, l.send(l.daemons[i%2], http.MethodPost, "/bids/7", "").status, http.StatusOK)
	}
	assert.Check(t, stray.LastRun().Before(mark))
	assert.Check(t, l.targets["bids-0"].LastRun().Before(mark))
}
