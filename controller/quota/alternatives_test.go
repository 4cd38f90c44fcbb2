package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/policy/quota"
	"github.com/cactusproxy/cactusproxy/routing"
)

// grantedShare returns the share of a tenant's requests that were granted.
func (fl *fleet) grantedShare(tenant string) float64 {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	n := len(fl.granted[tenant])
	return float64(n) / float64(max(1, n+fl.refused[tenant]))
}

// grantedByEvenParts simulates the alternative in which every host has an equal part of
// the quota for itself. It needs no messages, but what one host doesn't use is lost to
// the others. It returns the share of requests granted.
func grantedByEvenParts(hosts int, tenant routing.Tenant, perSecond float64) float64 {
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1000, 0)
	l := quota.Limit{Rate: tenant.Rate, Burst: tenant.Burst}
	even := quota.Tolerance{Window: tolerance.Window} // a whole request per host would exceed it
	parts := make([]*quota.Part, hosts)
	for i := range parts {
		parts[i] = quota.NewPart(now.Add(-10*time.Second), l, even, hosts)
	}
	granted := 0
	const asked = 2000
	for range asked {
		now = now.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		if parts[rng.IntN(hosts)].Take(now, false) {
			granted++
		}
	}
	return float64(granted) / asked
}

// Tenants within their quota send requests to many hosts. Parts owned by one host per
// zone serve them; equal parts for every host do not.
func TestOwnedPartsServeWhereEvenPartsRefuse(t *testing.T) {
	const hosts, usual = 102, 0.62
	withFleet(t, hosts, []routing.Tenant{large, small}, func(fl *fleet) {
		go fl.load(rand.New(rand.NewPCG(2, 1)), small.Name, usual*small.Rate, 20*time.Second)
		fl.load(rand.New(rand.NewPCG(1, 1)), large.Name, usual*large.Rate, 20*time.Second)
		for _, tenant := range []routing.Tenant{large, small} {
			owned, even := fl.grantedShare(tenant.Name), grantedByEvenParts(hosts, tenant, usual*tenant.Rate)
			t.Logf("%s: %.3f served by owned parts, %.3f by even parts", tenant.Name, owned, even)
			assert.Check(t, owned >= 0.99)
			assert.Check(t, owned > even)
		}
	})
}

// With a single owner for all zones, a zone that is cut off chooses a second owner, and
// both grant the whole quota. One owner per zone stays within it.
func TestOneOwnerOfAllZonesBreaksTheQuotaWhereZonesDoNot(t *testing.T) {
	flood := func(oneOwner bool) (maxInWindow int) {
		withFleet(t, 30, []routing.Tenant{large}, func(fl *fleet) {
			if oneOwner {
				fl.mergeZones()
			}
			go func() {
				time.Sleep(5 * time.Second)
				fl.cutZone("a")
			}()
			fl.load(rand.New(rand.NewPCG(1, 1)), large.Name, 6*large.Rate, 20*time.Second)
			maxInWindow = fl.maxInWindow(large.Name)
		})
		return maxInWindow
	}
	one, parts := flood(true), flood(false)
	t.Logf("%d within a window by one owner, %d by an owner for each zone, %.0f allowed", one, parts, maxGranted(large))
	assert.Check(t, float64(one) > maxGranted(large))
	assert.Check(t, float64(parts) <= maxGranted(large))
}

// mergeZones makes all hosts consider themselves part of one zone.
func (fl *fleet) mergeZones() {
	for i := range fl.members.Members {
		fl.members.Members[i].Host.Zone = "all"
	}
	for _, h := range fl.hosts {
		fl.kill(h)
		fl.start(h)
		h.c.deps.Zone, h.c.deps.OtherZones = "all", nil
	}
	time.Sleep(10 * time.Second)
}
