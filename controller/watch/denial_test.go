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
	"github.com/cactusproxy/cactusproxy/internal/fakes/record"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/denial"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/targetapi"
)

// full is a Dispatcher whose targets have no room: a caller whose request has a route is
// told 503.
type full struct{}

func (full) Admit(*dispatch.Call) (func(), outcome.Result) { return func() {}, outcome.Result{} }

func (full) Do(context.Context, *dispatch.Call) *dispatch.Reply {
	return &dispatch.Reply{Result: outcome.Refuse(outcome.ReasonNoTarget)}
}

// newCallers returns the handler of a host's callers.
func newCallers(board *blackboard.Board, c entry.Confirmer) http.Handler {
	return entry.New(entry.Deps{
		Board:      board,
		Dispatcher: full{},
		Metrics:    metrics.New(),
		Fresh:      func() bool { return true },
		Contract:   &targetapi.Contract{},
		Finder:     entry.NewRouteFinder(board, c),
	}).Calls()
}

// denies reports whether a caller of a path is told that there is no such route.
func (h *host) denies(path string) bool {
	r := httptest.NewRequest(http.MethodGet, path, nil)
	r.Host = callersHost
	w := httptest.NewRecorder()
	h.callers.ServeHTTP(w, r)
	return w.Code == http.StatusNotFound
}

// denials counts, once the bound has passed since a change was accepted, how often callers of
// the route that it added are told by a host that there is none.
func (h *host) denials(version uint64) (n int) {
	time.Sleep(bound)
	for range 100 {
		if h.denies(added(version)) {
			n++
		}
		time.Sleep(100 * time.Millisecond)
	}
	return n
}

// crawlingLink is the rate of a link in bytes a second on which heartbeats alone, some 2 kB a
// second, wait for longer and longer.
const crawlingLink = 100

// Callers of a route that was added seconds ago are told 404, which no caller repeats. A
// host's link is full: heartbeats and the change wait behind each other, later and later. The
// host finds no route in the table that it has, and answers as if that were the newest one.
//
// Seen with 302 hosts on links of 10 Mbit/s: 2.5 s after version 5 was accepted hosts still
// went by version 2, and 20 requests were answered so.
func TestHostOnAFullLinkDeniesNothingThatWasAdded(t *testing.T) {
	var slow atomic.Pointer[host]
	setUp := func(fl *fleet) {
		fl.net.Rate = func(id ports.HostID) float64 {
			if h := slow.Load(); h != nil && h.addr == string(id) {
				return crawlingLink
			}
			return slowLink
		}
	}
	withNetwork(t, 14, setUp, func(fl *fleet) {
		h := fl.idle()
		slow.Store(h)
		h.client.Set(record.Silent)
		time.Sleep(time.Second)
		fl.record.Configure(config(2))
		assert.Check(t, h.denials(2) == 0)
		assert.Check(t, h.version() == 1, "the host is no longer behind, and the test shows nothing")
		slow.Store(nil)
		time.Sleep(10 * time.Minute) // the link carries what waits
	})
}

// Every message of a change is lost on its way to one host, and so is all that it asks for
// after that. It hears from heartbeats that there is a newer version, and that its table is
// not the one to deny anything by.
func TestHostThatHeardOfANewerVersionDeniesNothing(t *testing.T) {
	var behind atomic.Pointer[host]
	setUp := func(fl *fleet) {
		fl.net.Lost = func(from, to peer.HostID, kind peer.Kind) bool {
			h := behind.Load()
			return h != nil && kind != kindBeat && (h.addr == string(to) || h.addr == string(from))
		}
	}
	withNetwork(t, 14, setUp, func(fl *fleet) {
		h := fl.idle()
		behind.Store(h)
		fl.record.Configure(config(2))
		time.Sleep(300 * time.Millisecond)
		assert.Check(t, !h.denies(added(2)), "told by a heartbeat")
		assert.Check(t, h.denials(2) == 0)
		assert.Check(t, h.version() == 1, "the host is no longer behind, and the test shows nothing")
	})
}

