package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Bounds of what targets in need get: targetapi.HeaderLimit, and Retry-After of a refusal.
const (
	limitWindow = 4 * time.Second
	limitTold   = 500 * time.Millisecond // after a host has passed on an answer
	limitStable = 3 * time.Second        // after the limit was first named
	limitLasts  = limitStable + 2*limitWindow
	mostInRest  = 2 // requests of a host that were under way
	restTold    = 500 * time.Millisecond
	leavingTold = 2 * time.Second
)

// needs is what a target asks of hosts in its answers. It is safe for concurrent use.
type needs struct {
	mu sync.Mutex
	// limit is named between two moments.
	limit              float64
	limitFrom, limitTo time.Time
	// rest is asked for between two moments.
	rest             time.Duration
	restFrom, restTo time.Time
	// leavingAt is when it began to say that it leaves; zero if it does not.
	leavingAt time.Time
	// lost is set once answers may not have reached hosts.
	lost bool
}

func (n *needs) namedLimit() (float64, bool) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.limit, now.After(n.limitFrom) && now.Before(n.limitTo)
}

func (n *needs) askedRest() time.Duration {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.After(n.restFrom) && now.Before(n.restTo) {
		return n.rest
	}
	return 0
}

func (n *needs) saysLeaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.leavingAt.IsZero()
}

// unheard notes that answers may not reach hosts.
func (n *needs) unheard() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lost = true
}

func (s *Soak) nameLimit(_ context.Context, rng *rand.Rand) string {
	b := s.anyTarget(rng)
	now := time.Now()
	b.needs.mu.Lock()
	defer b.needs.mu.Unlock()
	if now.Before(b.needs.limitTo) {
		return b.ID + " as before"
	}
	b.needs.limit = float64(1+rng.IntN(8)) / 2
	b.needs.limitFrom, b.needs.limitTo = now, now.Add(limitLasts)
	return b.ID
}

func (s *Soak) askForRest(_ context.Context, rng *rand.Rand) string {
	b := s.anyTarget(rng)
	now := time.Now()
	b.needs.mu.Lock()
	defer b.needs.mu.Unlock()
	if now.Before(b.needs.restTo) {
		return b.ID + " as before"
	}
	b.needs.rest = time.Duration(500+rng.IntN(2500)) * time.Millisecond
	b.needs.restFrom, b.needs.restTo = now, now.Add(2*b.needs.rest)
	return b.ID
}

// leaveByAnswers has a target leave that the store shows as ready until it is gone.
func (s *Soak) leaveByAnswers(_ context.Context, rng *rand.Rand) string {
	b := s.anyTarget(rng)
	if err := s.targets.add(b.service); err != nil {
		return b.ID + failure(err)
	}
	b.gone = true
	b.needs.mu.Lock()
	b.needs.leavingAt = time.Now()
	b.needs.mu.Unlock()
	time.AfterFunc(2*leavingTold+time.Second, func() {
		s.targets.store.Remove("servers", b.ID)
		_ = b.server.Close()
	})
	return b.ID
}

// hostRun is one run of a host.
type hostRun struct {
	process *process
	run     int
}

// arrival is a request of a caller that came to a target.
type arrival struct {
	*sent
	by hostRun
	at time.Time
}

// arrivals are those of a target, in their order, but for requests of hosts that were disturbed
// around them.
func (s *Soak) arrivals(b *backend, byID map[string]*sent) (list []arrival) {
	for _, a := range b.Arrivals() {
		r := byID[a.ID]
		if r != nil && r.process.generation() >= r.run && !s.otherwiseDisturbed(r.process, r) {
			list = append(list, arrival{sent: r, by: hostRun{r.process, r.run}, at: a.At})
		}
	}
	return list
}

// told returns when hosts first passed on an answer to a request that came after a moment.
func told(list []arrival, from time.Time) map[hostRun]time.Time {
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

// checkNeeds looks for requests that targets got against what they had asked for.
func (s *Soak) checkNeeds() {
	byID := s.byID()
	for _, b := range s.targets.all() {
		list := s.arrivals(b, byID)
		s.checkLimit(b, list)
		s.checkLeaving(b, list)
		if !b.needs.lost {
			s.checkRest(b, list)
		}
	}
}

func (s *Soak) checkLimit(b *backend, list []arrival) {
	n := &b.needs
	if n.limitFrom.IsZero() {
		return
	}
	heard := told(list, n.limitFrom)
	var counted []time.Time
	for _, a := range list {
		at, known := heard[a.by]
		if known && a.at.After(at.Add(limitTold)) && a.at.After(n.limitFrom.Add(limitStable)) && a.at.Before(n.limitTo) {
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
			s.broken("%s named a limit of %g a second and got %d requests in %s", b.ID, n.limit, got, limitWindow)
			return
		}
	}
}

func (s *Soak) checkRest(b *backend, list []arrival) {
	n := &b.needs
	for _, refused := range list {
		if refused.at.Before(n.restFrom) || !refused.at.Before(n.restTo) {
			continue
		}
		got := 0
		for _, a := range list {
			d := a.at.Sub(refused.at)
			if a.by == refused.by && d > restTold && d < n.rest {
				got++
			}
		}
		if got > mostInRest {
			s.broken("%s asked %s for %s of rest and got %d requests", b.ID, refused.process.name, n.rest, got)
			return
		}
	}
}

func (s *Soak) checkLeaving(b *backend, list []arrival) {
	if b.needs.leavingAt.IsZero() {
		return
	}
	heard := told(list, b.needs.leavingAt)
	for _, a := range list {
		if at, known := heard[a.by]; known && a.sent.at.After(at.Add(leavingTold)) {
			s.broken("request %s: came to %s %s after %s had passed on that it leaves", a.id, b.ID, a.at.Sub(at), a.process.name)
		}
	}
}
