// Package invariant asserts inside the program what must always hold. A broken
// invariant is counted, logged and stops the process: going on would turn a
// fault of the program into a wrong answer to a caller.
package invariant

import (
	"expvar"
	"fmt"
	"sync/atomic"
)

// Name identifies an invariant in logs, metrics and docs/PROOF.md.
type Name string

// The invariants; each is one point of "what must always hold".
const (
	// ProbeBudget: probes of a workspace stay within its budget.
	ProbeBudget Name = "probe-budget"
	// OwnAnswer: a caller gets the answer to its own request.
	OwnAnswer Name = "own-answer"
	// NotRunHonest: not-run is told only if no attempt can have run.
	NotRunHonest Name = "not-run-honest"
	// AtMostOnce: an at-most-once call is sent at most once for a key.
	AtMostOnce Name = "at-most-once"
	// LeavingIdle: a leaving target gets no new call after the grace period.
	LeavingIdle Name = "leaving-idle"
	// GracefulStop: a planned stop ends with no call in flight.
	GracefulStop Name = "graceful-stop"
	// ConfigForward: the applied configuration sequence never goes back.
	ConfigForward Name = "config-forward"
	// EvacuationForward: an order to evacuate a zone never goes back to an older revision.
	EvacuationForward Name = "evacuation-forward"
	// EvacuatedIdle: no target of an evacuated zone is chosen.
	EvacuatedIdle Name = "evacuated-idle"
	// SlotAccount: the slots granted match the calls holding them.
	SlotAccount Name = "slot-account"
	// QuotaPart: a zone's part of a tenant's quota never holds more than its room.
	QuotaPart Name = "quota-part"
	// RouteService: every route of a table leads to services that the table has.
	RouteService Name = "route-service"
)

var broken = expvar.NewMap("invariants_broken")

// Handler receives a broken invariant; it must not return control to the code
// that broke it.
type Handler func(name Name, detail string)

var handler atomic.Pointer[Handler]

// SetHandler replaces what happens on a broken invariant; nil restores the
// default, which is Stop. It is process-wide because the process is what stops.
func SetHandler(h Handler) {
	if h == nil {
		handler.Store(nil)
		return
	}
	handler.Store(&h)
}

// Stop ends the process with the invariant's name. It panics in a goroutine of
// its own: net/http recovers a panic in a handler, so that one there would only
// break off one caller's connection and the process would go on.
func Stop(name Name, detail string) {
	go Panic(name, detail)
	select {}
}

// Panic panics where the invariant broke. It is a handler for tests that bring
// that about.
func Panic(name Name, detail string) {
	panic("invariant broken: " + string(name) + ": " + detail)
}

// Check stops the process if ok is false. The detail is formatted only then.
func Check(ok bool, name Name, format string, args ...any) {
	if ok {
		return
	}
	Broken(name, fmt.Sprintf(format, args...))
}

// Broken reports a broken invariant and does not return.
func Broken(name Name, detail string) {
	broken.Add(string(name), 1)
	if h := handler.Load(); h != nil {
		(*h)(name, detail)
	}
	Stop(name, detail)
}
