package rendezvous

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/ports"
)

const roles = 3000

func hosts(n int) []blackboard.Member {
	out := make([]blackboard.Member, n)
	for i := range out {
		out[i] = blackboard.Member{
			Host:  ports.Host{ID: ports.HostID(fmt.Sprintf("host-%02d", i)), Zone: string(rune('a' + i%3))},
			State: blackboard.MemberLive,
			Ready: true,
		}
	}
	return out
}

func owners(t *testing.T, members []blackboard.Member) map[string]ports.HostID {
	t.Helper()
	out := make(map[string]ports.HostID)
	for i := range roles {
		key := fmt.Sprintf("workspace/service-%d", i)
		m, ok := Owner(key, members)
		assert.Assert(t, ok)
		out[key] = m.Host.ID
	}
	return out
}

func TestRolesSpreadEvenly(t *testing.T) {
	count := make(map[ports.HostID]int)
	for _, id := range owners(t, hosts(15)) {
		count[id]++
	}
	assert.Equal(t, len(count), 15)
	for id, n := range count {
		assert.Check(t, n > roles/15*7/10 && n < roles/15*13/10, "%s has %d roles", id, n)
	}
}

func TestOnlyRolesOfTheLostHostMove(t *testing.T) {
	all := hosts(15)
	before := owners(t, all)
	all[4].State = blackboard.MemberSuspected
	for key, id := range owners(t, all) {
		if before[key] == all[4].Host.ID {
			assert.Check(t, id != all[4].Host.ID)
			continue
		}
		assert.Check(t, id == before[key], "role %s moved from %s to %s", key, before[key], id)
	}
}

func TestZoneAndReadinessComeFirst(t *testing.T) {
	all := hosts(6)
	m, ok := OwnerInZone("k", "b", all)
	assert.Check(t, ok && m.Host.Zone == "b")
	_, ok = OwnerInZone("k", "elsewhere", all)
	assert.Check(t, ok)
	for i := range all {
		all[i].Ready = i == 3
	}
	m, ok = Owner("k", all)
	assert.Check(t, ok && m.Host.ID == all[3].Host.ID)
	_, ok = Owner("k", nil)
	assert.Check(t, !ok)
	assert.Equal(t, testing.AllocsPerRun(100, func() { Owner("k", all) }), 0.0)
}
