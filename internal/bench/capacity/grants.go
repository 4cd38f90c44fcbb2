package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/policy/grant"
	"github.com/cactusproxy/cactusproxy/ports"
)

// grantsPerPoint is the number of grants timed per data point.
const grantsPerPoint = 100_000

// measureGrants measures the CPU time of a coordinator per grant. A single entry
// host drives the coordinator's state with half of the slots in use.
func measureGrants(_ context.Context, s *Slopes) error {
	s.Grant = Slope{Name: "grant", X: "targets of the service", Y: "ns of processor time of a coordinator for a grant and its release"}
	for _, n := range serviceSizes {
		s.Grant.Points = append(s.Grant.Points, Point{float64(n), float64(timeGrants(n)) / grantsPerPoint})
	}
	return nil
}

func timeGrants(targets int) time.Duration {
	const slots = 2
	now := time.Now()
	b := grant.NewCoordinator(blackboard.ServiceKey{Workspace: "w", Service: "s"}, rand.New(rand.NewPCG(1, 1)))
	b.Configure(&declare.Service{Name: "s", Slots: slots, MaxQueue: 1000})
	list := make([]blackboard.Target, targets)
	for i := range list {
		list[i] = blackboard.Target{ID: ports.HostID(fmt.Sprintf("t%d", i)), FirstSeen: now.Add(-time.Hour)}
	}
	b.SetTargets(now, list)
	host := &entryHost{coordinator: b}
	for range targets * slots / 2 {
		host.ask(now)
	}
	start := time.Now()
	for range grantsPerPoint {
		now = now.Add(10 * time.Microsecond)
		host.endOldest(now)
		host.ask(now)
	}
	return time.Since(start)
}

// entryHost requests grants from a coordinator and releases them in FIFO order.
type entryHost struct {
	coordinator *grant.Coordinator
	seq         uint64
	next        grant.AttemptID
	open        []grant.AttemptID
}

func (h *entryHost) frame(f grant.Frame, now time.Time) {
	h.seq++
	f.Epoch, f.Seq, f.Full = 1, h.seq, h.seq == 1
	h.coordinator.Receive(now, "h1", f)
	h.coordinator.Flush(now, func(_ ports.HostID, t grant.Reply) {
		for _, g := range t.Grants {
			h.open = append(h.open, g.ID)
		}
	})
}

func (h *entryHost) ask(now time.Time) {
	h.next++
	h.frame(grant.Frame{Requests: []grant.Request{{ID: h.next}}}, now)
}

func (h *entryHost) endOldest(now time.Time) {
	if len(h.open) == 0 {
		return
	}
	id := h.open[0]
	h.open = h.open[1:]
	h.frame(grant.Frame{Completions: []grant.Completion{{ID: id, Class: pick.OK, Latency: 5 * time.Millisecond, Load: -1}}}, now)
}
