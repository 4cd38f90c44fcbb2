package watch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against two faults after the store was restored from an older copy, on watchers and on
// other hosts: taking later writes for old ones, and giving up what the copy lacks before it is
// written again.
func TestAllHostsFollowTheRecordFromAnOlderCopy(t *testing.T) {
	for _, n := range []int{3, 60} {
		withFleet(t, n, func(fl *fleet) {
			fl.listInZones()
			copied := fl.record.Snapshot()
			for range 20 {
				fl.record.Put(entryOf(3, false))
			}
			fl.record.Evacuate("z1")
			fl.record.Remove(targetID(2))
			fl.record.PutConfig(config(50))
			fl.checkEvacuation(nil, "z1", true)
			fl.await(nil, func(h *host) bool { return h.version() == 50 && !h.routesTo(2) })

			fl.record.Restore(copied)
			again := time.Now().Add(time.Second)
			for time.Now().Before(again) {
				for _, h := range fl.hosts {
					assert.Assert(t, h.evacuates("z1") && !h.routesTo(2) && h.version() == 50)
				}
				time.Sleep(20 * time.Millisecond)
			}
			fl.record.Evacuate("z1")
			fl.record.Remove(targetID(2))
			fl.record.PutConfig(config(50))
			fl.record.Put(entryOf(4, true))
			drained := fl.await(nil, func(h *host) bool { return !h.routesTo(4) })
			assert.Check(t, drained < 1500*time.Millisecond, "%s", drained)
			for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				for _, h := range fl.hosts {
					assert.Assert(t, h.evacuates("z1") && !h.routesTo(2) && !h.routesTo(4))
				}
			}
			fl.record.EndEvacuation("z1")
			fl.checkEvacuation(nil, "z1", false)
			fl.record.PutConfig(config(51))
			fl.await(nil, func(h *host) bool { return h.version() == 51 })

			// An evacuation that nobody writes again must not stay in force forever.
			copied = fl.record.Snapshot()
			fl.record.Evacuate("z2")
			fl.checkEvacuation(nil, "z2", true)
			fl.record.Restore(copied)
			ended := fl.await(nil, func(h *host) bool { return !h.evacuates("z2") })
			assert.Check(t, ended > time.Second && ended < 2*returnHold, "%s", ended)
		})
	}
}
