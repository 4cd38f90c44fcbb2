package edge_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/internal/fakes/faultypath"
	"github.com/cactusproxy/cactusproxy/platform/standin"
)

// newCutCluster returns a cluster whose first daemon has lost its paths to all targets and knows
// so.
func newCutCluster(t *testing.T, daemons int) (l *localCluster, cut *daemon) {
	l = newLocalCluster(t, daemons)
	return l, l.cutFirst()
}

// cutFirst takes the paths to all targets away from the first daemon, and waits until it knows so.
func (l *localCluster) cutFirst() *daemon {
	cut := l.daemons[0]
	cut.path.Cut(faultypath.Refused)
	l.await("all paths known as lost", func() bool {
		read := l.send(cut, http.MethodGet, "/lots/7", "")
		bid := l.send(cut, http.MethodPost, "/bids/7", "")
		served := read.status == http.StatusOK && bid.status == http.StatusOK
		return served && strings.Count(l.logs[0].String(), "path to target lost") >= len(l.targets)
	})
	return cut
}

// relayed returns how many connections a daemon has opened through others.
func (d *daemon) relayed() string { return d.Metrics().Map("paths").Get("relayed").String() }

// addRoute adds a service with one target that a handler plays, and a route to it that is not
// retried. Health checks succeed.
func (l *localCluster) addRoute(name, kind string, handler http.HandlerFunc) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			handler(w, r)
		}
	}))
	l.t.Cleanup(server.Close)
	tg := &standin.Target{ID: name + "-0", Slots: 4}
	l.store.Put("servers", tg.ID, tg.Entry(name, server.Listener.Addr().String(), "a", "ready"))
	l.configure(2, standin.Route{Name: name, Host: hostName, Prefix: "/" + name + "/", Type: kind, Service: name, Timeout: "9s", MaxAttempts: 1})
	l.await("the route and its target", func() bool {
		for _, d := range l.daemons {
			if d.Board().Routes.Load().Config.Version != 2 || !d.lists(tg.ID) {
				return false
			}
		}
		return true
	})
}

// lists reports whether a daemon knows a target.
func (d *daemon) lists(id string) bool {
	for _, list := range d.Board().Targets.Load().ByService {
		for _, t := range list {
			if string(t.ID) == id {
				return true
			}
		}
	}
	return false
}

// Guards against hosts that reach their targets and pay for connections through others.
func TestHostsThatReachTheirTargetsUseNoOtherHost(t *testing.T) {
	t.Parallel()
	l := newLocalCluster(t, 3)
	l.assertServed(l.cutTraffic(l.daemons, 0, time.Second))
	for _, d := range l.daemons {
		assert.Equal(t, d.relayed(), "0")
	}
}

// Guards against a host that starts behind a cut and serves none of its callers.
func TestHostThatStartsBehindACutServesItsCallers(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]faultypath.Fault{"silent": faultypath.Silent, "refused": faultypath.Refused} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newLocalCluster(t, 2)
			path := new(faultypath.Path)
			path.Cut(fault)
			d := l.startOn(path)
			l.assertServed(l.cutTraffic([]*daemon{d}, time.Second, 2*time.Second))
		})
	}
}

// Guards against refusals of one service's callers by a host that has lost the paths to its
// targets only, and against requests of the other service that take a detour.
func TestHostCutOffFromOneServiceServesItsCallers(t *testing.T) {
	t.Parallel()
	l := newLocalCluster(t, 3)
	bids := make(map[string]bool)
	for id, tg := range l.targets {
		bids[tg.server.Listener.Addr().String()] = strings.HasPrefix(id, "bids")
	}
	l.daemons[0].path.CutFrom(faultypath.Silent, func(addr string) bool { return bids[addr] })
	l.assertServed(l.cutTraffic(l.daemons[:1], 1500*time.Millisecond, 3*time.Second))
	assert.Check(t, strings.Contains(l.logs[0].String(), `msg="path to target lost" host=h0 target=bids-`))
	assert.Check(t, !strings.Contains(l.logs[0].String(), `msg="path to target lost" host=h0 target=lots-`))
}

// Guards against a host that refuses callers because it is cut off from the store and from all
// targets at the same time.
func TestHostCutOffFromTargetsAndStoreServesItsCallers(t *testing.T) {
	t.Parallel()
	l := newLocalCluster(t, 3)
	l.store.Set(standin.Fault{Refuse: true})
	l.daemons[0].path.Cut(faultypath.Silent)
	l.assertServed(l.cutTraffic(l.daemons[:1], 1500*time.Millisecond, 3*time.Second))
}

// Guards against requests that wait, or travel between hosts, where no host reaches a target.
func TestRequestsAreRefusedAtOnceWhereNoHostReachesATarget(t *testing.T) {
	t.Parallel()
	l := newLocalCluster(t, 3)
	for _, d := range l.daemons {
		d.path.Cut(faultypath.Refused)
	}
	for _, tg := range l.targets {
		tg.server.CloseClientConnections()
	}
	l.cutTraffic(l.daemons, 0, 500*time.Millisecond)
	for _, a := range l.cutTraffic(l.daemons, 0, time.Second) {
		assert.Equal(t, a.status, http.StatusServiceUnavailable)
		assert.Check(t, a.header.Get("Retry-After") != "")
		assert.Check(t, a.took < 400*time.Millisecond, "refused after %s", a.took)
		assert.Equal(t, l.runs(a.id), 0)
	}
}

