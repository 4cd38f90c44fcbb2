package probes

import (
	"expvar"
	"sync"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
)

// slotTime accumulates the total slot time: the number of target slots of all workspaces
// times the time that passed. The time spent on probes is reported as a share of it.
type slotTime struct {
	mu    sync.Mutex
	last  time.Time
	total time.Duration
}

// maxTick bounds the time that one tick accounts for, because a host that was paused
// does not know how many slots there were meanwhile.
const maxTick = time.Second

func (s *slotTime) tick(now time.Time, b *blackboard.Board) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.last.IsZero() {
		s.total += min(maxTick, now.Sub(s.last)) * time.Duration(slotCount(b))
	}
	s.last = now
}

func (s *slotTime) sum() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

func slotCount(b *blackboard.Board) int {
	targets := b.Targets.Load().ByService
	n := 0
	for _, ws := range b.Config.Load().Workspaces {
		for _, svc := range ws.Services {
			n += svc.Slots * len(targets[blackboard.ServiceKey{Workspace: ws.Name, Service: svc.Name}])
		}
	}
	return n
}

// perThousandCalls returns the number of probes that this host sent per 1,000 calls that
// it finished. For a figure over all hosts, divide the sums of the two counters.
func (c *Controller) perThousandCalls() any {
	var calls int64
	c.deps.Metrics.Calls.Do(func(kv expvar.KeyValue) { calls += intOf(kv.Value) })
	if calls == 0 {
		return 0.0
	}
	return 1000 * float64(intOf(c.count.Get(countSent))) / float64(calls)
}

// timeShare returns the time of this host's probes as a share of the total slot time. The
// shares of all hosts can be added.
func (c *Controller) timeShare() any {
	total := c.slots.sum()
	if total == 0 {
		return 0.0
	}
	return float64(intOf(c.count.Get(countMicros))) / float64(total.Microseconds())
}

func intOf(v expvar.Var) int64 {
	if i, ok := v.(*expvar.Int); ok {
		return i.Value()
	}
	return 0
}
