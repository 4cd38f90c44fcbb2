package quota

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/routing"
)

// firstOwners returns the host of each zone that ranks first as a tenant's owner.
func (fl *fleet) firstOwners(tenant string) (list []*host) {
	for _, zone := range zones {
		list = append(list, fl.ranked(tenant, zone)[0])
	}
	return list
}

// cutOffRepeatedly cuts the hosts that rank first as a tenant's owners off from all others for a
// time, again and again with a pause in between, until d has passed.
func (fl *fleet) cutOffRepeatedly(tenant string, cut, pause, d time.Duration) {
	first := fl.firstOwners(tenant)
	for end := time.Now().Add(d); time.Now().Before(end); {
		fl.cutOff(first...)
		time.Sleep(cut)
		fl.heal()
		time.Sleep(pause)
	}
}

// Guards against parts that gain tokens on two hosts at once: a host that took over kept gaining
// after the first owner was back, and spent that when the first was cut off again within a second.
func TestOwnersThatAlternateGainTokensOnce(t *testing.T) {
	withFleet(t, 12, []routing.Tenant{large}, func(fl *fleet) {
		go fl.cutOffRepeatedly(large.Name, 300*time.Millisecond, 500*time.Millisecond, 15*time.Second)
		fl.load(rand.New(rand.NewPCG(1, 1)), large.Name, 4*large.Rate, 15*time.Second)
		time.Sleep(2 * time.Second) // the last requests and cuts end
		fl.assertWithinQuota(large)
	})
}

// Guards against parts with a small burst and a fast rate that gain tokens on two hosts at once: by
// their burst alone they counted as too small for a hand-over.
func TestSmallBurstsOfAlternatingOwnersStayWithinQuota(t *testing.T) {
	for _, tenant := range []routing.Tenant{
		{Name: "slow", Rate: 10, Burst: 5},
		{Name: "medium", Rate: 20, Burst: 5},
		{Name: "fast", Rate: 100, Burst: 10},
	} {
		withFleet(t, 12, []routing.Tenant{tenant}, func(fl *fleet) {
			go fl.cutOffRepeatedly(tenant.Name, 300*time.Millisecond, 500*time.Millisecond, 15*time.Second)
			fl.load(rand.New(rand.NewPCG(1, 1)), tenant.Name, 4*tenant.Rate, 15*time.Second)
			time.Sleep(2 * time.Second) // the last requests and cuts end
			fl.assertWithinQuota(tenant)
		})
	}
}

// Guards against an owner that spends what it saved up while it was cut off: it got no request in
// that time, so it never noticed, and the hosts that owned its parts spent the same tokens.
func TestOwnerThatWasCutOffWithoutRequestsBeginsWithNothing(t *testing.T) {
	withFleet(t, 12, []routing.Tenant{large}, func(fl *fleet) {
		first := fl.firstOwners(large.Name)
		fl.entryHosts = slices.DeleteFunc(slices.Clone(fl.hosts), func(h *host) bool { return slices.Contains(first, h) })
		fl.load(rand.New(rand.NewPCG(3, 1)), large.Name, 10, 2*time.Second)
		fl.cutOff(first...)
		fl.load(rand.New(rand.NewPCG(3, 1)), large.Name, 20, 5*time.Second)
		go func() {
			time.Sleep(2 * time.Second)
			fl.heal()
		}()
		fl.load(rand.New(rand.NewPCG(1, 1)), large.Name, 6*large.Rate, 8*time.Second)
		time.Sleep(2 * time.Second) // the last requests end
		fl.assertWithinQuota(large)
	})
}

// Guards against refusals at a host that has the owner in backoff although the owner is back: all
// others named the owner, which was not asked for up to a second.
func TestOwnerInBackoffIsAskedOnceOthersNameIt(t *testing.T) {
	withFleet(t, 12, []routing.Tenant{large}, func(fl *fleet) {
		ranked := fl.ranked(large.Name, "a")
		owner, requester := ranked[0], ranked[len(ranked)-1]
		fl.entryHosts = []*host{requester}
		refused := 0
		for seed := range uint64(5) {
			rng := rand.New(rand.NewPCG(seed, 1))
			fl.net.Block(requester.id, owner.id)
			fl.load(rng, large.Name, 20, 4*time.Second)
			time.Sleep(300 * time.Millisecond) // requests that found no owner are refused by then, after two probes
			fl.net.UnblockAll()
			fl.mu.Lock()
			clear(fl.refused)
			fl.mu.Unlock()
			fl.load(rng, large.Name, 20, 2*time.Second)
			time.Sleep(time.Second)
			fl.mu.Lock()
			refused += fl.refused[large.Name]
			fl.mu.Unlock()
		}
		assert.Check(t, refused == 0, "%d refused", refused)
	})
}
