package edge

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/settings"
)

func members(n int) *blackboard.Members {
	m := &blackboard.Members{}
	for i := range n {
		m.Members = append(m.Members, blackboard.Member{Host: ports.Host{ID: ports.HostID(fmt.Sprint(i))}})
	}
	return m
}

// Fourteen hosts start at once during an outage of the store, and each knows only four at first.
// Every host keeps retrying. Together they must stay within the reserve of one window, although
// none of them knows the number of hosts.
func TestHostsThatKnowFewOthersKeepToTheReserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts = 14
		set := settings.Retries{Ratio: 0.2, Window: "10s", Reserve: 58}
		key := blackboard.ServiceKey{Service: "s"}
		var boards []*blackboard.Board
		var budgets []*retryBudget
		for range hosts {
			b := blackboard.New()
			defer b.Close()
			b.Members.Store(members(4))
			boards = append(boards, b)
			budgets = append(budgets, newRetryBudget(set, b, false))
		}
		spent := 0
		for range 60 {
			time.Sleep(50 * time.Millisecond)
			for _, r := range budgets {
				if r.Take(key, time.Now()) {
					spent++
				}
			}
		}
		for _, b := range boards {
			b.Members.Store(members(hosts))
		}
		for range 140 {
			time.Sleep(50 * time.Millisecond)
			for _, r := range budgets {
				if r.Take(key, time.Now()) {
					spent++
				}
			}
		}
		assert.Check(t, spent <= int(set.Reserve), "%d", spent)
		assert.Check(t, spent > int(set.Reserve)/2, "%d", spent)
	})
}

// Guards against hosts that start together under load, know only themselves, and each take the whole
// reserve.
func TestHostsThatKnowOnlyThemselvesKeepToTheReserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts = 14
		set := settings.Retries{Ratio: 0.2, Window: "10s", Reserve: 58}
		spent := 0
		var budgets []*retryBudget
		for range hosts {
			b := blackboard.New()
			defer b.Close()
			b.Members.Store(members(1))
			budgets = append(budgets, newRetryBudget(set, b, true))
		}
		for range 20 {
			time.Sleep(50 * time.Millisecond)
			for _, r := range budgets {
				if r.Take(blackboard.ServiceKey{Service: "s"}, time.Now()) {
					spent++
				}
			}
		}
		assert.Check(t, spent <= int(set.Reserve), "%d", spent)
	})
}
