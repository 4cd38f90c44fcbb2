package watch

import (
	"flag"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/ports"
)

// The hosts that start together; larger fleets, such as 984, are tried by hand.
var (
	startHosts   = flag.Int("start-hosts", 150, "hosts that start together")
	startTargets = flag.Int("start-targets", 0, "additional targets in the test of a common start")
)

// sentByKind counts the bytes that each host sends, by kind of message.
type sentByKind struct {
	mu   sync.Mutex
	sent map[ports.HostID]map[peer.Kind]int
}

func (b *sentByKind) add(from, _ peer.HostID, kind peer.Kind, size int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sent[from] == nil {
		b.sent[from] = make(map[peer.Kind]int)
	}
	b.sent[from][kind] += size
}

// busiest returns what the host that sent most has sent, by kind and in total.
func (b *sentByKind) busiest() (kinds map[peer.Kind]int, most int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, sent := range b.sent {
		sum := 0
		for _, n := range sent {
			sum += n
		}
		if sum > most {
			kinds, most = sent, sum
		}
	}
	return kinds, most
}

// maxStartBytes bounds what a host may send while all start together, in bytes per pair of
// hosts: twice the list of hosts.
const maxStartBytes = 200

// Guards against saturating a host's link and memory when all hosts start together and learn of
// each other one by one: none may be sent the list of hosts by all others again and again.
func TestCommonStartKeepsTrafficPerHostBounded(t *testing.T) {
	b := &sentByKind{sent: make(map[ports.HostID]map[peer.Kind]int)}
	setUp := func(fl *fleet) {
		fl.net.OnSend = b.add
		for i := range *startTargets {
			fl.record.Put(entryOf(10+i, false))
		}
	}
	withNetwork(t, *startHosts, setUp, func(fl *fleet) {
		time.Sleep(5 * time.Second)
		kinds, most := b.busiest()
		t.Logf("the busiest host sent %d kB: %v", most>>10, kinds)
		incomplete := 0
		for _, h := range fl.hosts {
			if len(h.board.Members.Load().Members) < *startHosts {
				incomplete++
			}
		}
		assert.Check(t, incomplete == 0, "%d hosts do not know all others", incomplete)
		assert.Check(t, most <= maxStartBytes**startHosts**startHosts, "%d bytes", most)
	})
}
