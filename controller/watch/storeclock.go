package watch

import (
	"sync"
	"time"

	"github.com/cactusproxy/cactusproxy/policy/transit"
)

// storeClock relates the steady clock of the store to that of this host. It is safe for concurrent
// use.
//
// An answer that waited in a queue, or for a process that was stopped, is as old as it was when the
// store made it. Without the store's clock an answer to a watch dates from the request, up to a
// whole wait earlier.
type storeClock struct {
	mu    sync.Mutex
	clock transit.Clock
}

// madeAt returns the earliest reading of this host's clock at which the store can have made an
// answer, from the readings at which this host asked and received it and the store's in it.
func (s *storeClock) madeAt(asked, received, storeTime time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock.Measure(asked, received, storeTime)
	s.clock.Receive(storeTime, received)
	took, _ := s.clock.Transit(storeTime, received)
	return received - took
}

// dateByStoreClock returns a time at which the store certainly had nothing newer than an answer.
func (c *Controller) dateByStoreClock(a answer) time.Time {
	at := a.validAt()
	if a.changes.StoreTime == 0 {
		return at
	}
	made := c.started.Add(c.storeClock.madeAt(c.reading(a.askedAt), c.reading(a.receivedAt), a.changes.StoreTime))
	if made.After(at) {
		return made
	}
	return at
}
