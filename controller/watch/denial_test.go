package watch

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/dispatch"
	"github.com/cactusproxy/cactusproxy/entry"
	"github.com/cactusproxy/cactusproxy/internal/fakes/memstore"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/denial"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/targetapi"
)

// noCapacity is a Dispatcher without capacity on any target: a request that has a route is
// answered with 503.
type noCapacity struct{}

func (noCapacity) Admit(*dispatch.Call) (func(), outcome.Result) { return func() {}, outcome.Result{} }

func (noCapacity) Do(context.Context, *dispatch.Call) *dispatch.Reply {
	return &dispatch.Reply{Result: outcome.Refuse(outcome.ReasonNoTarget)}
}

// newCallers returns the HTTP handler for a host's callers.
func newCallers(board *blackboard.Board, c *Controller) http.Handler {
	return entry.New(entry.Deps{
		Board:       board,
		Dispatcher:  noCapacity{},
		Metrics:     metrics.New(),
		ConfigFresh: func() bool { return true },
		Contract:    &targetapi.Contract{},
		Finder:      entry.NewRouteFinder(board, c),

		ReplicaAge:   c.ReplicaAge,
		AwaitCurrent: c.AwaitCurrent,
	}).ProxyHandler()
}

// denies reports whether the host answers a request for a path with 404.
func (h *host) denies(path string) bool {
	r := httptest.NewRequest(http.MethodGet, path, nil)
	r.Host = callersHost
	w := httptest.NewRecorder()
	h.callers.ServeHTTP(w, r)
	return w.Code == http.StatusNotFound
}

// denials counts how many of 100 requests for the route added by a version the host answers with
// 404, starting once the bound has passed since the version was accepted.
func (h *host) denials(version uint64) (n int) {
	time.Sleep(bound)
	for range 100 {
		if h.denies(addedPrefix(version)) {
			n++
		}
		time.Sleep(100 * time.Millisecond)
	}
	return n
}

// congestedLink is the rate in bytes per second of a link on which even the heartbeats, some 2
// kB per second, queue for longer and longer.
const congestedLink = 100

// Guards against answering 404 for a route that was added seconds ago; callers do not retry a
// 404. The host's link is saturated, so heartbeats and the change queue behind each other. The
// host finds no route in its table and must not treat that table as the newest. With links of 10
// Mbit/s, hosts still used version 2 when version 5 had been accepted 2.5 s before.
func TestHostOnAFullLinkDeniesNothingThatWasAdded(t *testing.T) {
	var slow atomic.Pointer[host]
	setUp := func(fl *fleet) {
		fl.net.Bandwidth = func(id ports.HostID) float64 {
			if h := slow.Load(); h != nil && h.addr == string(id) {
				return congestedLink
			}
			return slowLink
		}
	}
	withNetwork(t, 14, setUp, func(fl *fleet) {
		h := fl.nonWatcher()
		slow.Store(h)
		h.client.SetMode(memstore.Unresponsive)
		time.Sleep(time.Second)
		fl.record.PutConfig(config(2))
		assert.Check(t, h.denials(2) == 0)
		assert.Check(t, h.version() == 1, "the host is no longer behind, so the test proves nothing")
		slow.Store(nil)
		time.Sleep(10 * time.Minute) // the link drains its queue
	})
}

// Guards against denying by a table known to be old: every message of a change to one host is
// lost, and so are its own requests, to the store too, but heartbeats tell it that there is a newer
// version.
func TestHostThatHeardOfANewerVersionDeniesNothing(t *testing.T) {
	var behind atomic.Pointer[host]
	setUp := func(fl *fleet) {
		fl.net.Drop = func(from, to peer.HostID, kind peer.Kind) bool {
			h := behind.Load()
			return h != nil && kind != kindHeartbeat && (h.addr == string(to) || h.addr == string(from))
		}
	}
	withNetwork(t, 14, setUp, func(fl *fleet) {
		h := fl.nonWatcher()
		behind.Store(h)
		h.client.SetMode(memstore.Unresponsive)
		fl.record.PutConfig(config(2))
		time.Sleep(300 * time.Millisecond)
		assert.Check(t, !h.denies(addedPrefix(2)), "denied although a heartbeat named a newer version")
		assert.Check(t, h.denials(2) == 0)
		assert.Check(t, h.version() == 1, "the host is no longer behind, so the test proves nothing")
	})
}

// A host is cut off from all others and from the store, and callers still reach it.
func TestHostThatIsCutOffDeniesNothingThatWasAdded(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		cut := fl.hosts[4]
		fl.isolate(cut)
		fl.record.PutConfig(config(2))
		assert.Check(t, cut.denials(2) == 0)
	})
}

