// Package health implements passive health checking: it decides from the results of calls when a
// target is ejected for a while and when it is tried again. Health endpoints lag and mislead, so
// a failed probe never ejects a target.
//
// State tracks one target and Service the failure rate over all of them; a target is ejected only
// if it fails clearly more often than its service.
package health

import (
	"math/rand/v2"
	"time"
)

const (
	minResults      = 5    // results before the failure rate is significant
	resultWeight    = 0.2  // weight of one result in the failure rate
	ejectRate       = 0.6  // failure rate that ejects
	minExcess       = 0.3  // how much higher than the service's the rate must be
	maxEjectedShare = 0.34 // share of the targets that may be ejected at once

	firstEjection  = time.Second
	maxEjection    = 30 * time.Second
	trialSuccesses = 3 // consecutive successes that end a trial
)

// State is the health of one target. The zero value is a healthy target.
type State struct {
	failRate     float64 // moving average of the failure rate
	samples      int
	ejectedUntil time.Time // end of the ejection
	ejections    int       // ejections in a row
	trial        bool
	successes    int // successes during the trial
}

// Service is the recent failure rate over all targets of a service. A request that fails on every
// target is no reason to eject any of them.
type Service struct {
	failRate float64
	samples  int
}

// Record adds the result of one call to the service's failure rate.
func (s *Service) Record(failed bool) {
	s.samples++
	s.failRate += (toRate(failed) - s.failRate) * max(0.01, 1/float64(s.samples))
}

func toRate(failed bool) float64 {
	if failed {
		return 1
	}
	return 0
}

// Record adds the result of one call. It reports whether the target should now be ejected, which
// the caller does with Eject if MayEject allows it.
func (s *State) Record(now time.Time, failed bool, svc *Service) bool {
	if s.Ejected(now) {
		return false // delayed result of a call from before the ejection
	}
	s.samples++
	s.failRate += (toRate(failed) - s.failRate) * max(resultWeight, 1/float64(s.samples))
	if s.trial {
		return s.recordTrial(failed)
	}
	if s.samples < minResults || s.failRate < ejectRate {
		return false
	}
	return s.failRate > svc.failRate+minExcess
}

func (s *State) recordTrial(failed bool) bool {
	if failed {
		return true
	}
	s.successes++
	if s.successes >= trialSuccesses {
		*s = State{}
	}
	return false
}

// MayEject reports whether one more of total targets may be ejected. The cap keeps a fault that
// many targets share from putting the load of all on the rest: beyond it, failing targets stay in
// use.
func MayEject(ejected, total int) bool {
	return float64(ejected+1) <= maxEjectedShare*float64(total) || (ejected == 0 && total >= 2)
}

// Eject ejects the target, with a period that doubles each time it fails its trial and is
// jittered.
func (s *State) Eject(now time.Time, rng *rand.Rand) {
	d := min(firstEjection<<min(s.ejections, 10), maxEjection)
	jitter := time.Duration(rng.Int64N(int64(d) / 4))
	s.ejectedUntil = now.Add(d + jitter)
	s.ejections++
	s.trial = true
	s.successes = 0
}

// Ejected reports whether the target is ejected now.
func (s *State) Ejected(now time.Time) bool { return now.Before(s.ejectedUntil) }

// OnTrial reports whether the target has been ejected and not yet recovered; until then it gets
// one call at a time.
func (s *State) OnTrial() bool { return s.trial }

// RecordProbe applies the result of a health check. A success ends an ejection early and starts
// the trial; a failure changes nothing.
func (s *State) RecordProbe(now time.Time, ok bool) {
	if ok && s.Ejected(now) {
		s.ejectedUntil = now
	}
}
