// Package invariant checks the invariants of the load balancer at run time. A broken
// invariant is counted, passed to the handler and stops the process, because continuing
// could turn a bug into a wrong response to a caller.
package invariant

import (
	"expvar"
	"fmt"
	"sync/atomic"
)

// Name identifies an invariant in logs, metrics and docs/PROOF.md.
type Name string

// The invariants.
const (
	// ProbeBudget: the probes of a workspace stay within its budget.
	ProbeBudget Name = "probe-budget"
	// OwnAnswer: a caller gets the response to its own request.
	OwnAnswer Name = "own-answer"
	// NotRunHonest: a caller gets not-run only if no attempt can have run.
	NotRunHonest Name = "not-run-honest"
	// AtMostOnce: an at-most-once request is sent at most once per key.
	AtMostOnce Name = "at-most-once"
	// LeavingIdle: a leaving target gets no new request after the grace period.
	LeavingIdle Name = "leaving-idle"
	// GracefulStop: a planned stop ends with no request in flight.
	GracefulStop Name = "graceful-stop"
	// ConfigForward: the applied configuration sequence never decreases.
	ConfigForward Name = "config-forward"
	// EvacuationForward: the revision of an order to evacuate a zone never decreases.
	EvacuationForward Name = "evacuation-forward"
	// EvacuatedIdle: no target of an evacuated zone is chosen.
	EvacuatedIdle Name = "evacuated-idle"
	// SlotAccount: the number of granted slots matches the requests that hold them.
	SlotAccount Name = "slot-account"
	// ColdQuota: a call to a target that is or may be cold is taken from this host's quota.
	ColdQuota Name = "cold-quota"
	// QuotaPart: a zone's part of a tenant's quota never exceeds its capacity.
	QuotaPart Name = "quota-part"
	// RouteService: every route of a table refers to services of the same table.
	RouteService Name = "route-service"
)

var broken = expvar.NewMap("invariants_broken")

// Handler handles a broken invariant. If it returns, Stop is called.
type Handler func(name Name, detail string)

var handler atomic.Pointer[Handler]

// SetHandler sets the process-wide handler of broken invariants; nil restores the
// default, Stop. It is process-wide because a broken invariant stops the process.
func SetHandler(h Handler) {
	if h == nil {
		handler.Store(nil)
		return
	}
	handler.Store(&h)
}

// Stop ends the process with a panic that names the invariant, and does not return. It
// panics in a separate goroutine, because net/http recovers panics of handlers: the
// process would continue and only one caller's connection would break.
func Stop(name Name, detail string) {
	go Panic(name, detail)
	select {}
}

// Panic panics in the goroutine that broke the invariant. It is a handler for tests that
// break invariants on purpose.
func Panic(name Name, detail string) {
	panic("invariant broken: " + string(name) + ": " + detail)
}

// Check calls Broken if ok is false. The detail is formatted only in that case.
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