// Guards against answering 503 for paths that never existed, which makes callers retry in vain:
// all hosts hear that the store serves the watchers, and can answer 404 at once.
func TestRouteThatNeverWasIsDenied(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		denied := 0
		for range 300 {
			for _, h := range fl.hosts {
				if h.denies("/never/") {
					denied++
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, denied, 300*len(fl.hosts))
	})
}

// A starting host has just read the configuration itself and does not watch yet. It must answer
// 404 for paths that never existed from the first moment.
func TestHostThatHasJustReadTheStoreDenies(t *testing.T) {
	withFleet(t, 3, func(fl *fleet) {
		for _, h := range fl.hosts {
			h.stop()
		}
		fl.hosts = nil
		h := fl.start(0, true)
		for !h.board.Status.Load().Serving() {
			time.Sleep(100 * time.Microsecond)
		}
		assert.Check(t, h.denies("/never/"))
	})
}

// Guards against ending the search at a confirmation that is about to become too old while a
// younger one arrives a moment later: the caller would get a 503 when the response is written.
func TestConfirmationThatIsNearlyTooOldDoesNotEndTheSearch(t *testing.T) {
	withFleet(t, 3, func(fl *fleet) {
		c := fl.nonWatcher().c
		now := time.Now()
		assert.Check(t, !c.applyConfirmation(now, confirmReply{Version: 1, Known: true, Age: denial.MaxAge - time.Millisecond}))
		assert.Check(t, !c.applyConfirmation(now.Add(-100*time.Millisecond), confirmReply{Version: 1, Known: true, Age: denial.FreshAge - 50*time.Millisecond}))
		assert.Check(t, c.applyConfirmation(now, confirmReply{Version: 1, Known: true, Age: time.Second}))
	})
}

// nonWatcher returns a host that does not watch the store.
func (fl *fleet) nonWatcher() *host {
	for _, h := range fl.hosts {
		if !h.watches() {
			return h
		}
	}
	return nil
}

// Guards against denying by the old configuration after one was accepted that this program can
// not read, as with a newer format. The old one stays in force, and the store keeps answering
// that nothing has changed, which does not confirm the old one. Once a readable configuration
// follows, unknown paths are denied again.
func TestUnreadableConfigurationStopsDenials(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		fl.record.PutUnreadableConfig()
		for _, h := range fl.hosts {
			assert.Check(t, h.denials(2) == 0, "%s", h.addr)
		}
		fl.record.PutConfig(config(3))
		took := fl.await(nil, func(h *host) bool { return h.denies("/never/") })
		assert.Check(t, took < bound, "denied again after %s", took)
	})
}

// Guards against taking heartbeats for timely because none was ever faster: the link has been
// saturated for over a minute, with a constant delay of 3 s.
func TestHostOnALinkThatIsFullForLongDeniesNothingThatWasAdded(t *testing.T) {
	const wait = 3 * time.Second
	var slow atomic.Pointer[host]
	setUp := func(fl *fleet) {
		fl.net.Delay = func(_, to ports.HostID) time.Duration {
			if h := slow.Load(); h != nil && h.addr == string(to) {
				return wait
			}
			return time.Millisecond
		}
	}
	withNetwork(t, 14, setUp, func(fl *fleet) {
		h := fl.nonWatcher()
		h.client.SetMode(memstore.Unresponsive)
		slow.Store(h)
		time.Sleep(70 * time.Second)
		fl.record.PutConfig(config(2))
		time.Sleep(bound)
		denied := 0
		for end := time.Now().Add(wait - bound); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			if h.denies(addedPrefix(2)) {
				denied++
			}
		}
		assert.Check(t, denied == 0, "%d denied", denied)
	})
}

// Guards against dating a store answer by its arrival: answers take long to reach the watchers,
// and what one says was true when the store made it or when it was requested. Hosts would deny
// routes that were added in between.
func TestAnswerThatWasLongOnItsWayIsOld(t *testing.T) {
	for _, lag := range []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
		denied := 0
		withFleet(t, 14, func(fl *fleet) {
			fl.record.SetReplyDelay(lag)
			time.Sleep(20 * time.Second)
			for v := uint64(2); v < 12; v++ {
				fl.record.PutConfig(config(v))
				time.Sleep(bound)
				for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
					for _, h := range fl.hosts {
						if h.denies(addedPrefix(v)) {
							denied++
						}
					}
				}
				time.Sleep(time.Duration(v) * 173 * time.Millisecond) // vary the phase of the watches
			}
		})
		assert.Check(t, denied == 0, "answers delayed by %s: %d denied", lag, denied)
	}
}
