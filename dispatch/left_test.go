package dispatch

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// lateUpstream takes a second to open a connection.
type lateUpstream struct{ sent []ports.HostID }

func (u *lateUpstream) RoundTrip(req *http.Request, t blackboard.Target, o upstream.SendOptions) upstream.Result {
	usable := o.Usable()
	time.Sleep(time.Second)
	if usable && !o.Usable() {
		return upstream.Result{Err: upstream.ErrTargetLeft}
	}
	u.sent = append(u.sent, t.ID)
	return respond(http.StatusOK, string(t.ID), nil)(req)
}

// Guards against requests that reach a target long after it has left: it was chosen before, and
// the connection took a second to open because a packet was lost.
func TestCallGoesElsewhereIfItsTargetLeavesWhileItConnects(t *testing.T) {
	for name, next := range map[string][]blackboard.Target{
		"gone":      {{ID: "t2"}},
		"leaving":   {{ID: "t1", Leaving: true}, {ID: "t2"}},
		"evacuated": {{ID: "t1", Evacuated: true}, {ID: "t2"}},
		"unchanged": {{ID: "t1"}, {ID: "t2"}},
	} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, shed(), shed())
				up := new(lateUpstream)
				b.d.upstream = up
				b.d.retries = new(hedgeBudget) // allows no retry
				c := newCall(method)
				list := func(targets []blackboard.Target) {
					b.d.board.Targets.Store(&blackboard.Targets{ByService: map[blackboard.ServiceKey][]blackboard.Target{c.Key: targets}})
				}
				list([]blackboard.Target{{ID: "t1"}, {ID: "t2"}})
				time.AfterFunc(500*time.Millisecond, func() { list(next) })
				body, err := readReply(t, b.do(t, context.Background(), c))
				want := "t2"
				if name == "unchanged" {
					want = "t1"
				}
				assert.Check(t, err)
				assert.Check(t, body == want && len(up.sent) == 1, "%s: %s, sent to %v", name, body, up.sent)
			})
		}
	}
}

// Guards against a call that is sent to a target long after it was placed there, because its
// connection took long to open: the target may have turned cold meanwhile.
func TestCallGoesElsewhereIfItsGrantExpiresWhileItConnects(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		synctest.Test(t, func(t *testing.T) {
			b := newHarness(t, shed(), shed())
			up := new(lateUpstream)
			b.d.upstream = up
			b.d.retries = new(hedgeBudget) // allows no retry
			b.picker.firstSendBy = time.Now().Add(250 * time.Millisecond)
			c := newCall(method)
			b.d.board.Targets.Store(&blackboard.Targets{ByService: map[blackboard.ServiceKey][]blackboard.Target{c.Key: {{ID: "t1"}, {ID: "t2"}}}})
			body, err := readReply(t, b.do(t, context.Background(), c))
			assert.Check(t, err)
			assert.Check(t, body == "t2" && len(up.sent) == 1, "%s, sent to %v", body, up.sent)
		})
	}
}
