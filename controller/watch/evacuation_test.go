package watch

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/internal/fakes/memstore"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Time within which an evacuation must be known by half of the hosts, and by all.
const (
	evacuatedByHalf = 500 * time.Millisecond
	evacuatedByAll  = 1500 * time.Millisecond
)

// evacuates reports whether the host has evacuated a zone, and false if any target of the zone
// is marked otherwise.
func (h *host) evacuates(zone string) bool {
	_, evacuated := h.board.Evacuations.Load().Zones[zone]
	for _, t := range h.board.Targets.Load().ByService[key] {
		if t.Zone == zone && t.Evacuated != evacuated {
			return false
		}
	}
	return evacuated
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

// timeUntil returns how long it takes until half of the hosts, and all of them, satisfy a
// condition. Hosts in except count as satisfying it.
func (fl *fleet) timeUntil(except []*host, ok func(h *host) bool) (half, all time.Duration) {
	start := time.Now()
	for time.Since(start) < time.Minute {
		n := 0
		for _, h := range fl.hosts {
			if contains(except, h) || ok(h) {
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

func (fl *fleet) checkEvacuation(except []*host, zone string, want bool) {
	fl.t.Helper()
	half, all := fl.timeUntil(except, func(h *host) bool { return h.evacuates(zone) == want })
	assert.Check(fl.t, half < evacuatedByHalf, "%s evacuated, %t: half knew after %s", zone, want, half)
	assert.Check(fl.t, all < evacuatedByAll, "%s evacuated, %t: all knew after %s", zone, want, all)
}

// A zone is evacuated and the evacuation lifted; then two evacuations overlap, one is ordered
// twice, and one is of a zone that no host knows.
func TestEvacuationsReachAllHosts(t *testing.T) {
	for _, n := range []int{7, 103} {
		withFleet(t, n, func(fl *fleet) {
			fl.listInZones()
			fl.record.Evacuate("z1")
			fl.checkEvacuation(nil, "z1", true)
			fl.record.Evacuate("z1")
			fl.record.Evacuate("z2")
			fl.checkEvacuation(nil, "z2", true)
			fl.record.Evacuate("nowhere")
			fl.record.EndEvacuation("z1")
			fl.checkEvacuation(nil, "z1", false)
			fl.checkEvacuation(nil, "z2", true)
			fl.record.EndEvacuation("z2")
			fl.checkEvacuation(nil, "z2", false)
		})
	}
}

// Guards against a lost evacuation, or a lost end of one, going unnoticed while targets keep
// changing: calls would go to the zone.
func TestLostEvacuationIsNoticed(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		fl.listInZones()
		behind := fl.nonWatcher()
		for _, change := range []func(string){fl.record.Evacuate, fl.record.EndEvacuation} {
			for _, h := range fl.watching() {
				fl.net.Block(ports.HostID(h.addr), ports.HostID(behind.addr))
			}
			change("z1")
			time.Sleep(120 * time.Millisecond)
			fl.net.UnblockAll()
			for i := range 20 {
				fl.record.Put(entryOf(20+i, false))
				time.Sleep(50 * time.Millisecond)
			}
			assert.Equal(t, behind.evacuates("z1"), fl.record.Evacuated("z1"))
		}
	})
}

// Guards against a host that serves without a zone's evacuation after all hosts lost power, with
// the store available and with it down until they are up.
func TestEvacuationSurvivesRestartOfAllHosts(t *testing.T) {
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
					h.client.SetMode(memstore.Refusing)
				}
			}
			for i := range 3000 {
				if i == 1500 {
					for _, h := range fl.hosts {
						h.client.SetMode(memstore.Serving)
					}
				}
				for _, h := range fl.hosts {
					if h.board.Status.Load().Serving() {
						assert.Assert(t, h.evacuates("z1"), "%s serves without the evacuation", h.addr)
					}
				}
				time.Sleep(time.Millisecond)
			}
			assert.Check(t, fl.hosts[0].board.Status.Load().Serving())
		})
	}
}

// The store drops its history while a zone is evacuated, and later while the evacuation is
// lifted, so that the watchers read the store in full.
func TestEvacuationIsKnownAfterTheHistoryIsGone(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		fl.listInZones()
		for _, change := range []func(string){fl.record.Evacuate, fl.record.EndEvacuation} {
			fl.record.HoldWatches(true)
			change("z1")
			time.Sleep(100 * time.Millisecond)
			fl.record.DropHistory()
			fl.record.HoldWatches(false)
			fl.checkEvacuation(nil, "z1", fl.record.Evacuated("z1"))
		}
	})
}

// An evacuation is lifted during an outage of the store. Hosts have to keep it in force, and to
// learn of its end once the store is back.
func TestHostsKeepEvacuationsWhileTheStoreIsDown(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		fl.listInZones()
		fl.record.Evacuate("z1")
		fl.checkEvacuation(nil, "z1", true)
		for _, h := range fl.hosts {
			h.client.SetMode(memstore.Refusing)
		}
		fl.record.EndEvacuation("z1")
		for range 80 {
			time.Sleep(100 * time.Millisecond)
			for _, h := range fl.hosts {
				assert.Check(t, h.evacuates("z1"))
			}
		}
		for _, h := range fl.hosts {
			h.client.SetMode(memstore.Serving)
		}
		_, all := fl.timeUntil(nil, func(h *host) bool { return !h.evacuates("z1") })
		assert.Check(t, all < 2*time.Second, "known %s after the store's return", all)
	})
}

// Guards against an evacuation being restored by a host that was cut off while it was lifted,
// and that returns still knowing it.
func TestHostThatWasCutOffBringsNoEvacuationBack(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		fl.listInZones()
		fl.record.Evacuate("z1")
		fl.checkEvacuation(nil, "z1", true)
		cut := fl.nonWatcher()
		fl.isolate(cut)
		fl.record.EndEvacuation("z1")
		fl.checkEvacuation([]*host{cut}, "z1", false)
		fl.net.UnblockAll()
		cut.client.SetMode(memstore.Serving)
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

// Guards against refusing callers although targets elsewhere are ready: an evacuation must not
// reach a host before the changes of targets that preceded it, here their move to another zone.
func TestEvacuationDoesNotOvertakeTargets(t *testing.T) {
	for _, n := range []int{7, 40} {
		withFleet(t, n, func(fl *fleet) {
			for i := range 10 {
				fl.putInZone(i, "z0")
			}
			time.Sleep(time.Second)
			fl.putInZone(0, "z0") // the watchers gather what follows it
			time.Sleep(20 * time.Millisecond)
			for i := 1; i < 10; i++ {
				fl.putInZone(i, "z1")
			}
			fl.record.Evacuate("z0")
			begin := time.Now()
			for ; time.Since(begin) < evacuatedByAll; time.Sleep(time.Millisecond) {
				for _, h := range fl.hosts {
					if !h.hasUsableTarget() {
						t.Errorf("%d hosts: %s has no usable target %s after the evacuation", n, h.addr, time.Since(begin))
						return
					}
				}
			}
			fl.checkEvacuation(nil, "z0", true)
		})
	}
}

// putInZone lists a target in a zone.
func (fl *fleet) putInZone(i int, zone string) {
	e := entryOf(i, false)
	e.Zone = zone
	fl.record.Put(e)
}

// hasUsableTarget reports whether the host has a target outside the zones that it has evacuated.
func (h *host) hasUsableTarget() bool {
	return slices.ContainsFunc(h.board.Targets.Load().ByService[key], func(t blackboard.Target) bool { return !t.Evacuated })
}
