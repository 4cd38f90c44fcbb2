package watch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/internal/fakes/memstore"
	"github.com/cactusproxy/cactusproxy/policy/watchers"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Guards against hosts that are gone for good staying on the list of hosts: a host's share of
// queries, connections and retries is an even share of that list, and would shrink with each
// replaced host.
func TestHostsThatAreGoneLeaveTheList(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		var stopped []*host
		stopped, fl.hosts = fl.hosts[2:5], append(fl.hosts[:2:2], fl.hosts[5:]...)
		for _, h := range stopped {
			h.stop()
		}
		for i := range 3 {
			fl.start(14+i, true)
		}
		time.Sleep(watchers.RemoveAfter / 2)
		for _, h := range fl.hosts {
			assert.Check(t, h.lists(stopped[0].addr), "%s removed a host that may be restarting", h.addr)
		}
		time.Sleep(watchers.RemoveAfter)
		for _, h := range fl.hosts {
			assert.Equal(t, len(h.board.Members.Load().Members), 14, "%s", h.addr)
		}
	})
}

// A host that was down for long restarts at its address, and another returns from behind a
// network partition without a restart. Both must soon be on every list again and stay there.
func TestHostsThatComeBackAreListedAgain(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		stopped, cut := fl.hosts[4], fl.hosts[5]
		stopped.stop()
		fl.hosts = append(fl.hosts[:4:4], fl.hosts[5:]...)
		fl.isolate(cut)
		time.Sleep(2 * watchers.RemoveAfter)
		for _, h := range fl.hosts {
			assert.Equal(t, h.lists(cut.addr), h == cut, "%s", h.addr)
		}
		fl.net.UnblockAll()
		cut.client.SetMode(memstore.Serving)
		fl.start(4, true)
		for range 20 {
			time.Sleep(3 * time.Second)
			for _, h := range fl.hosts {
				assert.Equal(t, len(h.board.Members.Load().Members), 14, "%s", h.addr)
			}
		}
	})
}

// Guards against the smaller side of a network partition removing the other from its list: two
// hosts are cut off from the others for minutes, but not from the store. If each side listed
// only itself, they would not find each other again.
func TestFewHostsBehindACutKeepTheOthersOnTheirList(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		few := fl.hosts[:2]
		for _, a := range few {
			for _, b := range fl.hosts[2:] {
				fl.net.Block(ports.HostID(a.addr), ports.HostID(b.addr))
				fl.net.Block(ports.HostID(b.addr), ports.HostID(a.addr))
			}
		}
		time.Sleep(3 * watchers.RemoveAfter)
		assert.Equal(t, len(few[0].board.Members.Load().Members), 14)
		fl.net.UnblockAll()
		time.Sleep(5 * time.Second)
		for _, h := range fl.hosts {
			assert.Equal(t, len(h.board.Members.Load().Members), 14, "%s", h.addr)
		}
		assert.Equal(t, len(fl.watching()), watchers.WantedWatchers)
	})
}
