package watch

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/policy/watchers"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Callers are sent to targets that have left by the hosts of whole availability zones: the
// link of the one host that passes changes on there is full, and its neighbours, asked by
// those that notice, lack the same change.
func TestChangeGoesRoundRelaysWhoseLinksAreFull(t *testing.T) {
	withFleet(t, 60, func(fl *fleet) {
		full := relaysOf(fl)
		usual := fl.net.Delay
		fl.net.Delay = func(from, to ports.HostID) time.Duration {
			d := usual(from, to)
			if full[from] || full[to] {
				d += 2 * time.Second
			}
			return d
		}
		var but []*host
		for _, h := range fl.hosts {
			if full[ports.HostID(h.addr)] {
				but = append(but, h)
			}
		}
		for i := range 10 {
			fl.record.Put(entryOf(i, true))
			took := fl.await(but, func(h *host) bool { return !h.takes(i) })
			t.Logf("change %d known after %s", i, took)
			assert.Check(t, took < 500*time.Millisecond)
			time.Sleep(300 * time.Millisecond)
		}
	})
}

// relaysOf returns one host of each availability zone that passes changes on there, and does
// not watch the store.
func relaysOf(fl *fleet) map[ports.HostID]bool {
	zones := make(map[string][]ports.HostID)
	for i, h := range fl.hosts {
		if !h.watches() {
			zones[zone(i)] = append(zones[zone(i)], ports.HostID(h.addr))
		}
	}
	relays := make(map[ports.HostID]bool)
	for _, ids := range zones {
		for _, id := range ids {
			others := func(other ports.HostID) bool { return other == id }
			if watchers.First(id, slices.DeleteFunc(slices.Clone(ids), others)) {
				relays[id] = true
			}
		}
	}
	return relays
}
