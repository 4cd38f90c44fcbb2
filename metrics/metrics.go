// Package metrics holds the counters and histograms of one daemon. They are expvar variables
// in a Set of their own instead of expvar's process-wide registry, so that several daemons
// can run in one process. The operators' listener serves a Set as JSON.
package metrics

import (
	"expvar"
	"fmt"
	"net/http"
	"sync"
)

// Set holds the metrics of one daemon. The zero value is not usable; see New.
type Set struct {
	mu   sync.Mutex
	root *expvar.Map

	// Calls counts finished calls by outcome.
	Calls *expvar.Map
	// Reasons counts finished calls by reason, including all refusals.
	Reasons *expvar.Map
	// Retries counts attempts after the first by the reason for the retry.
	Retries *expvar.Map
	// RetriesRefused counts retries that were not made, by reason.
	RetriesRefused *expvar.Map
}

// New returns an empty set.
func New() *Set {
	s := &Set{root: new(expvar.Map)}
	s.Calls = s.Map("calls")
	s.Reasons = s.Map("reasons")
	s.Retries = s.Map("retries")
	s.RetriesRefused = s.Map("retries_refused")
	return s
}

// Map returns the map of counters with this name, creating it on first use.
func (s *Set) Map(name string) *expvar.Map {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.root.Get(name).(*expvar.Map); ok {
		return m
	}
	m := new(expvar.Map)
	s.root.Set(name, m)
	return m
}

// Counters returns a function that creates counters in the map with this name. A package on
// a hot path can keep the counters and increment them without a map lookup.
func (s *Set) Counters(name string) func(counter string) *expvar.Int {
	m := s.Map(name)
	return func(counter string) *expvar.Int {
		v := new(expvar.Int)
		m.Set(counter, v)
		return v
	}
}

// Int returns the counter with this name, creating it on first use.
func (s *Set) Int(name string) *expvar.Int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, ok := s.root.Get(name).(*expvar.Int); ok {
		return v
	}
	v := new(expvar.Int)
	s.root.Set(name, v)
	return v
}

// Func adds a value that is computed each time the metrics are read.
func (s *Set) Func(name string, f func() any) {
	s.root.Set(name, expvar.Func(f))
}

// String returns all metrics as JSON.
func (s *Set) String() string { return s.root.String() }

// ServeHTTP serves all metrics as JSON.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprintln(w, s.root.String())
}
