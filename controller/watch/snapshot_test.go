package watch

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/directory"
)

// Guards against hundreds of megabytes at the host that hundreds of others ask as they start
// together while removed targets are held: it encoded the whole state for each of them.
func TestSnapshotIsSharedWhileTargetsAreHeld(t *testing.T) {
	withFleet(t, 7, func(fl *fleet) {
		h := fl.hosts[0]
		h.c.mu.Lock()
		h.c.merge(time.Now(), directory.Changes{
			Targets: []directory.Target{{ID: targetID(3), Revision: 1 << 20, Removed: true}}, Hold: returnHold,
		}, h.c.self)
		h.c.mu.Unlock()
		assert.Check(t, h.routesTo(3), "the removed target is held")
		for i := range 200 {
			held := returnHold - h.askForState(t, i).Hold
			age := time.Duration(i) * time.Millisecond
			assert.Check(t, held <= age && held >= age-heldSnapshotTTL, "%s after the removal held for %s less", age, held)
			time.Sleep(time.Millisecond)
		}
		n := h.c.count.snapshots.Value()
		assert.Check(t, n >= 1 && n <= int64(200*time.Millisecond/heldSnapshotTTL)+1, "%d snapshots encoded", n)
		time.Sleep(returnHold)
		assert.Check(t, h.askForState(t, 0).Hold == 0, "the hold has ended")
	})
}

// askForState returns the state that the host sends to one that starts.
func (h *host) askForState(t *testing.T, i int) directory.Changes {
	reply, err := h.c.onSync(t.Context(), "", syncRequest{Host: directory.Host{Addr: fmt.Sprintf("10.9.0.%d:1", i)}})
	assert.Check(t, err)
	raw, err := msgpack.Marshal(reply)
	assert.Check(t, err)
	var got syncReply
	assert.Check(t, msgpack.Unmarshal(raw, &got))
	return got.Changes.Value
}
