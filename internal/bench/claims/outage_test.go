package claims

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/internal/fakes/peernet"
	"github.com/cactusproxy/cactusproxy/internal/standin/store"
	"github.com/cactusproxy/cactusproxy/ledger"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Size of the outage that is played.
const (
	outage      = 10 * time.Minute
	outageHosts = 15
	outageCalls = 12_000
	longestIdle = 30 * time.Second
	peerDelay   = 500 * time.Microsecond
	outageSeed  = 1
)

// auction is a set of hosts through an outage.
type auction struct {
	table   *store.Store
	net     *peernet.Network
	running sync.WaitGroup
	rand    *rand.Rand

	mu      sync.Mutex
	ledgers []*ledger.Ledger
	cancels []context.CancelFunc
	told    map[string]int
}

func newAuction() *auction {
	a := &auction{
		table: store.New(store.Limits{}),
		net:   peernet.New(),
		rand:  rand.New(rand.NewPCG(outageSeed, outageSeed)),
		told:  make(map[string]int),
	}
	a.net.Delay = func(peer.HostID, peer.HostID) time.Duration { return peerDelay }
	for i := range outageHosts {
		a.ledgers = append(a.ledgers, nil)
		a.cancels = append(a.cancels, nil)
		a.boot(i, 1)
	}
	return a
}

func (a *auction) boot(i int, incarnation uint64) {
	id := ports.HostID(fmt.Sprintf("host-%d", i))
	ctx, cancel := context.WithCancel(context.Background())
	l := ledger.New(ledger.Deps{
		Table:       a.table,
		Link:        a.net.Join(id),
		Host:        id,
		Incarnation: incarnation,
		Options:     ledger.Options{ClusterKeys: [][]byte{[]byte("secret")}},
	})
	a.mu.Lock()
	a.ledgers[i] = l
	a.cancels[i] = cancel
	a.mu.Unlock()
	a.running.Go(func() { _ = l.Run(ctx) })
}

func (a *auction) host(i int) *ledger.Ledger {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ledgers[i]
}

func (a *auction) count(what string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.told[what]++
}

// buy sends one call with the key, to the end.
func (a *auction) buy(l *ledger.Ledger, k ledger.Key) {
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline)
	defer cancel()
	c, _, r := l.Begin(ctx, k)
	if c == nil {
		a.count(r.Outcome.String() + "/" + string(r.Reason))
		return
	}
	if c.BeginAttempt() {
		c.Finish(ctx, answer)
		a.count("answered")
	}
}

// play has buyers call throughout the outage; half way a host crashes.
func (a *auction) play(issued bool) map[string]int {
	a.table.SetFaults(store.Faults{Down: true})
	var calls sync.WaitGroup
	for n := range outageCalls {
		if n == outageCalls/2 {
			a.cancels[0]()
			a.boot(0, 2)
		}
		from, to := a.rand.IntN(outageHosts), a.rand.IntN(outageHosts)
		held := time.Duration(a.rand.Int64N(int64(longestIdle)))
		k := ledger.Key{Workspace: "auction", Service: "bids", Caller: "buyer", DigestKnown: true}
		k.Value = fmt.Sprintf("purchase-%d", n)
		if issued {
			k.Value = a.host(from).Issue(k.Workspace, k.Service, k.Caller)
		}
		calls.Go(func() {
			time.Sleep(held)
			a.buy(a.host(to), k)
		})
		time.Sleep(outage / outageCalls)
	}
	calls.Wait()
	for _, cancel := range a.cancels {
		cancel()
	}
	a.running.Wait()
	// The last messages are still on their way.
	time.Sleep(time.Second)
	return a.told
}

// The store is down for ten minutes of an auction, and one of 15 hosts crashes
// half way. With keys of their own, buyers are told unknown throughout, for only
// the store could tell that no earlier send ran. With issued keys they buy; only
// keys of the crashed host that were not used yet are lost.
func TestAuctionThroughAnOutage(t *testing.T) {
	for _, issued := range []bool{false, true} {
		var told map[string]int
		synctest.Test(t, func(*testing.T) { told = newAuction().play(issued) })
		t.Logf("%d calls in %v, issued keys %t: %v", outageCalls, outage, issued, told)
		if !issued {
			// A write that is being refused when its call's deadline ends is told
			// as claim-unknown.
			unknown := told["unknown/store-unavailable"] + told["unknown/claim-unknown"]
			assert.Equal(t, unknown, outageCalls)
			continue
		}
		lost := told["unknown/issuer-gone"]
		assert.Equal(t, told["answered"]+lost, outageCalls)
		// At most the keys that one host issued in the time that keys are held.
		assert.Check(t, lost < 2*outageCalls*int(longestIdle)/int(outage)/outageHosts, "%d", lost)
	}
}