// Guards against taking a service whose targets are down for a path that is cut.
func TestTargetsThatAreDownAreNoLostPath(t *testing.T) {
	t.Parallel()
	l := newLocalCluster(t, 3)
	for id, tg := range l.targets {
		if strings.HasPrefix(id, "lots") {
			tg.server.CloseClientConnections()
			tg.server.Close()
		}
	}
	for range 20 {
		for _, d := range l.daemons {
			l.send(d, http.MethodGet, "/lots/7", "")
		}
	}
	for i, d := range l.daemons {
		assert.Equal(t, d.relayed(), "0")
		assert.Check(t, !strings.Contains(l.logs[i].String(), "path to target lost"))
	}
}

// Guards against a planned stop of a host that cuts off requests that it carries for others.
func TestStopOfACarryingHostCutsNothingOff(t *testing.T) {
	t.Parallel()
	l, cut := newCutCluster(t, 3)
	for _, tg := range l.targets {
		tg.Work = 150 * time.Millisecond
	}
	done := make(chan []response)
	go func() { done <- l.cutTraffic([]*daemon{cut}, 0, 3*time.Second) }()
	time.Sleep(time.Second)
	l.daemons[1].stop()
	<-l.daemons[1].done
	assert.NilError(t, l.daemons[1].err)
	l.assertServed(<-done)
}

// Guards against requests that go on through other hosts once the path is back.
func TestRequestsGoDirectlyOnceThePathIsBack(t *testing.T) {
	t.Parallel()
	l, cut := newCutCluster(t, 2)
	cut.path.Cut(faultypath.Well)
	l.await("all paths regained", func() bool {
		l.assertServed(l.cutTraffic([]*daemon{cut}, 0, 100*time.Millisecond))
		paths := cut.Metrics().Map("paths")
		return paths.Get("lost").String() == paths.Get("regained").String()
	})
	before := cut.relayed()
	l.assertServed(l.cutTraffic([]*daemon{cut}, 0, time.Second))
	assert.Equal(t, cut.relayed(), before)
}

// Guards against a line that is missing at one of the two hosts of a carried request.
func TestExplainCarriedRequest(t *testing.T) {
	t.Parallel()
	l, cut := newCutCluster(t, 2)
	var a response
	l.await("a carried request", func() bool {
		a = l.send(cut, http.MethodPost, "/bids/7", "")
		return strings.Contains(l.logs[1].String(), `msg="request carried" host=h1 request=`+a.id+" ")
	})
	l.await("the line of the call", func() bool { return strings.Contains(l.logs[0].String(), "request="+a.id+" ") })
	text := l.explanation(a.id)
	assert.Check(t, strings.Contains(text, "via="+l.daemons[1].PeersAddr()))
	assert.Check(t, strings.Contains(text, "path to target lost"))
}

// Guards against a request that runs twice, or is suspected of crashing its target, because the
// host that carried it was killed.
func TestLossOfTheCarryingHostIsBlamedOnNobody(t *testing.T) {
	t.Parallel()
	l := newLocalCluster(t, 1)
	l.drain = `"notice": "1ms", "limit": "2ms"`
	carrier := l.start()
	cut := l.cutFirst()
	for _, tg := range l.targets {
		tg.Work = 500 * time.Millisecond
	}
	done := make(chan response)
	go func() { done <- l.sendWithID("carried", cut, http.MethodPost, "/bids/7", "") }()
	l.await("the request runs", func() bool { return l.runs("carried") == 1 })
	carrier.stop() // its limit cuts off what it carries
	a := <-done
	assert.Equal(t, a.status, http.StatusBadGateway)
	assert.Equal(t, a.header.Get("Cactusproxy-Reason"), "path-lost")
	assert.Equal(t, l.runs("carried"), 1)
	assert.Check(t, cut.Metrics().Map("quarantine").Get("suspected") == nil)
}

// Guards against a request that crashes its targets and is not suspected, since another host
// carries it.
func TestRequestThatCrashesItsTargetBehindAnotherHostIsSuspected(t *testing.T) {
	t.Parallel()
	l, cut := newCutCluster(t, 2)
	for _, tg := range l.targets {
		tg.LoseResponse = func(string) bool { return true }
	}
	a := l.send(cut, http.MethodPost, "/bids/7", "")
	assert.Equal(t, a.status, http.StatusBadGateway)
	assert.Equal(t, a.header.Get("Cactusproxy-Reason"), "target-broke-off")
	assert.Equal(t, cut.Metrics().Map("quarantine").Get("suspected").String(), "1")
}

// Guards against requests that wait in vain because the host that carries them is cut off as well.
func TestHostIsLeftByOthersWhenItLosesItsOwnPath(t *testing.T) {
	t.Parallel()
	l, cut := newCutCluster(t, 2) // its connections are all carried by the other one
	l.start()
	l.daemons[1].path.Cut(faultypath.Silent)
	l.cutTraffic(l.daemons[1:2], 0, 1500*time.Millisecond)
	l.assertServed(l.cutTraffic([]*daemon{cut}, 0, time.Second))
}
