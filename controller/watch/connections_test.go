package watch

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// relayedHosts are enough hosts of a zone for every change of some targets to be relayed.
	relayedHosts = 240
	// relayedChanges is the number of changes of 20 targets each.
	relayedChanges = 60
	// mostSenders is how many others may send a host changes: three relays of its zone, and one host
	// for each level of each of three trees.
	mostSenders = 3 + 3*3
)

// senders records which hosts send each host changes of the state.
type senders struct {
	mu   sync.Mutex
	from map[ports.HostID]map[ports.HostID]bool
}

func (s *senders) add(from, to peer.HostID, kind peer.Kind, _ int) {
	if kind != kindChanges && kind != kindRelay {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.from[to] == nil {
		s.from[to] = make(map[ports.HostID]bool)
	}
	s.from[to][from] = true
}

// mean returns the mean number of hosts that send changes to one.
func (s *senders) mean(hosts int) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, from := range s.from {
		n += len(from)
	}
	return float64(n) / float64(hosts)
}

// Guards against hosts that are late because they open connections all the time: each change went
// through other hosts, so that in the end every host of a zone was connected to every other one.
func TestChangesUseFewConnections(t *testing.T) {
	s := &senders{from: make(map[ports.HostID]map[ports.HostID]bool)}
	withNetwork(t, relayedHosts, func(fl *fleet) { fl.net.OnSend = s.add }, func(fl *fleet) {
		rng := rand.New(rand.NewPCG(1, 17))
		next := 10
		for range relayedChanges {
			for range 20 {
				e := entryOf(next, false)
				e.Addr = fmt.Sprintf("10.%d.%d.%d:%d", rng.IntN(256), rng.IntN(256), rng.IntN(256), 1024+rng.IntN(60000))
				e.Incarnation = ports.Incarnation(rng.Int64())
				fl.record.Put(e)
				next++
			}
			time.Sleep(gatherDelay)
		}
		took := fl.await(nil, func(h *host) bool { return h.routesTo(next - 1) })
		assert.Check(t, took < bound, "known after %s", took)
		mean := s.mean(relayedHosts)
		t.Logf("changes come from %.1f hosts in the mean", mean)
		assert.Check(t, mean <= mostSenders, "changes come from %.1f hosts in the mean", mean)
	})
}
