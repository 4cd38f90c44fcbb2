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

// Parameters of the simulated outageDuration.
const (
	outageDuration = 10 * time.Minute
	outageHosts    = 15
	outageCalls    = 12_000
	maxKeyIdle     = 30 * time.Second
	peerDelay      = 500 * time.Microsecond
	outageSeed     = 1
)

// outageFleet is a fleet of ledgers that serves calls during a store outage.
type outageFleet struct {
	table   *store.Store
	net     *peernet.Network
	running sync.WaitGroup
	rand    *rand.Rand

	mu       sync.Mutex
	ledgers  []*ledger.Ledger
	cancels  []context.CancelFunc
	outcomes map[string]int
}

func newOutageFleet() *outageFleet {
	a := &outageFleet{
		table:    store.New(store.Limits{}),
		net:      peernet.New(),
		rand:     rand.New(rand.NewPCG(outageSeed, outageSeed)),
		outcomes: make(map[string]int),
	}
	a.net.Delay = func(peer.HostID, peer.HostID) time.Duration { return peerDelay }
	for i := range outageHosts {
		a.ledgers = append(a.ledgers, nil)
		a.cancels = append(a.cancels, nil)
		a.startHost(i, 1)
	}
	return a
}

func (a *outageFleet) startHost(i int, incarnation uint64) {
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

func (a *outageFleet) host(i int) *ledger.Ledger {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ledgers[i]
}

func (a *outageFleet) count(outcome string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.outcomes[outcome]++
}

// call makes one call with the key and counts its outcome.
func (a *outageFleet) call(l *ledger.Ledger, k ledger.Key) {
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

// run sends calls throughout the outage and crashes and restarts host 0 halfway.
// It returns the number of calls by outcome.
func (a *outageFleet) run(issued bool) map[string]int {
	a.table.SetFaults(store.Faults{Down: true})
	var calls sync.WaitGroup
	for n := range outageCalls {
		if n == outageCalls/2 {
			a.cancels[0]()
			a.startHost(0, 2)
		}
		from, to := a.rand.IntN(outageHosts), a.rand.IntN(outageHosts)
		idle := time.Duration(a.rand.Int64N(int64(maxKeyIdle)))
		k := ledger.Key{Workspace: "auction", Service: "bids", Caller: "buyer", DigestKnown: true}
		k.Value = fmt.Sprintf("purchase-%d", n)
		if issued {
			k.Value = a.host(from).Issue(k.Workspace, k.Service, k.Caller)
		}
		calls.Go(func() {
			time.Sleep(idle)
			a.call(a.host(to), k)
		})
		time.Sleep(outageDuration / outageCalls)
	}
	calls.Wait()
	for _, cancel := range a.cancels {
		cancel()
	}
	a.running.Wait()
	// Let messages in flight arrive.
	time.Sleep(time.Second)
	return a.outcomes
}

// The store is down for ten minutes and one of 15 hosts crashes halfway. Calls with
// callers' own keys must all end as unknown, because only the store could prove
// that no earlier attempt ran. Calls with issued keys must succeed, except for the
// unused keys that the crashed host had issued.
func TestAuctionThroughAnOutage(t *testing.T) {
	for _, issued := range []bool{false, true} {
		var outcomes map[string]int
		synctest.Test(t, func(*testing.T) { outcomes = newOutageFleet().run(issued) })
		t.Logf("%d calls in %v, issued keys %t: %v", outageCalls, outageDuration, issued, outcomes)
		if !issued {
			// A call whose deadline expires while the store is refusing its write
			// is reported as claim-unknown.
			unknown := outcomes["unknown/store-unavailable"] + outcomes["unknown/claim-unknown"]
			assert.Equal(t, unknown, outageCalls)
			continue
		}
		lost := outcomes["unknown/issuer-gone"]
		assert.Equal(t, outcomes["answered"]+lost, outageCalls)
		// Bounded by twice the expected number of keys that one host issues within
		// the longest time between issue and use.
		assert.Check(t, lost < 2*outageCalls*int(maxKeyIdle)/int(outageDuration)/outageHosts, "%d", lost)
	}
}
