package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Bounds on the requests that a target may get after it announced a rate limit
// (targetapi.HeaderLimit), a back-off (Retry-After of a rejection) or its shutdown.
const (
	limitWindow   = 4 * time.Second
	limitDelay    = 500 * time.Millisecond // after a host has forwarded a response with the limit
	limitSettle   = 3 * time.Second        // after the limit was first announced
	limitDuration = limitSettle + 2*limitWindow
	maxDuringRest = 2 // requests that a host may already have in flight
	restDelay     = 500 * time.Millisecond
	leavingDelay  = 2 * time.Second
)

// targetSignals is what a target announces to hosts in its responses. It is safe for
// concurrent use.
type targetSignals struct {
	mu sync.Mutex
	// limit, in requests per second, is announced from limitFrom to limitTo.
	limit              float64
	limitFrom, limitTo time.Time
	// rest is the back-off requested from restFrom to restTo.
	rest             time.Duration
	restFrom, restTo time.Time
	// leavingAt is when the target began to announce its shutdown, or zero.
	leavingAt time.Time
	// lost is set once responses may have been lost on the way to hosts.
	lost bool
}

func (n *targetSignals) announcedLimit() (float64, bool) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.limit, now.After(n.limitFrom) && now.Before(n.limitTo)
}

func (n *targetSignals) requestedRest() time.Duration {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.After(n.restFrom) && now.Before(n.restTo) {
		return n.rest
	}
	return 0
}

func (n *targetSignals) announcesLeaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.leavingAt.IsZero()
}

// markLost records that responses may not reach hosts.
func (n *targetSignals) markLost() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lost = true
}

func (s *Soak) nameLimit(_ context.Context, rng *rand.Rand) string {
	b := s.anyTarget(rng)
	now := time.Now()
	b.signals.mu.Lock()
	defer b.signals.mu.Unlock()
	if now.Before(b.signals.limitTo) {
		return b.ID + " as before"
	}
	b.signals.limit = float64(1+rng.IntN(8)) / 2
	b.signals.limitFrom, b.signals.limitTo = now, now.Add(limitDuration)
	return b.ID
}

func (s *Soak) requestRest(_ context.Context, rng *rand.Rand) string {
	b := s.anyTarget(rng)
	now := time.Now()
	b.signals.mu.Lock()
	defer b.signals.mu.Unlock()
	if now.Before(b.signals.restTo) {
		return b.ID + " as before"
	}
	b.signals.rest = time.Duration(500+rng.IntN(2500)) * time.Millisecond
	b.signals.restFrom, b.signals.restTo = now, now.Add(2*b.signals.rest)
	return b.ID
}

// leaveByResponses shuts down a target that announces it only in its responses: in the store
// it stays ready until its entry is removed.
func (s *Soak) leaveByResponses(_ context.Context, rng *rand.Rand) string {
	b := s.anyTarget(rng)
	if err := s.targets.add(b.service); err != nil {
		return b.ID + errorSuffix(err)
	}
	b.gone = true
	b.signals.mu.Lock()
	b.signals.leavingAt = time.Now()
	b.signals.mu.Unlock()
	time.AfterFunc(2*leavingDelay+time.Second, func() {
		s.targets.store.Remove("servers", b.ID)
		_ = b.server.Close()
	})
	return b.ID
}

// hostRun identifies one run of a host.
type hostRun struct {
	process *process
	run     int
}

// arrival is a caller's request that arrived at a target.
type arrival struct {
	*request
	by hostRun
	at time.Time
}

// arrivals returns the requests that arrived at a target, in order, without those sent by
// hosts that were disturbed at the time.
func (s *Soak) arrivals(b *testTarget, byID map[string]*request) (list []arrival) {
	for _, a := range b.Arrivals() {
		r := byID[a.ID]
		if r != nil && r.process.generation() >= r.run && !s.otherwiseDisturbed(r.process, r) {
			list = append(list, arrival{request: r, by: hostRun{r.process, r.run}, at: a.At})
		}
	}
	return list
}

// firstResponses returns when each host first forwarded a response to a request that
// arrived after a given time.
func firstResponses(list []arrival, from time.Time) map[hostRun]time.Time {
	first := make(map[hostRun]time.Time)
	for _, a := range list {
		if a.at.Before(from) || a.err != nil || a.status >= 300 {
			continue
		}
		if at, known := first[a.by]; !known || a.end.Before(at) {
			first[a.by] = a.end
		}
	}
	return first
}

// checkSignals looks for requests that targets got against what they had announced.
func (s *Soak) checkSignals() {
	byID := s.byID()
	for _, b := range s.targets.all() {
		list := s.arrivals(b, byID)
		s.checkLimit(b, list)
		s.checkLeaving(b, list)
		if !b.signals.lost {
			s.checkRest(b, list)
		}
	}
}

func (s *Soak) checkLimit(b *testTarget, list []arrival) {
	n := &b.signals
	if n.limitFrom.IsZero() {
		return
	}
	forwarded := firstResponses(list, n.limitFrom)
	var counted []time.Time
	for _, a := range list {
		at, known := forwarded[a.by]
		if known && a.at.After(at.Add(limitDelay)) && a.at.After(n.limitFrom.Add(limitSettle)) && a.at.Before(n.limitTo) {
			counted = append(counted, a.at)
		}
	}
	slices.SortFunc(counted, time.Time.Compare)
	allowed := 1.5*n.limit*limitWindow.Seconds() + 5
	from := 0
	for i, at := range counted {
		for at.Sub(counted[from]) >= limitWindow {
			from++
		}
		if got := i - from + 1; float64(got) > allowed {
			s.reportViolation("%s named a limit of %g a second and got %d requests in %s", b.ID, n.limit, got, limitWindow)
			return
		}
	}
}

func (s *Soak) checkRest(b *testTarget, list []arrival) {
	n := &b.signals
	for _, refused := range list {
		if refused.at.Before(n.restFrom) || !refused.at.Before(n.restTo) {
			continue
		}
		got := 0
		for _, a := range list {
			d := a.at.Sub(refused.at)
			if a.by == refused.by && d > restDelay && d < n.rest {
				got++
			}
		}
		if got > maxDuringRest {
			s.reportViolation("%s asked %s for %s of rest and got %d requests", b.ID, refused.process.name, n.rest, got)
			return
		}
	}
}

func (s *Soak) checkLeaving(b *testTarget, list []arrival) {
	if b.signals.leavingAt.IsZero() {
		return
	}
	forwarded := firstResponses(list, b.signals.leavingAt)
	for _, a := range list {
		if at, known := forwarded[a.by]; known && a.request.at.After(at.Add(leavingDelay)) {
			s.reportViolation("request %s: came to %s %s after %s had passed on that it leaves", a.id, b.ID, a.at.Sub(at), a.process.name)
		}
	}
}
