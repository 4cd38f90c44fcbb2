package calllog

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/dispatch"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
)

// Guards against a call to a cold target that leaves no line, or one that lacks what allowed it.
func TestCallToAColdTargetIsLoggedWithItsQuota(t *testing.T) {
	basis := pick.Basis{
		Cold:      "zone-returned",
		ColdQuota: pick.ColdQuota{Owners: 4, Hosts: 35, ListVersion: 17, ListAge: 3 * time.Second, Left: 0.25},
	}
	c := Call{Result: outcome.Result{Outcome: outcome.Answered}, Status: 200, Attempts: []dispatch.AttemptRecord{{Target: "a", Basis: basis}}}
	assert.Check(t, c.noteworthy())
	assert.Equal(t, formatAttempts(c.Attempts), "a: took=0s ran=no cost=0.00 age=0s cold=zone-returned owners=4/35 list=17 list_age=3s left=0.25 probed=0 waited=0s")
	c.Attempts[0].Basis = pick.Basis{WarmAge: 35 * time.Millisecond}
	assert.Check(t, !c.noteworthy())
	assert.Equal(t, formatAttempts(c.Attempts), "a: took=0s ran=no cost=0.00 age=0s warm=35ms probed=0 waited=0s")
}
