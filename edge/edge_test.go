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
	l := newLab(t, 3)
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

// The operator adds a route and then takes it away: callers of every host find it,
// and then no more, within two seconds.
func TestConfigurationIsInForceEverywhere(t *testing.T) {
	l := newLab(t, 3)
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
	l.await("the new route", status(http.StatusOK))
	assert.Check(t, time.Since(start) < 2*time.Second)
	start = time.Now()
	l.configure(3)
	l.await("no more route", status(http.StatusNotFound))
	assert.Check(t, time.Since(start) < 2*time.Second)
}

// A target says that it is leaving. Within two seconds no host sends it anything
// new, and what it runs is answered.
func TestLeavingTargetGetsNothingNew(t *testing.T) {
	l := newLab(t, 3)
	leaving := l.targets["bids-1"]
	l.list(leaving, "draining")
	time.Sleep(2 * time.Second)
	mark := time.Now()
	for i := range 60 {
		assert.Equal(t, l.send(l.daemons[i%3], http.MethodPost, "/bids/7", "").status, http.StatusOK)
	}
	assert.Check(t, leaving.LastRun().Before(mark))
}

// A target runs a request and its answer is lost. A read is sent to another target;
// a bid is told at once that it may have run, never that it did not, and never runs
// again.
func TestLostAnswers(t *testing.T) {
	l := newLab(t, 1)
	for _, tg := range l.targets {
		tg.LoseResponse = func(id string) bool { return strings.HasSuffix(id, "-lost") && l.runs(id) == 1 }
	}
	for i := range 10 {
		a := l.sendAs(fmt.Sprintf("read%d-lost", i), l.daemons[0], http.MethodGet, "/lots/7", "")
		assert.Equal(t, a.status, http.StatusOK)
		b := l.sendAs(fmt.Sprintf("bid%d-lost", i), l.daemons[0], http.MethodPost, "/bids/7", "")
		assert.Equal(t, b.status, http.StatusBadGateway)
		assert.Equal(t, l.runs(b.id), 1)
	}
}

// Each target's answer to one read is garbled, and reads as 421 without seal and echo: the
// word of another target that has the address. All are listed as before, and take calls
// again. Left out for as long as they run, they would leave this host none all day.
func TestGarbledAnswersTakeNoTargetAwayForGood(t *testing.T) {
	l := newLab(t, 1)
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
	l.await("no target left", func() bool { return read() == http.StatusServiceUnavailable })
	l.await("a target that takes calls", func() bool { return read() == http.StatusOK })
}

// Bytes that read as a failure stand where a target's answer is due, without its seal. The
// caller of a read gets the answer of another target; the caller of a bid is told that it
// may have run. Neither is told that its proper request was wrong.
func TestFailureWithoutSealIsNoWordToCallers(t *testing.T) {
	l := newLab(t, 1)
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
		a := l.sendAs(fmt.Sprintf("read-spoilt-%d", status), l.daemons[0], http.MethodGet, "/lots/7", "")
		assert.Equal(t, a.status, http.StatusOK)
		b := l.sendAs(fmt.Sprintf("bid-spoilt-%d", status), l.daemons[0], http.MethodPost, "/bids/7", "")
		assert.Equal(t, b.status, http.StatusBadGateway)
		assert.Equal(t, l.runs(b.id), 1)
	}
}

// The store is out. Calls go on, and a host that starts meanwhile learns all it
// needs from the others.
func TestStoreIsOut(t *testing.T) {
	l := newLab(t, 2)
	l.store.Set(standin.Fault{Refuse: true})
	time.Sleep(500 * time.Millisecond)
	d := l.start()
	for range 10 {
		assert.Equal(t, l.send(d, http.MethodPost, "/bids/7", "").status, http.StatusOK)
	}
}

// A host is stopped while callers keep sending on open connections. Every request
// that it has read gets its whole answer, the balancer sees at once that it is not
// ready, and callers are told to close their connections.
func TestStopCutsNothingOff(t *testing.T) {
	l := newLab(t, 2)
	d := l.daemons[1]
	l.client = &http.Client{}
	var wg sync.WaitGroup
	failed := make(chan answer, 1000)
	stopping := make(chan struct{})
	for w := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; ; i++ {
				a := l.sendAs(fmt.Sprintf("w%d-%d", w, i), d, http.MethodPost, "/bids/7", "")
				if a.err != nil || a.status != http.StatusOK {
					failed <- a
					return
				}
				select {
				case <-stopping:
					if a.last {
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

// A host is stopped with the usual settings while callers go on. It takes new calls
// until the balancer must have seen that it is not ready, two seconds, and none that
// come later than three seconds: those might not be finished before the platform kills
// the process.
func TestStopTakesNothingThatItMayNotFinish(t *testing.T) {
	l := newLab(t, 1)
	l.drain = ""
	d := l.start()
	slow := l.targets["bids-0"]
	slow.Work = 4 * time.Second
	started := time.Now()
	done := make(chan answer, 3)
	for i := range 3 { // one of them is at the slow target
		go func() { done <- l.sendAs(fmt.Sprintf("slow%d", i), d, http.MethodPost, "/bids/7", "") }()
	}
	time.Sleep(100 * time.Millisecond)
	d.stop()
	time.Sleep(2100*time.Millisecond - time.Since(started))
	assert.Equal(t, l.send(d, http.MethodGet, "/lots/7", "").status, http.StatusOK)
	time.Sleep(3000*time.Millisecond - time.Since(started))
	assert.Check(t, l.send(d, http.MethodGet, "/lots/7", "").err != nil, "a call was taken 3 s after the stop began")
	for range 3 {
		a := <-done
		assert.Check(t, a.err == nil, "%s: %v", a.id, a.err)
	}
}

// A target dies without a word. Callers of the others' hosts notice nothing but a
// little time: no bid that was sent may be sent again, but one that found no
// connection goes to another target.
func TestTargetDies(t *testing.T) {
	l := newLab(t, 2)
	l.send(l.daemons[0], http.MethodPost, "/bids/7", "")
	dead := l.targets["bids-1"]
	dead.server.CloseClientConnections()
	dead.server.Close()
	for i := range 40 {
		a := l.send(l.daemons[i%2], http.MethodPost, "/bids/7", "")
		assert.Equal(t, a.status, http.StatusOK, "%v", a.err)
	}
}

// A target drains, ends, and starts again under its name at another address; a write of
// its former run that was on its way arrives after that. Callers are served by the new run
// within two seconds, and go on being served.
func TestTargetStartsAgainUnderItsName(t *testing.T) {
	l := newLab(t, 3)
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
	l.await("no target", status(http.StatusServiceUnavailable))
	next := l.restartTarget("bids-2", 2000)
	begun := time.Now()
	l.await("the new run", status(http.StatusOK))
	assert.Check(t, time.Since(begun) < 2*time.Second)
	l.list(old, "draining")
	time.Sleep(500 * time.Millisecond)
	assert.Check(t, status(http.StatusOK)())
	l.list(next, "draining")
	l.await("the new run's own drain", status(http.StatusServiceUnavailable))
}

// Another writer puts entries into the table of targets: of a target that is there, of
// one that is not, and of one that has the address of a listener of its own. Callers are
// served by the targets that are left, and nothing else gets their requests.
func TestForeignEntriesGetNoRequests(t *testing.T) {
	l := newLab(t, 2)
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
