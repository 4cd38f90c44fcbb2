package quota

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/routing"
)

// seeds is the number of random histories to run.
var seeds = flag.Int("seeds", 10, "random histories")

// All tenants exceed their quotas while hosts and zones fail, restart, are cut off and
// reconnected. Over all hosts together the grants must stay within the tolerance.
func TestQuotasHoldOverRandomHistories(t *testing.T) {
	for seed := range uint64(*seeds) {
		withFleet(t, 12, []routing.Tenant{large, small}, func(fl *fleet) {
			fl.t.Logf("seed %d", seed)
			fl.runRandomFaults(seed)
			fl.assertWithinQuota(large)
			fl.assertWithinQuota(small)
		})
	}
}

// Shows that the random histories detect violations: hosts that spend a part's tokens as
// soon as they own it, and never notice that they are cut off, exceed the quota.
func TestRandomHistoriesFindWhatTheHandOverGuardsAgainst(t *testing.T) {
	worst := 0
	for seed := uint64(0); seed < 40 && float64(worst) <= maxGranted(large); seed++ {
		withFleet(t, 12, []routing.Tenant{large, small}, func(fl *fleet) {
			fl.handoverDelay, fl.ignoreCut = 0, true
			fl.restartAll()
			fl.runRandomFaults(seed)
			worst = max(worst, fl.maxInWindow(large.Name))
		})
	}
	assert.Check(t, float64(worst) > maxGranted(large), "at most %d within a window", worst)
}

// runRandomFaults sends more requests than the quotas allow for 30 seconds while hosts
// and zones fail and recover.
func (fl *fleet) runRandomFaults(seed uint64) {
	const d = 30 * time.Second
	go fl.load(rand.New(rand.NewPCG(seed, 2)), small.Name, 20, d)
	go fl.load(rand.New(rand.NewPCG(seed, 1)), large.Name, 4*large.Rate, d)
	fl.injectFaults(rand.New(rand.NewPCG(seed, 7)), d)
}

// injectFaults kills, starts, cuts off and reconnects hosts and zones at random.
func (fl *fleet) injectFaults(rng *rand.Rand, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(400*time.Millisecond)))
		h := fl.hosts[rng.IntN(len(fl.hosts))]
		switch rng.IntN(6) {
		case 5:
			fl.cutOff(fl.randomThird(rng)...)
		case 0:
			fl.kill(h)
		case 1:
			fl.cutOff(h)
		case 2:
			fl.cutZone(h.zone)
		case 3:
			fl.heal()
		default:
			for _, h := range fl.hosts {
				if !h.up && rng.IntN(2) == 0 {
					fl.start(h)
				}
			}
		}
	}
}

// A zone that is cut off from the others keeps its part of the quota, and the others keep
// theirs.
func TestQuotaHoldsWhileAZoneIsCutOff(t *testing.T) {
	withFleet(t, 30, []routing.Tenant{large, small}, func(fl *fleet) {
		rng := rand.New(rand.NewPCG(1, 1))
		go fl.load(rand.New(rand.NewPCG(1, 2)), small.Name, 20, 20*time.Second)
		go func() {
			time.Sleep(5 * time.Second)
			fl.cutZone("a")
			time.Sleep(8 * time.Second)
			fl.heal()
		}()
		fl.load(rng, large.Name, 4*large.Rate, 20*time.Second)
		fl.assertWithinQuota(large)
		fl.assertWithinQuota(small)
		assert.Check(t, float64(len(fl.granted[large.Name])) >= 0.9*20*large.Rate, "only %d granted", len(fl.granted[large.Name]))
	})
}

// A third of the hosts, from all zones, is cut off together, and both sides get more
// requests than the quotas allow. The hosts that are cut off still reach each other: they
// must not own all parts a second time among themselves.
func TestQuotaHoldsWhileAThirdOfTheHostsIsCutOffTogether(t *testing.T) {
	withFleet(t, 30, []routing.Tenant{large, small}, func(fl *fleet) {
		go fl.load(rand.New(rand.NewPCG(1, 2)), small.Name, 20, 20*time.Second)
		go func() {
			time.Sleep(5 * time.Second)
			fl.cutOff(fl.randomThird(rand.New(rand.NewPCG(3, 1)))...)
			time.Sleep(5 * time.Second)
			fl.heal()
		}()
		fl.load(rand.New(rand.NewPCG(1, 1)), large.Name, 6*large.Rate, 20*time.Second)
		fl.assertWithinQuota(large)
		fl.assertWithinQuota(small)
		assert.Check(t, float64(len(fl.granted[large.Name])) >= 0.9*20*large.Rate, "only %d granted", len(fl.granted[large.Name]))
	})
}

// After a quota is lowered, no window that begins later may hold more grants than the
// lower quota allows.
func TestLoweredQuotaBinds(t *testing.T) {
	withFleet(t, 12, []routing.Tenant{large, small}, func(fl *fleet) {
		lower := large
		lower.Rate, lower.Burst = 10, 10
		go func() {
			time.Sleep(5 * time.Second)
			fl.configure([]routing.Tenant{lower, small})
			fl.mu.Lock()
			defer fl.mu.Unlock()
			fl.granted[large.Name] = nil
		}()
		fl.load(rand.New(rand.NewPCG(1, 1)), large.Name, 4*large.Rate, 15*time.Second)
		fl.assertWithinQuota(lower)
	})
}
