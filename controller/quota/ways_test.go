package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/policy/quota"
	"github.com/cactusproxy/cactusproxy/routing"
)

// served is the share of a tenant's requests that were granted.
func (fl *fleet) served(tenant string) float64 {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	n := len(fl.granted[tenant])
	return float64(n) / float64(max(1, n+fl.refused[tenant]))
}

// evenParts is the way in which each host has the same part of a quota for itself: it needs no
// message, and leaves what one host does not use to nobody.
func evenParts(hosts int, tenant routing.Tenant, perSecond float64) float64 {
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1000, 0)
	l := quota.Limit{Rate: tenant.Rate, Burst: tenant.Burst}
	even := quota.Tolerance{Window: tolerance.Window} // a whole request for each host is beyond it
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

// Tenants that stay within their quota come to many hosts. Parts that are owned by one host of
// each zone serve them; even parts of all hosts do not.
func TestOwnedPartsServeWhereEvenPartsRefuse(t *testing.T) {
	const hosts, usual = 102, 0.62
	withFleet(t, hosts, []routing.Tenant{large, small}, func(fl *fleet) {
		go fl.load(rand.New(rand.NewPCG(2, 1)), small.Name, usual*small.Rate, 20*time.Second)
		fl.load(rand.New(rand.NewPCG(1, 1)), large.Name, usual*large.Rate, 20*time.Second)
		for _, tenant := range []routing.Tenant{large, small} {
			owned, even := fl.served(tenant.Name), evenParts(hosts, tenant, usual*tenant.Rate)
			t.Logf("%s: %.3f served by owned parts, %.3f by even parts", tenant.Name, owned, even)
			assert.Check(t, owned >= 0.99)
			assert.Check(t, owned > even)
		}
	})
}

// One owner for all zones is followed by another in a zone that is cut off, and both give out
// the whole quota.
func TestOneOwnerOfAllZonesBreaksTheQuotaWhereZonesDoNot(t *testing.T) {
	flood := func(oneOwner bool) (most int) {
		withFleet(t, 30, []routing.Tenant{large}, func(fl *fleet) {
			if oneOwner {
				fl.joinZones()
			}
			go func() {
				time.Sleep(5 * time.Second)
				fl.cutZone("a")
			}()
			fl.load(rand.New(rand.NewPCG(1, 1)), large.Name, 6*large.Rate, 20*time.Second)
			most = fl.most(large.Name)
		})
		return most
	}
	one, parts := flood(true), flood(false)
	t.Logf("%d within a window by one owner, %d by an owner for each zone, %.0f may be", one, parts, bound(large))
	assert.Check(t, float64(one) > bound(large))
	assert.Check(t, float64(parts) <= bound(large))
}

// joinZones has all hosts take themselves for those of one zone.
func (fl *fleet) joinZones() {
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
