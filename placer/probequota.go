package placer

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/cactusproxy/cactusproxy/blackboard"
)

// budgetFraction is the fraction of the probe budget that all hosts use together. The margin
// keeps the total within the budget while hosts disagree about the member list.
const budgetFraction = 0.8

// initialBurst exceeds the burst size of any host, so that the limiter starts full, with one
// second's worth of probes.
//
// After all hosts restart, waiting callers arrive at once, and without probes their calls would
// be placed on guesses. The budget is meant as an average over minutes, and restarts are rare.
const initialBurst = 1 << 20

// ProbeQuota limits the probes that this host sends to an equal share of the budget of all
// hosts. An equal share needs no messages between hosts; a lease in the platform's store would
// cost a store write per renewal.
type ProbeQuota struct {
	board *blackboard.Board
	// perTarget is the probes per second that a target may get from all hosts together.
	perTarget float64
	limiter   *rate.Limiter
}

// NewProbeQuota returns the probe quota of a host. Update sets its rate.
func NewProbeQuota(b *blackboard.Board, perTarget float64) *ProbeQuota {
	return &ProbeQuota{board: b, perTarget: perTarget, limiter: rate.NewLimiter(0, initialBurst)}
}

// Take consumes one probe from the quota and reports whether one was available.
func (s *ProbeQuota) Take(now time.Time) bool {
	return s.limiter.AllowN(now, 1)
}

// countProbed returns how many targets of a list may be probed. Targets in evacuated zones are
// not probed: a probe would take a slot from calls that are finishing there.
func countProbed(list []blackboard.Target) (n int) {
	for i := range list {
		if !list[i].Evacuated {
			n++
		}
	}
	return n
}

// Remaining returns the unused fraction of the quota, scaled so that half a burst or more is 1.
func (s *ProbeQuota) Remaining(now time.Time) float64 {
	burst := float64(s.limiter.Burst())
	if burst == 0 {
		return 0
	}
	return min(1, 2*s.limiter.TokensAt(now)/burst)
}

// Update recomputes the rate from the targets, routes and members on the board.
func (s *ProbeQuota) Update() {
	targets := 0
	routes := s.board.Routes.Load()
	for key, list := range s.board.Targets.Load().ByService {
		// Services that are not configured do not count: anyone may have written their entries.
		if routes == nil || routes.Service(key.Service) != nil {
			targets += countProbed(list)
		}
	}
	hosts := max(1, len(s.board.Members.Load().Members))
	limit := budgetFraction * s.perTarget * float64(targets) / float64(hosts)
	s.limiter.SetLimit(rate.Limit(limit))
	s.limiter.SetBurst(max(1, int(limit)))
}
