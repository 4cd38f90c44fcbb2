package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/policy/quota"
	"github.com/cactusproxy/cactusproxy/routing"
)

// Tenants that send many times their quota to many hosts get their quota, and no more.
func TestFloodsAreKeptToTheQuota(t *testing.T) {
	withFleet(t, 30, []routing.Tenant{large, small}, func(fl *fleet) {
		go fl.load(rand.New(rand.NewPCG(2, 1)), small.Name, 7*small.Rate, 20*time.Second)
		fl.load(rand.New(rand.NewPCG(1, 1)), large.Name, 4*large.Rate, 20*time.Second)
		fl.assertWithinQuota(large)
		fl.assertWithinQuota(small)
		assert.Check(t, float64(len(fl.granted[large.Name])) >= 0.95*20*large.Rate, "only %d granted", len(fl.granted[large.Name]))
	})
}

// Tenants within their quota are served wherever their callers are: at most one percent
// of the requests of a large tenant, and of those of many small tenants together, is
// refused.
func TestTenantsWithinTheirQuotaAreServed(t *testing.T) {
	for name, fault := range map[string]func(fl *fleet){
		"no fault":              func(*fleet) {},
		"a third of hosts gone": func(fl *fleet) { fl.killSome(10) },
		"callers of one zone": func(fl *fleet) {
			fl.entryHosts = slices.DeleteFunc(slices.Clone(fl.hosts), func(h *host) bool { return h.zone != "a" })
		},
		"all hosts start anew":   func(fl *fleet) { fl.restartAll() },
		"every host is replaced": func(fl *fleet) { go fl.replaceInTurn() },
	} {
		t.Run(name, func(t *testing.T) {
			tenants := append(smallTenants(), large)
			withFleet(t, 30, tenants, func(fl *fleet) {
				fault(fl)
				for i, tenant := range tenants {
					go fl.load(rand.New(rand.NewPCG(uint64(i), 1)), tenant.Name, 0.62*tenant.Rate, 20*time.Second)
				}
				time.Sleep(21 * time.Second)
				for _, tenant := range tenants {
					fl.assertWithinQuota(tenant)
				}
				fl.assertServed(large)
				fl.assertServed(smallTenants()...)
			})
		})
	}
}

// smallTenants returns tenants with the quota of small.
func smallTenants() (list []routing.Tenant) {
	for i := range 30 {
		tenant := small
		tenant.Name = fmt.Sprint(small.Name, i)
		list = append(list, tenant)
	}
	return list
}

// assertServed checks that at most one percent of the tenants' requests was refused.
func (fl *fleet) assertServed(tenants ...routing.Tenant) {
	fl.t.Helper()
	asked, refused := 0, 0
	for _, tenant := range tenants {
		refused += fl.refused[tenant.Name]
		asked += fl.refused[tenant.Name] + len(fl.granted[tenant.Name])
	}
	fl.t.Logf("%s and others: %d of %d refused", tenants[0].Name, refused, asked)
	assert.Check(fl.t, 100*refused <= asked, "%s and others: %d of %d refused", tenants[0].Name, refused, asked)
}

// While the store is unavailable to all hosts, those that reach a majority of the others
// own parts as before.
func TestTenantsAreServedWhileTheStoreIsOut(t *testing.T) {
	withFleet(t, 30, []routing.Tenant{large, small}, func(fl *fleet) {
		fl.mu.Lock()
		fl.storeDown = true
		fl.mu.Unlock()
		go fl.load(rand.New(rand.NewPCG(2, 1)), small.Name, 0.62*small.Rate, 20*time.Second)
		fl.load(rand.New(rand.NewPCG(1, 1)), large.Name, 0.62*large.Rate, 20*time.Second)
		fl.assertWithinQuota(large)
		fl.assertServed(large, small)
	})
}

// The grant of a request that didn't run is used for one other request, and expires after
// returnedTTL.
func TestReturnedGrantsAreUsedOnce(t *testing.T) {
	withFleet(t, 3, []routing.Tenant{small}, func(fl *fleet) {
		c := fl.hosts[0].c
		c.Return(small.Name)
		c.Return(small.Name)
		before := c.count.owned.Value()
		for range 2 {
			assert.Equal(t, c.Take(t.Context(), quota.Request{Name: small.Name, Remaining: -1}).Outcome, outcome.Outcome(0))
		}
		assert.Equal(t, c.count.owned.Value(), before)
		c.Return(small.Name)
		time.Sleep(returnedTTL)
		a := c.requesters[small.Name]
		assert.Check(t, !a.reuse(time.Now()), "a grant counts in the window in which it was given")
	})
}
