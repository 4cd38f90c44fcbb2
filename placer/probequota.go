package placer

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/cactusproxy/cactusproxy/blackboard"
)

// quotaUsed is the part of the budget for measuring that hosts use together, so
// that lists of hosts that disagree for a while do not add up to more than all.
const quotaUsed = 0.8

// firstBurst is more probes than any host may have saved up: a quota begins with as many
// as it can hold, a second's.
//
// After a start of all hosts the callers that waited come at once, and their calls would else go by
// guesses. Probes are bounded over minutes, and a start is rare beside that.
const firstBurst = 1 << 20

// ProbeQuota is this host's part of the probes that all hosts may put to targets.
// An even part needs no word between the hosts; a lease of it in the platform's
// store would be paid for at each renewal.
type ProbeQuota struct {
	board *blackboard.Board
	// perTarget is the probes a target may get in a second, from all hosts.
	perTarget float64
	limiter   *rate.Limiter
}

// NewProbeQuota returns the quota of a host, from the targets and hosts on its board.
func NewProbeQuota(b *blackboard.Board, perTarget float64) *ProbeQuota {
	return &ProbeQuota{board: b, perTarget: perTarget, limiter: rate.NewLimiter(0, firstBurst)}
}

// Take pays for one probe and reports whether the quota had it.
func (s *ProbeQuota) Take(now time.Time) bool {
	return s.limiter.AllowN(now, 1)
}

// probed returns how many targets of a list are probed: those of evacuated zones
// get no probes, which would take slots from the calls that end there.
func probed(list []blackboard.Target) (n int) {
	for i := range list {
		if !list[i].Evacuated {
			n++
		}
	}
	return n
}

// Left returns how much of a second's probes is left, 1 being half of it or more.
func (s *ProbeQuota) Left(now time.Time) float64 {
	burst := float64(s.limiter.Burst())
	if burst == 0 {
		return 0
	}
	return min(1, 2*s.limiter.TokensAt(now)/burst)
}

// Update takes in the targets and hosts on the board.
func (s *ProbeQuota) Update() {
	targets := 0
	routes := s.board.Routes.Load()
	for key, list := range s.board.Targets.Load().ByService {
		// Entries of services that no configuration names may be anyone's.
		if routes == nil || routes.Service(key.Service) != nil {
			targets += probed(list)
		}
	}
	hosts := max(1, len(s.board.Members.Load().Members))
	limit := quotaUsed * s.perTarget * float64(targets) / float64(hosts)
	s.limiter.SetLimit(rate.Limit(limit))
	s.limiter.SetBurst(max(1, int(limit)))
}
