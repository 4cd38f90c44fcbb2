package watch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/internal/fakes/record"
	"github.com/cactusproxy/cactusproxy/policy/watchers"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Three hosts go for good, and others come at new addresses. Those that went must leave
// the list of every host: each host's part of the questions, of the connections and of the
// further attempts is an even share of that list, and after a month of replacements
// hardly anything would be left.
func TestHostsThatAreGoneLeaveTheList(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		var went []*host
		went, fl.hosts = fl.hosts[2:5], append(fl.hosts[:2:2], fl.hosts[5:]...)
		for _, h := range went {
			h.stop()
		}
		for i := range 3 {
			fl.start(14+i, true)
		}
		time.Sleep(watchers.RemoveAfter / 2)
		for _, h := range fl.hosts {
			assert.Check(t, h.knows(went[0].addr), "%s took a host that may be starting again off its list", h.addr)
		}
		time.Sleep(watchers.RemoveAfter)
		for _, h := range fl.hosts {
			assert.Equal(t, len(h.board.Members.Load().Members), 14, "%s", h.addr)
		}
	})
}

// A host that went for long starts again at its address, and another one comes back from
// behind a cut without a start. Both must be on every list soon after, and stay on it.
func TestHostsThatComeBackAreListedAgain(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		stopped, cut := fl.hosts[4], fl.hosts[5]
		stopped.stop()
		fl.hosts = append(fl.hosts[:4:4], fl.hosts[5:]...)
		fl.freeze(cut)
		time.Sleep(2 * watchers.RemoveAfter)
		for _, h := range fl.hosts {
			assert.Equal(t, h.knows(cut.addr), h == cut, "%s", h.addr)
		}
		fl.net.Heal()
		cut.client.Set(record.Serves)
		fl.start(4, true)
		for range 20 {
			time.Sleep(3 * time.Second)
			for _, h := range fl.hosts {
				assert.Equal(t, len(h.board.Members.Load().Members), 14, "%s", h.addr)
			}
		}
	})
}

// Two hosts are cut off from the others for minutes, but not from the store. They must
// not take the others off their list: with each side alone on its own list nobody would
// find the other again.
func TestFewHostsBehindACutKeepTheOthersOnTheirList(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		few := fl.hosts[:2]
		for _, a := range few {
			for _, b := range fl.hosts[2:] {
				fl.net.Cut(ports.HostID(a.addr), ports.HostID(b.addr))
				fl.net.Cut(ports.HostID(b.addr), ports.HostID(a.addr))
			}
		}
		time.Sleep(3 * watchers.RemoveAfter)
		assert.Equal(t, len(few[0].board.Members.Load().Members), 14)
		fl.net.Heal()
		time.Sleep(5 * time.Second)
		for _, h := range fl.hosts {
			assert.Equal(t, len(h.board.Members.Load().Members), 14, "%s", h.addr)
		}
		assert.Equal(t, len(fl.watching()), watchers.WantedWatchers)
	})
}
