package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/routing"
)

// medium is a tenant whose parts hold more than a host has after a start.
var medium = routing.Tenant{Name: "medium", Rate: 5, Burst: 5}

// returnInTurn stops all hosts at once and starts one of each zone after the other, in the given order of
// rank for a tenant.
func (fl *fleet) returnInTurn(tenant string, order []int, step time.Duration) {
	for _, h := range fl.hosts {
		fl.kill(h)
	}
	ranked := make(map[string][]*host)
	for _, zone := range zones {
		ranked[zone] = fl.ranked(tenant, zone)
	}
	for _, rank := range order {
		time.Sleep(step)
		for _, zone := range zones {
			fl.start(ranked[zone][rank])
		}
	}
}

// Guards against tokens that each owner of a part is granted for one loss of all hosts: those that return
// later take the part over from one that has spent the same tokens.
func TestOneLossGrantsStartTokensOnce(t *testing.T) {
	for seed := range uint64(*seeds) {
		withFleet(t, 12, []routing.Tenant{medium}, func(fl *fleet) {
			rng := rand.New(rand.NewPCG(seed, 3))
			order := []int{3, 2, 1, 0}
			if seed > 0 {
				rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
			}
			step := time.Duration(100+rng.IntN(500)) * time.Millisecond
			go func() {
				time.Sleep(500 * time.Millisecond)
				fl.returnInTurn(medium.Name, order, step)
			}()
			fl.load(rng, medium.Name, 60, 8*time.Second)
			fl.t.Logf("seed %d: order %v, %s apart: %d of %.1f", seed, order, step, fl.maxInWindow(medium.Name), maxGranted(medium))
			fl.assertWithinQuota(medium)
		})
	}
}

// Guards against tenants well within their quota that are refused after a start, because the host that owned a part
// before had nothing to hand over.
func TestTenantsWellWithinTheirQuotaAreServedAfterALoss(t *testing.T) {
	for seed := range uint64(*seeds) {
		withFleet(t, 12, []routing.Tenant{medium}, func(fl *fleet) {
			rng := rand.New(rand.NewPCG(seed, 4))
			order := rng.Perm(4)
			go func() {
				time.Sleep(500 * time.Millisecond)
				fl.returnInTurn(medium.Name, order, time.Duration(100+rng.IntN(500))*time.Millisecond)
			}()
			fl.load(rng, medium.Name, 0.4*medium.Rate, 8*time.Second)
			assert.Check(t, fl.refused[medium.Name] == 0, "%d refused, seed %d: order %v", fl.refused[medium.Name], seed, order)
		})
	}
}

// Guards against a host that is asked for its part by one that ranks after it, and gives it up.
func TestPartIsHandedToHostsThatRankBeforeOnly(t *testing.T) {
	withFleet(t, 9, []routing.Tenant{medium}, func(fl *fleet) {
		ranked := fl.ranked(medium.Name, "a")
		first, second := ranked[0], ranked[1]
		_, _ = takeOf(medium.Name, first, time.Second)
		l, _ := first.c.deps.Limits.Limit(medium.Name)
		tokens := func(h *host) float64 {
			h.c.mu.Lock()
			defer h.c.mu.Unlock()
			return h.c.partOf(time.Now(), medium.Name, l, 0).Tokens(time.Now())
		}
		before := tokens(first)
		assert.Check(t, before > 1)
		reply, err := first.c.onHandOver(t.Context(), second.id, handOverRequest{Name: medium.Name, Zone: "a"})
		assert.NilError(t, err)
		assert.DeepEqual(t, reply, handOverReply{Owned: true})
		assert.Check(t, tokens(first) >= before)
	})
}

// Guards against tokens in two places at once, and against an owner that goes on to gain them after it handed
// the part over.
func TestHandedTokensAreGoneFromTheFormerOwner(t *testing.T) {
	withFleet(t, 9, []routing.Tenant{medium}, func(fl *fleet) {
		ranked := fl.ranked(medium.Name, "a")
		fl.kill(ranked[0])
		time.Sleep(2 * time.Second)
		for range 3 {
			_, _ = takeOf(medium.Name, ranked[1], time.Second)
			time.Sleep(2 * time.Second)
		}
		p := ranked[1].c.parts[medium.Name]
		before := p.Tokens(time.Now())
		assert.Check(t, before > 1, "%f", before)
		reply, err := ranked[1].c.onHandOver(t.Context(), ranked[0].id, handOverRequest{Name: medium.Name, Zone: "a"})
		assert.NilError(t, err)
		assert.Equal(t, reply, handOverReply{Owned: true, Tokens: before})
		assert.Equal(t, p.Tokens(time.Now().Add(defaultHandoverDelay)), 0.0)
	})
}
