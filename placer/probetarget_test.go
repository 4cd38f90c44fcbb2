package placer

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/policy/suspicion"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/routing"
	"github.com/cactusproxy/cactusproxy/targetapi"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// namedTarget answers all requests under one name.
type namedTarget struct {
	name     string
	opened   time.Time
	requests int
}

func (n *namedTarget) RoundTrip(*http.Request, blackboard.Target, upstream.SendOptions) upstream.Result {
	n.requests++
	return upstream.Result{
		Sent:     true,
		Response: &http.Response{StatusCode: 200, Header: http.Header{"Instance": {n.name}}, Body: io.NopCloser(strings.NewReader(""))},
		Opened:   n.opened,
	}
}

// Guards against a verification that takes the answer of another target, or of another run, for that
// of the target it lost, and against one that exceeds the probe quota.
func TestProbeOfATargetReportsItsOwnAnswers(t *testing.T) {
	opened := time.Unix(1000, 0)
	for _, c := range []struct {
		name     string
		answers  string
		run      ports.Incarnation
		quota    float64
		requests int
		reported bool
	}{
		{"its own answer", "a", 100, 60, 1, true},
		{"another target at its address", "b", 100, 60, 1, false},
		{"another run is listed", "a", 99, 60, 0, false},
		{"quota used up", "a", 100, 0, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newTestPlacer(t)
			l.p.deps.Probes = NewProbeQuota(l.board, c.quota)
			info := l.listRun(100, false).info
			services := []routing.Service{{Name: testKey.Service, HealthPath: "/h"}}
			l.board.Routes.Store(routing.NewTable(&routing.Config{Services: services}, rand.New(rand.NewPCG(1, 1))))
			l.p.deps.Probes.Update()
			for c.quota == 0 && l.p.deps.Probes.Take(time.Now()) {
				continue // the burst
			}
			up := &namedTarget{name: c.answers, opened: opened}
			l.p.deps.Upstream = up
			l.p.deps.Contract = &targetapi.Contract{Instance: "Instance"}
			var heard []suspicion.Answer
			l.p.deps.OnAnswered = func(a suspicion.Answer) { heard = append(heard, a) }
			info.Incarnation = c.run
			l.p.ProbeTarget(testKey, info)
			assert.Equal(t, up.requests, c.requests)
			assert.Equal(t, len(heard) == 1, c.reported)
			if c.reported {
				assert.Equal(t, heard[0].Target, info.RunID())
				assert.Equal(t, heard[0].Opened, opened)
			}
		})
	}
}
