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

// Tenants that ask for seven times their usual get their quota, and no more, from many hosts.
func TestFloodsAreKeptToTheQuota(t *testing.T) {
	withFleet(t, 30, []routing.Tenant{large, small}, func(fl *fleet) {
		go fl.load(rand.New(rand.NewPCG(2, 1)), small.Name, 7*small.Rate, 20*time.Second)
		fl.load(rand.New(rand.NewPCG(1, 1)), large.Name, 4*large.Rate, 20*time.Second)
		fl.within(large)
		fl.within(small)
		assert.Check(t, float64(len(fl.granted[large.Name])) >= 0.95*20*large.Rate, "only %d granted", len(fl.granted[large.Name]))
	})
}

// A tenant that asks for what it may is served, wherever its callers are: of a large tenant's
// requests, and of those of many small ones together, less than one in a hundred is refused.
func TestTenantsWithinTheirQuotaAreServed(t *testing.T) {
	for name, fault := range map[string]func(fl *fleet){
		"no fault":              func(*fleet) {},
		"a third of hosts gone": func(fl *fleet) { fl.killSome(10) },
		"callers of one zone": func(fl *fleet) {
			fl.callersAt = slices.DeleteFunc(slices.Clone(fl.hosts), func(h *host) bool { return h.zone != "a" })
		},
		"all hosts start anew":   func(fl *fleet) { fl.restartAll() },
		"every host is replaced": func(fl *fleet) { go fl.roll() },
	} {
		t.Run(name, func(t *testing.T) {
			tenants := append(manySmall(), large)
			withFleet(t, 30, tenants, func(fl *fleet) {
				fault(fl)
				for i, tenant := range tenants {
					go fl.load(rand.New(rand.NewPCG(uint64(i), 1)), tenant.Name, 0.62*tenant.Rate, 20*time.Second)
				}
				time.Sleep(21 * time.Second)
				for _, tenant := range tenants {
					fl.within(tenant)
				}
				fl.servedNearlyAll(large)
				fl.servedNearlyAll(manySmall()...)
			})
		})
	}
}

// manySmall are small tenants.
func manySmall() (list []routing.Tenant) {
	for i := range 30 {
		tenant := small
		tenant.Name = fmt.Sprint(small.Name, i)
		list = append(list, tenant)
	}
	return list
}

// servedNearlyAll checks that of the requests of some tenants less than one in a hundred was
// refused.
func (fl *fleet) servedNearlyAll(tenants ...routing.Tenant) {
	fl.t.Helper()
	asked, refused := 0, 0
	for _, tenant := range tenants {
		refused += fl.refused[tenant.Name]
		asked += fl.refused[tenant.Name] + len(fl.granted[tenant.Name])
	}
	fl.t.Logf("%s and others: %d of %d refused", tenants[0].Name, refused, asked)
	assert.Check(fl.t, 100*refused <= asked, "%s and others: %d of %d refused", tenants[0].Name, refused, asked)
}

// The store is out for all: who reaches most others owns parts as before.
func TestTenantsAreServedWhileTheStoreIsOut(t *testing.T) {
	withFleet(t, 30, []routing.Tenant{large, small}, func(fl *fleet) {
		fl.mu.Lock()
		fl.storeOut = true
		fl.mu.Unlock()
		go fl.load(rand.New(rand.NewPCG(2, 1)), small.Name, 0.62*small.Rate, 20*time.Second)
		fl.load(rand.New(rand.NewPCG(1, 1)), large.Name, 0.62*large.Rate, 20*time.Second)
		fl.within(large)
		fl.servedNearlyAll(large, small)
	})
}

// What was granted to a request that did not run serves another.
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
		time.Sleep(returnedFor)
		a := c.callers[small.Name]
		assert.Check(t, !a.reuse(time.Now()), "a grant counts in the window in which it was given")
	})
}
