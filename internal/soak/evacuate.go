package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

// Availability zones of the targets. All hosts are in the near zone.
const (
	nearZone = "a"
	farZone  = "b"
	// farZoneInterval is the interval of targets in the far zone: every n-th one is there.
	farZoneInterval = 2
)

// evacuation is an order to evacuate the near zone, whose targets all hosts prefer.
type evacuation struct{ from, to time.Time }

// evacuate orders the evacuation of the near zone and withdraws the order later. No new
// disturbance starts in between, since only undisturbed hosts are checked against the order.
func (s *Soak) evacuate(ctx context.Context, rng *rand.Rand) string {
	lasts := maxPropagation + disturbanceMargin + randomDuration(rng)
	s.mu.Lock()
	s.store.Put("op", "evacuate/"+nearZone, []byte("{}"))
	s.evacuations = append(s.evacuations, evacuation{from: time.Now(), to: time.Now().Add(lasts)})
	s.mu.Unlock()
	sleep(ctx, lasts)
	s.store.Remove("op", "evacuate/"+nearZone)
	return lasts.String()
}

// checkEvacuations looks for requests that undisturbed hosts sent to a target in the near
// zone more than maxPropagation after the order to evacuate it.
func (s *Soak) checkEvacuations() {
	byID := s.byID()
	for _, b := range s.targets.all() {
		if b.zone != nearZone {
			continue
		}
		for id, at := range b.StartTimes() {
			if r := byID[id]; r != nil && s.sentDuringEvacuation(r, at) {
				s.reportViolation("request %s: run by %s of an evacuated zone", id, b.ID)
			}
		}
	}
}

// sentDuringEvacuation reports whether a request that started to run at a given time was
// sent by an undisturbed host while an order to evacuate the near zone was in force.
func (s *Soak) sentDuringEvacuation(r *request, at time.Time) bool {
	for _, e := range s.evacuations {
		if r.at.After(e.from.Add(maxPropagation)) && at.Before(e.to) && r.undisturbed {
			return true
		}
	}
	return false
}
