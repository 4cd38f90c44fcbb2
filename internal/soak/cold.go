package soak

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cactusproxy/cactusproxy/platform/standin"
)

// firstSeedOfCold is the first seed whose targets have a limit while they are cold.
const firstSeedOfCold = 80_000

// Targets with a limit while cold, and the most requests that may reach one of them within a second
// then. They run fewer requests than others: what arrives before any host can know that a target
// has turned cold must not exceed the limit by itself.
const (
	coldTime     = 3 * time.Second
	coldRate     = 4.5
	maxColdRate  = 14
	coldSlots    = 2
	coldQueue    = 4
	coldWork     = 100 * time.Millisecond
	maxColdPause = 300 * time.Millisecond // of a caller between two requests
)

// coldSpells are the times at which a target was cold. They are safe for concurrent use.
type coldSpells struct {
	mu   sync.Mutex
	list []time.Time // starts, each for coldTime
}

// begin makes the target cold unless it is, and reports whether it did.
func (c *coldSpells) begin(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.list); n > 0 && now.Before(c.list[n-1].Add(coldTime)) {
		return false
	}
	c.list = append(c.list, now)
	return true
}

// left returns how much longer the target is cold.
func (c *coldSpells) left() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.list) == 0 {
		return 0
	}
	return max(0, time.Until(c.list[len(c.list)-1].Add(coldTime)))
}

// turnCold makes a target cold while it runs.
func (s *Soak) turnCold(_ context.Context, rng *rand.Rand) string {
	b := s.anyTarget(rng)
	if !b.cold.begin(time.Now()) {
		return b.ID + " as before"
	}
	return b.ID
}

// turnZoneCold makes all targets of a zone cold while they run.
func (s *Soak) turnZoneCold(_ context.Context, rng *rand.Rand) string {
	zone := []string{nearZone, farZone}[rng.IntN(2)]
	for _, b := range s.targets.live() {
		if b.zone == zone {
			b.cold.begin(time.Now())
		}
	}
	return zone
}

// killInSeries kills some of the hosts shortly after each other and starts them again.
func (s *Soak) killInSeries(ctx context.Context, rng *rand.Rand) string {
	var names []string
	for _, i := range rng.Perm(len(s.processes))[:1+rng.IntN(len(s.processes)-1)] {
		p := s.processes[i]
		names = append(names, p.name)
		s.restarts.Go(func() {
			s.recordDisturbance(p)
			p.restart(ctx, syscall.SIGKILL)
			s.recordDisturbance(p)
		})
		sleep(ctx, time.Duration(rng.IntN(300))*time.Millisecond)
	}
	return strings.Join(names, ", ")
}

// checkCold looks for targets that got more than maxColdRate requests within a second while they
// were cold, from all hosts together, however disturbed these were.
func (s *Soak) checkCold() {
	if !s.targets.coldLimits {
		return
	}
	for _, b := range s.targets.all() {
		arrivals := b.Arrivals()
		for _, from := range b.cold.list {
			n := mostPerSecond(arrivals, from, from.Add(coldTime))
			s.mostCold = max(s.mostCold, n)
			if n > maxColdRate {
				s.reportViolation("%s got %d requests in a second, cold since %s", b.ID, n, from.Sub(s.start).Round(time.Millisecond))
			}
		}
	}
}

// mostPerSecond returns the most arrivals within a second of a time span. They are in order.
func mostPerSecond(arrivals []standin.Arrival, from, to time.Time) (most int) {
	var window []time.Time
	for _, a := range arrivals {
		if a.At.Before(from) || !a.At.Before(to) {
			continue
		}
		window = append(window, a.At)
		for a.At.Sub(window[0]) >= time.Second {
			window = window[1:]
		}
		most = max(most, len(window))
	}
	return most
}
