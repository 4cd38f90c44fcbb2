package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/cactusproxy/cactusproxy/platform/standin"
)

// firstSeedOfStarved is the first seed whose hosts are only stopped and starved, while configurations
// change and targets are replaced: whatever else may keep a change from a host is left out, so that
// none may route by a configuration that was replaced.
const firstSeedOfStarved = 100_000

var starvedDisturbances = []disturbance{
	{"host paused", (*Soak).pause},
	{"host paused for long", (*Soak).pauseForLong},
	{"host starved", (*Soak).starve},
	{"configuration changed", (*Soak).changeConfig},
	{"configuration changed", (*Soak).changeConfig},
	{"ten configurations", (*Soak).burstConfig},
	{"target replaced", (*Soak).replaceTarget},
}

// starvedRun and starvedStop are how long a starved process runs and stands still by turns.
const (
	starvedRun  = 3 * time.Millisecond
	starvedStop = 57 * time.Millisecond
	// longestStarved is the longest time that a host is stopped or starved.
	longestStarved = 6 * time.Second
)

func (s *Soak) pauseForLong(ctx context.Context, rng *rand.Rand) string {
	return s.disturbForLong(ctx, rng, func(p *process, until time.Time) {
		p.signal(syscall.SIGSTOP)
		sleep(ctx, time.Until(until))
		p.signal(syscall.SIGCONT)
	})
}

// starve gives a process a twentieth of its processor time.
func (s *Soak) starve(ctx context.Context, rng *rand.Rand) string {
	return s.disturbForLong(ctx, rng, func(p *process, until time.Time) {
		for time.Now().Before(until) && ctx.Err() == nil {
			p.signal(syscall.SIGSTOP)
			time.Sleep(starvedStop)
			p.signal(syscall.SIGCONT)
			time.Sleep(starvedRun)
		}
	})
}

// disturbForLong disturbs a random process in the background until a time. It is recorded as disturbed all
// the while: the checks know of a disturbance for disturbanceMargin.
func (s *Soak) disturbForLong(ctx context.Context, rng *rand.Rand, disturb func(p *process, until time.Time)) string {
	p := s.anyProcess(rng)
	d := time.Duration(rng.Int64N(int64(longestStarved)))
	until := time.Now().Add(d)
	s.restarts.Go(func() {
		for time.Now().Before(until) && ctx.Err() == nil {
			s.recordDisturbance(p)
			sleep(ctx, disturbanceMargin/4)
		}
		s.recordDisturbance(p)
	})
	s.restarts.Go(func() { disturb(p, until) })
	return p.name + " for " + d.String()
}

// replacedVersion is a version that the next one has replaced.
type replacedVersion struct {
	version uint64
	at      time.Time
}

// watchReplaced checks that no host, whatever happened to its process, routes by a configuration that
// was replaced more than maxPropagation before, by requesting the route that only that one had.
func (s *Soak) watchReplaced(ctx context.Context, p *process) {
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: deadline}
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, 20*time.Millisecond)
		s.mu.Lock()
		old, ok := s.lastReplaced(time.Now().Add(-maxPropagation))
		s.mu.Unlock()
		if ok {
			s.checkReplaced(c, p, old, n)
		}
	}
}

// lastReplaced returns the newest version that was replaced before a time. s.mu must be held.
func (s *Soak) lastReplaced(before time.Time) (replacedVersion, bool) {
	for i := len(s.replaced) - 1; i >= 0; i-- {
		if s.replaced[i].at.Before(before) {
			return s.replaced[i], true
		}
	}
	return replacedVersion{}, false
}

func (s *Soak) checkReplaced(c *http.Client, p *process, old replacedVersion, n int) {
	req, err := http.NewRequest(http.MethodGet, "http://"+p.callers+"/"+versionRoute(old.version)+"/", nil)
	if err != nil {
		return
	}
	req.Host = hostName
	r := &request{id: fmt.Sprintf("o%d-%s-%d", old.version, p.name, n), process: p, at: time.Now()}
	req.Header.Set(standin.HeaderRequestID, r.id)
	req.Header.Set(standin.HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
	resp, err := c.Do(req)
	r.end, r.err = time.Now(), err
	if err == nil {
		_ = resp.Body.Close()
		r.status = resp.StatusCode
	}
	s.mu.Lock()
	s.requests = append(s.requests, r)
	s.mu.Unlock()
	if r.status == http.StatusOK {
		s.reportViolation("%s routes by configuration %d, replaced %s before", p.name, old.version, r.at.Sub(old.at))
	}
}
