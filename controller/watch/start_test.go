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

// startHosts is 150 in the check. By hand with 984.
var (
	startHosts   = flag.Int("start-hosts", 150, "hosts of the tests of common starts")
	startTargets = flag.Int("start-targets", 0, "targets of the tests of common starts, beside ten")
)

// byKind counts the bytes that each host sends, by kind of message.
type byKind struct {
	mu   sync.Mutex
	sent map[ports.HostID]map[peer.Kind]int
}

func (b *byKind) add(from, _ peer.HostID, kind peer.Kind, size int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sent[from] == nil {
		b.sent[from] = make(map[peer.Kind]int)
	}
	b.sent[from][kind] += size
}

// busiest returns what the host sent that sent most, and how much that was.
func (b *byKind) busiest() (kinds map[peer.Kind]int, most int) {
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

// maxStartBytes is what a host may send, for each host that there is, while all start together, in
// bytes: twice the list of hosts.
const maxStartBytes = 200

// All hosts start together, and each learns of the others one after the other. None may be told by
// all of them whom they know, again and again: its link and its memory would be full of it.
func TestStartTellsNobodyEverything(t *testing.T) {
	b := &byKind{sent: make(map[ports.HostID]map[peer.Kind]int)}
	setUp := func(fl *fleet) {
		fl.net.Sent = b.add
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
		assert.Check(t, incomplete == 0, "%d hosts do not know all", incomplete)
		assert.Check(t, most <= maxStartBytes**startHosts**startHosts, "%d bytes", most)
	})
}
