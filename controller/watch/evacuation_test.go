package watch

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/internal/fakes/record"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Times in which an order has to be known: by half of the hosts, and by all.
const (
	evacuatedHalf = 500 * time.Millisecond
	evacuatedAll  = 1500 * time.Millisecond
)

// evacuates reports whether the host sends nothing to a zone: by its order, and by each of the
// zone's targets.
func (h *host) evacuates(zone string) bool {
	_, ordered := h.board.Evacuations.Load().Zones[zone]
	for _, t := range h.board.Targets.Load().ByService[key] {
		if t.Zone == zone && t.Evacuated != ordered {
			return false
		}
	}
	return ordered
}

// listInZones lists targets in all zones.
func (fl *fleet) listInZones() {
	for i := range 10 {
		e := entryOf(i, false)
		e.Zone = zone(i)
		fl.record.Put(e)
	}
	time.Sleep(time.Second)
}

// knownAfter returns how long it takes until half of the hosts, and all but some, satisfy a
// condition.
func (fl *fleet) knownAfter(but []*host, ok func(h *host) bool) (half, all time.Duration) {
	start := time.Now()
	for time.Since(start) < time.Minute {
		n := 0
		for _, h := range fl.hosts {
			if contains(but, h) || ok(h) {
				n++
			}
		}
		if half == 0 && 2*n >= len(fl.hosts) {
			half = time.Since(start)
		}
		if n == len(fl.hosts) {
			break
		}
		time.Sleep(time.Millisecond)
	}
	return half, time.Since(start)
}

func (fl *fleet) checkKnown(but []*host, zone string, want bool) {
	fl.t.Helper()
	half, all := fl.knownAfter(but, func(h *host) bool { return h.evacuates(zone) == want })
	assert.Check(fl.t, half < evacuatedHalf, "%s evacuated, %t: half knew after %s", zone, want, half)
	assert.Check(fl.t, all < evacuatedAll, "%s evacuated, %t: all knew after %s", zone, want, all)
}

// An operator evacuates a zone and takes it back, then two zones whose orders overlap, one
// given twice, and one that no host has heard of.
func TestOrdersReachAllHosts(t *testing.T) {
	for _, n := range []int{7, 103} {
		withFleet(t, n, func(fl *fleet) {
			fl.listInZones()
			fl.record.Evacuate("z1")
			fl.checkKnown(nil, "z1", true)
			fl.record.Evacuate("z1")
			fl.record.Evacuate("z2")
			fl.checkKnown(nil, "z2", true)
			fl.record.Evacuate("nowhere")
			fl.record.TakeBack("z1")
			fl.checkKnown(nil, "z1", false)
			fl.checkKnown(nil, "z2", true)
			fl.record.TakeBack("z2")
			fl.checkKnown(nil, "z2", false)
		})
	}
}

// The message of an order, and later that of its end, is lost on its way to one host while
// targets keep changing. Calls of that host's callers go to the zone until it notices.
func TestLostOrderIsNoticed(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		fl.listInZones()
		behind := fl.idle()
		for _, change := range []func(string){fl.record.Evacuate, fl.record.TakeBack} {
			for _, h := range fl.watching() {
				fl.net.Cut(ports.HostID(h.addr), ports.HostID(behind.addr))
			}
			change("z1")
			time.Sleep(120 * time.Millisecond)
			fl.net.Heal()
			for i := range 20 {
				fl.record.Put(entryOf(20+i, false))
				time.Sleep(50 * time.Millisecond)
			}
			assert.Equal(t, behind.evacuates("z1"), fl.record.Evacuated("z1"))
		}
	})
}

// All hosts lose power while a zone is evacuated, with the store at hand, and once more with it
// out until they are up. None that serves may have forgotten the order.
func TestOrderOutlivesAllHosts(t *testing.T) {
	for _, out := range []bool{false, true} {
		withFleet(t, 14, func(fl *fleet) {
			fl.listInZones()
			fl.record.Evacuate("z1")
			time.Sleep(time.Second)
			for _, h := range fl.hosts {
				h.stop()
			}
			fl.hosts = nil
			for i := range 14 {
				h := fl.start(i, true)
				if out {
					h.client.Set(record.Refuses)
				}
			}
			for i := range 3000 {
				if i == 1500 {
					for _, h := range fl.hosts {
						h.client.Set(record.Serves)
					}
				}
				for _, h := range fl.hosts {
					if h.board.Status.Load().Serving() {
						assert.Assert(t, h.evacuates("z1"), "%s serves and knows of no order", h.addr)
					}
				}
				time.Sleep(time.Millisecond)
			}
			assert.Check(t, fl.hosts[0].board.Status.Load().Serving())
		})
	}
}

// The store drops its history while an order is given, and later while it is taken back: the
// watchers read the record whole.
func TestOrderIsKnownAfterTheHistoryIsGone(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		fl.listInZones()
		for _, change := range []func(string){fl.record.Evacuate, fl.record.TakeBack} {
			fl.record.Mute(true)
			change("z1")
			time.Sleep(100 * time.Millisecond)
			fl.record.DropHistory()
			fl.record.Mute(false)
			fl.checkKnown(nil, "z1", fl.record.Evacuated("z1"))
		}
	})
}

// A zone is evacuated, the store is out, and the zone is taken back meanwhile. Hosts keep to
// the order that they know, and hear of its end once the store is back.
func TestHostsKeepToAnOrderWhileTheStoreIsOut(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		fl.listInZones()
		fl.record.Evacuate("z1")
		fl.checkKnown(nil, "z1", true)
		for _, h := range fl.hosts {
			h.client.Set(record.Refuses)
		}
		fl.record.TakeBack("z1")
		for range 80 {
			time.Sleep(100 * time.Millisecond)
			for _, h := range fl.hosts {
				assert.Check(t, h.evacuates("z1"))
			}
		}
		for _, h := range fl.hosts {
			h.client.Set(record.Serves)
		}
		_, all := fl.knownAfter(nil, func(h *host) bool { return !h.evacuates("z1") })
		assert.Check(t, all < 2*time.Second, "known %s after the store's return", all)
	})
}

// A host is cut off while a zone is evacuated and taken back. It comes back with the order and
// tells others what it knows: none may evacuate the zone again.
func TestHostThatWasCutOffBringsNoOrderBack(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		fl.listInZones()
		fl.record.Evacuate("z1")
		fl.checkKnown(nil, "z1", true)
		cut := fl.idle()
		fl.freeze(cut)
		fl.record.TakeBack("z1")
		fl.checkKnown([]*host{cut}, "z1", false)
		fl.net.Heal()
		cut.client.Set(record.Serves)
		others := slices.DeleteFunc(slices.Clone(fl.hosts), func(h *host) bool { return h == cut })
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			for _, h := range others {
				assert.Check(t, !h.evacuates("z1"))
			}
		}
		assert.Check(t, !cut.evacuates("z1"))
	})
}
