package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

// Availability zones of targets. All hosts are in the near one.
const (
	nearZone = "a"
	farZone  = "b"
	// farEach is how many targets there are to one of the far zone.
	farEach = 2
)

// evacuation is an order to empty the near zone, whose targets all hosts prefer.
type evacuation struct{ from, to time.Time }

// evacuate has an operator empty the near zone. Nothing else is disturbed anew until it is taken
// back: a host that is disturbed all the time is never held to the order.
func (s *Soak) evacuate(ctx context.Context, rng *rand.Rand) string {
	lasts := inForce + markTolerance + span(rng)
	s.mu.Lock()
	s.store.Put("op", "evacuate/"+nearZone, []byte("{}"))
	s.evacuations = append(s.evacuations, evacuation{from: time.Now(), to: time.Now().Add(lasts)})
	s.mu.Unlock()
	sleep(ctx, lasts)
	s.store.Remove("op", "evacuate/"+nearZone)
	return lasts.String()
}

// checkEvacuations looks for requests that undisturbed hosts sent to a target of a zone long
// after the order to empty it.
func (s *Soak) checkEvacuations() {
	byID := s.byID()
	for _, b := range s.targets.all() {
		if b.zone != nearZone {
			continue
		}
		for id, at := range b.StartTimes() {
			if r := byID[id]; r != nil && s.sentAgainstOrder(r, at) {
				s.broken("request %s: run by %s of an evacuated zone", id, b.ID)
			}
		}
	}
}

// sentAgainstOrder reports whether a request that began to run at a moment had been sent by a
// host in touch while the near zone had to be empty.
func (s *Soak) sentAgainstOrder(r *sent, at time.Time) bool {
	for _, e := range s.evacuations {
		if r.at.After(e.from.Add(inForce)) && at.Before(e.to) && r.touched {
			return true
		}
	}
	return false
}
