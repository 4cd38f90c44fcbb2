// Package health decides from the ends of calls when a target is left out for
// a while and when it is tried again. It looks at calls alone: health
// endpoints lag and mislead, so they never eject a target.
package health

import (
	"math/rand/v2"
	"time"
)

const (
	minSamples = 5    // ends before the share of failures says anything
	failWeight = 0.2  // weight of one end in the share of failures
	ejectShare = 0.6  // share of failures that ejects
	worseBy    = 0.3  // how much worse than the service a target must be
	maxEjected = 0.34 // share of the targets that may be out at once

	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	trialCalls    = 3 // whole answers in a row that end a trial
)

// State is what is known of one target. The zero value is a healthy target.
type State struct {
	fail     float64 // recent share of failures
	samples  int
	until    time.Time // end of the ejection
	times    int       // ejections in a row
	trial    bool
	answered int // whole answers during a trial
}

// Service is the recent share of failures over all targets of a service. A
// request that every target answers with an error is no reason to eject any.
type Service struct {
	fail    float64
	samples int
}

// Record adds the end of one call to the service's share of failures.
func (s *Service) Record(failed bool) {
	s.samples++
	s.fail += (toShare(failed) - s.fail) * max(0.01, 1/float64(s.samples))
}

func toShare(failed bool) float64 {
	if failed {
		return 1
	}
	return 0
}

// Record adds the end of one call. It reports whether the target should now be
// ejected, which the caller does with Eject if Allowed.
func (s *State) Record(now time.Time, failed bool, svc *Service) bool {
	if s.Ejected(now) {
		return false // a late end of a call from before the ejection
	}
	s.samples++
	s.fail += (toShare(failed) - s.fail) * max(failWeight, 1/float64(s.samples))
	if s.trial {
		return s.recordTrial(failed)
	}
	if s.samples < minSamples || s.fail < ejectShare {
		return false
	}
	return s.fail > svc.fail+worseBy
}

func (s *State) recordTrial(failed bool) bool {
	if failed {
		return true
	}
	s.answered++
	if s.answered >= trialCalls {
		*s = State{}
	}
	return false
}

// MayEject reports whether one more of total targets may be ejected. The cap
// keeps a fault that many targets share from crushing the rest with the load of
// all: above it, failing targets go on being used.
func MayEject(ejected, total int) bool {
	return float64(ejected+1) <= maxEjected*float64(total) || (ejected == 0 && total >= 2)
}

// Eject leaves the target out, for longer each time it fails its trial.
func (s *State) Eject(now time.Time, rng *rand.Rand) {
	d := min(firstEjection<<min(s.times, 10), maxEjection)
	jitter := time.Duration(rng.Int64N(int64(d) / 4))
	s.until = now.Add(d + jitter)
	s.times++
	s.trial = true
	s.answered = 0
}

// Ejected reports whether the target is left out now.
func (s *State) Ejected(now time.Time) bool { return now.Before(s.until) }

// OnTrial reports whether the target came back from an ejection and has yet to
// prove itself; it runs one call at a time until then.
func (s *State) OnTrial() bool { return s.trial }

// RecordProbe takes the answer of a health endpoint. A good one ends an ejection
// early and starts the trial; a bad one changes nothing.
func (s *State) RecordProbe(now time.Time, ok bool) {
	if ok && s.Ejected(now) {
		s.until = now
	}
}