// A host is cut off from all others and from the store, and callers still reach it.
func TestHostThatIsCutOffDeniesNothingThatWasAdded(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		cut := fl.hosts[4]
		fl.freeze(cut)
		fl.record.Configure(config(2))
		assert.Check(t, cut.denials(2) == 0)
	})
}

// All hosts hear that the store serves the watchers, and callers of paths that no
// configuration has are told so at once: 503 would have them come again in vain.
func TestRouteThatNeverWasIsDenied(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		told := 0
		for range 300 {
			for _, h := range fl.hosts {
				if h.denies("/never/") {
					told++
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, told, 300*len(fl.hosts))
	})
}

// A host that starts has just read the configuration by itself, and does not watch yet. A caller of
// a path that never was is told so from the first moment.
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

// A word that is about to be too old comes first, and a younger one a moment later. The caller
// waits for that one: by the first it would be told 503 when the answer is written.
func TestWordThatIsNearlyTooOldDoesNotEndTheAsking(t *testing.T) {
	withFleet(t, 3, func(fl *fleet) {
		c := fl.idle().c
		now := time.Now()
		assert.Check(t, !c.confirmed(now, confirmReply{Version: 1, Known: true, Age: denial.MaxAge - time.Millisecond}))
		assert.Check(t, !c.confirmed(now.Add(-100*time.Millisecond), confirmReply{Version: 1, Known: true, Age: denial.FreshAge - 50*time.Millisecond}))
		assert.Check(t, c.confirmed(now, confirmReply{Version: 1, Known: true, Age: time.Second}))
	})
}

// idle returns a host that does not watch.
func (fl *fleet) idle() *host {
	for _, h := range fl.hosts {
		if !h.watches() {
			return h
		}
	}
	return nil
}

// The operator has a configuration accepted that this program can not read, as it may with a
// format that is newer than the program. The old one stays in force; the store goes on
// answering, but its word that nothing has changed since is no word that the old one is the
// newest. Once there is one that can be read again, unknown paths are denied as ever.
func TestUnreadConfigurationLeavesNothingToDenyBy(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		fl.record.ConfigureUnread()
		for _, h := range fl.hosts {
			assert.Check(t, h.denials(2) == 0, "%s", h.addr)
		}
		fl.record.Configure(config(3))
		took := fl.await(nil, func(h *host) bool { return h.denies("/never/") })
		assert.Check(t, took < bound, "denied again after %s", took)
	})
}

// A link has been full for over a minute, with the same wait of 3 s all the time: no heartbeat
// in memory was any faster, and none must be taken for punctual.
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
		h := fl.idle()
		h.client.Set(record.Silent)
		slow.Store(h)
		time.Sleep(70 * time.Second)
		fl.record.Configure(config(2))
		time.Sleep(bound)
		denied := 0
		for end := time.Now().Add(wait - bound); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			if h.denies(added(2)) {
				denied++
			}
		}
		assert.Check(t, denied == 0, "%d denied", denied)
	})
}

// Answers of the store are long on their way to the hosts that watch it. What one says held
// when the store made it, or when it was asked for, and not when it came: a host that reckons
// from its arrival denies routes that were added before that.
func TestAnswerThatWasLongOnItsWayIsOld(t *testing.T) {
	for _, lag := range []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
		denied := 0
		withFleet(t, 14, func(fl *fleet) {
			fl.record.SetLag(lag)
			time.Sleep(20 * time.Second)
			for v := uint64(2); v < 12; v++ {
				fl.record.Configure(config(v))
				time.Sleep(bound)
				for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
					for _, h := range fl.hosts {
						if h.denies(added(v)) {
							denied++
						}
					}
				}
				time.Sleep(time.Duration(v) * 173 * time.Millisecond) // another moment of the watches
			}
		})
		assert.Check(t, denied == 0, "answers %s on their way: %d denied", lag, denied)
	}
}
