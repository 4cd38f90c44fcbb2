// Package metrics holds the counters of one daemon. They are expvar variables
// that are not published process-wide, so that many daemons fit in one process;
// the operators' listener serves them as JSON.
package metrics

import (
	"expvar"
	"fmt"
	"net/http"
	"sync"
)

// Set is the counters of one daemon. The zero value is not usable; see New.
type Set struct {
	mu   sync.Mutex
	root *expvar.Map

	// Calls counts finished calls by outcome.
	Calls *expvar.Map
	// Reasons counts finished calls by reason, all refusals among them.
	Reasons *expvar.Map
	// Retries counts further attempts by the reason for them.
	Retries *expvar.Map
	// RetriesRefused counts attempts not made, by reason.
	RetriesRefused *expvar.Map
}

// New returns an empty set of counters.
func New() *Set {
	s := &Set{root: new(expvar.Map)}
	s.Calls = s.Map("calls")
	s.Reasons = s.Map("reasons")
	s.Retries = s.Map("retries")
	s.RetriesRefused = s.Map("retries_refused")
	return s
}

// Map returns the map of counters with this name, making it at first use.
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

// Counters returns a function that makes counters of the map with this name, so
// that a package can hold those it counts on every message without a lookup.
func (s *Set) Counters(name string) func(counter string) *expvar.Int {
	m := s.Map(name)
	return func(counter string) *expvar.Int {
		v := new(expvar.Int)
		m.Set(counter, v)
		return v
	}
}

// Int returns the counter with this name, making it at first use.
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

// Func adds a value that is computed when it is read.
func (s *Set) Func(name string, f func() any) {
	s.root.Set(name, expvar.Func(f))
}

// String returns all counters as JSON.
func (s *Set) String() string { return s.root.String() }

// ServeHTTP serves all counters as JSON.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprintln(w, s.root.String())
}
