package watch

import (
	"context"
	"fmt"
	"runtime"
	"runtime/metrics"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/internal/fakes/peernet"
	proxymetrics "github.com/cactusproxy/cactusproxy/metrics"
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
	reply, err := h.c.onSync(context.Background(), "", syncRequest{Host: directory.Host{Addr: fmt.Sprintf("10.9.0.%d:1", i)}})
	assert.Check(t, err)
	raw, err := msgpack.Marshal(reply)
	assert.Check(t, err)
	var got syncReply
	assert.Check(t, msgpack.Unmarshal(raw, &got))
	return got.Changes.Value
}

const (
	// behindHosts ask for most of manyTargets at the same time.
	behindHosts = 200
	manyTargets = 10_000
	// maxSnapshotMemory is half of what the smallest hosts have for everything, in bytes.
	maxSnapshotMemory = 92 << 20
)

// heapBytes returns the bytes of objects in the heap.
func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// heapPeak calls f and returns by how much the heap grew meanwhile, at most.
func heapPeak(f func()) (peak uint64) {
	runtime.GC()
	before := heapBytes()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	for {
		select {
		case <-done:
			return peak
		case <-time.After(time.Millisecond):
			if now := heapBytes(); now > before {
				peak = max(peak, now-before)
			}
		}
	}
}

// Guards against hundreds of megabytes at a host that hundreds of others ask for what they lack, each for
// something else: it made and encoded what each of them lacks at the same time.
func TestHostsThatLackDifferentPartsTakeLittleMemory(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // as on a small host, where they queue for the processor
	c := New(Deps{
		Self: directory.Host{Addr: addr(1), Zone: "z0", Start: 1}, Link: peernet.New().Join("self"),
		Board: blackboard.New(), Metrics: proxymetrics.New(), Log: zap.NewNop(), Seed: 1,
	})
	all := directory.Changes{Revision: manyTargets, AllTargets: true, Config: config(1)}
	for i := range manyTargets {
		e := entryOf(i, false)
		e.Revision = directory.Revision(i + 1)
		all.Targets = append(all.Targets, e)
	}
	c.mu.Lock()
	c.merge(time.Now(), all, c.self)
	c.mu.Unlock()
	peak := heapPeak(func() {
		var wg sync.WaitGroup
		for i := range behindHosts {
			wg.Go(func() {
				buckets := c.state.Buckets()
				for b := range buckets {
					if b != i%len(buckets) {
						buckets[b] = 1
					}
				}
				reply, err := c.onSync(t.Context(), "", syncRequest{Version: 1, Buckets: buckets})
				if errors.Is(err, errTooManyRequests) {
					return // it asks another host
				}
				assert.Check(t, err)
				_, err = msgpack.Marshal(reply)
				assert.Check(t, err)
			})
		}
		wg.Wait()
	})
	t.Logf("%d MB", peak>>20)
	assert.Check(t, peak < maxSnapshotMemory, "%d MB", peak>>20)
}
