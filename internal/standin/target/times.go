package target

import (
	"math"
	"math/rand/v2"
	"time"
)

// serviceTimes draws random service times. It is not safe for concurrent use.
type serviceTimes struct {
	rng     *rand.Rand
	started time.Time
	// slowFrom and slowUntil bound the current or next slow period.
	slowFrom  time.Time
	slowUntil time.Time
}

func newServiceTimes(seed uint64, now time.Time) *serviceTimes {
	return &serviceTimes{rng: rand.New(rand.NewPCG(seed, seed+1)), started: now}
}

// draw returns the service time of a call that starts now.
func (s *serviceTimes) draw(b Behaviour, now time.Time) time.Duration {
	d := s.lognormal(b.ServiceMean, b.ServiceSigma)
	f := s.coldFactor(b, now)
	if b.SlowFactor > 0 {
		f *= b.SlowFactor
	}
	if s.straggling(b.Straggle, now) {
		f *= b.Straggle.Factor
	}
	return time.Duration(float64(d) * f)
}

// lognormal draws from the lognormal distribution with this mean and sigma.
func (s *serviceTimes) lognormal(mean time.Duration, sigma float64) time.Duration {
	if sigma <= 0 {
		return mean
	}
	mu := math.Log(float64(mean)) - sigma*sigma/2
	return time.Duration(math.Exp(mu + sigma*s.rng.NormFloat64()))
}

func (s *serviceTimes) coldFactor(b Behaviour, now time.Time) float64 {
	age := now.Sub(s.started)
	if b.ColdFactor <= 1 || age >= b.ColdStart {
		return 1
	}
	left := 1 - float64(age)/float64(b.ColdStart)
	return 1 + (b.ColdFactor-1)*left
}

func (s *serviceTimes) straggling(g Straggle, now time.Time) bool {
	if g.Factor <= 0 || g.Share <= 0 || g.Share >= 1 || g.Period <= 0 {
		return false
	}
	if s.slowUntil.IsZero() {
		s.slowUntil = s.started
		s.nextPeriod(g)
	}
	for !now.Before(s.slowUntil) {
		s.nextPeriod(g)
	}
	return !now.Before(s.slowFrom)
}

// nextPeriod draws the time until the next slow period, with a mean that gives the configured
// share of slow time.
func (s *serviceTimes) nextPeriod(g Straggle) {
	pause := float64(g.Period) * (1 - g.Share) / g.Share
	s.slowFrom = s.slowUntil.Add(time.Duration(s.rng.ExpFloat64() * pause))
	s.slowUntil = s.slowFrom.Add(g.Period)
}
