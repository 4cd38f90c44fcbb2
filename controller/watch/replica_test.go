package watch

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against sound hosts that don't know that their replica is up to date: they would turn
// callers away or ask others all the time.
func TestReplicaOfASoundHostIsKnownToBeUpToDate(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 15))
	withFleet(t, 14, func(fl *fleet) {
		oldest := time.Duration(0)
		next := 10
		for v := uint64(2); v < 60; v++ {
			if rng.IntN(3) == 0 {
				fl.record.PutConfig(config(v))
			}
			fl.record.Put(entryOf(next, false))
			next++
			for end := time.Now().Add(time.Duration(rng.Int64N(int64(2500 * time.Millisecond)))); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				for _, h := range fl.hosts {
					oldest = max(oldest, h.c.ReplicaAge())
				}
			}
		}
		assert.Check(t, oldest < 1700*time.Millisecond, "replica known to be complete %s before", oldest)
	})
}

// Guards against callers who wait while hosts that have all started at once find out whether their
// replicas are up to date.
func TestHostsThatStartTogetherRouteAtOnce(t *testing.T) {
	withFleet(t, 14, func(fl *fleet) {
		for _, h := range fl.hosts {
			h.stop()
		}
		fl.hosts = nil
		var wg sync.WaitGroup
		for i := range 14 {
			h := fl.start(i, true)
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				h.c.AwaitStart(ctx)
				began := time.Now()
				assert.Check(t, h.c.AwaitCurrent(ctx))
				waited := time.Since(began)
				assert.Check(t, waited < 50*time.Millisecond, "%s waits for %s", h.addr, waited)
			})
		}
		wg.Wait()
	})
}
