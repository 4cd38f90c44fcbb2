// Package pick defines the interface between the code that sends the attempts of a call
// (package dispatch) and the code that chooses their targets (packages placer, slots and
// backpressure).
//
// A Picker grants one attempt at one target, or refuses the call. The sender releases the grant
// with a Report of how the attempt went, from which the picker learns about load and failures.
// Pickers know nothing of connections; senders know nothing of load balancing.
package pick

import (
	"context"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/targetapi"
)

// Request describes one attempt that needs a target.
type Request struct {
	Service blackboard.ServiceKey
	// Avoid lists targets of earlier attempts of the call. They are chosen only if there is no
	// other.
	Avoid []ports.HostID
	// Hedge marks a second attempt while the first is in flight. It is granted only if a slot
	// is free at once.
	Hedge bool
	// Exclusive asks for a target that runs nothing else of this host during the attempt, because
	// the call is suspected of crashing targets.
	Exclusive bool
	// Digest identifies the request to the detection of calls that crash targets; 0 if not
	// computed.
	Digest uint64
	// Arrived is when the caller first sent the request; a retry after a refusal may keep it.
	// Objective is the desired response time counted from it; 0 if the route declares none.
	Arrived   time.Time
	Objective time.Duration
	// Priority is the rank of the call; 0 is the most urgent.
	Priority int
	// Tenant is the name of the tenant that owns the request's API key; empty if there is none.
	Tenant string
	// Spare marks a call of a tenant or rank that exceeds its share while the service is short of
	// room. It is granted only if a slot is free, without waiting; with LeaveSlot only if another
	// slot of the target stays free, unless the target has a single one.
	Spare, LeaveSlot bool
	// Bytes is the estimated size of the request's body and its response together.
	Bytes float64
	// Regions are the only regions whose targets may get the call; all if empty.
	Regions []string
}

// Picker chooses targets. Implementations are safe for concurrent use.
type Picker interface {
	// Pick waits for a target until ctx ends. It returns a grant, which the caller must release
	// exactly once, or a nil grant and the refusal for the caller. The outcome of a refusal is
	// always not-run.
	Pick(ctx context.Context, req Request) (Grant, outcome.Result)
}

// SignalHandler is called with the signals that a target of a service sent in a response. It
// must not block.
type SignalHandler func(service blackboard.ServiceKey, t blackboard.Target, s targetapi.Signals)

// Grant is the right to send one attempt to one target.
type Grant interface {
	Target() blackboard.Target
	// Release ends the grant and reports how the attempt went.
	Release(r Report)
}

// Basis is the data that a choice was based on, for logs.
type Basis struct {
	// Cost is the estimated time to the response, in units of the usual work time of a call,
	// plus the price of sending bytes to another zone. Age is the age of the target's last load
	// report.
	Cost float64
	Age  time.Duration
	// LoadUnreported is set if the targets of the service do not report their load.
	LoadUnreported bool
	// Cold says why the target was, or may have been, considered cold; empty if it was not. In
	// that case the call was sent by ColdQuota.
	Cold      string
	ColdQuota ColdQuota
	// WarmAge is the age of the target's own report that it is warm, if the call was sent on the
	// strength of it; 0 if not.
	WarmAge time.Duration
	// SendBy is until when the choice holds; zero if it holds until the target leaves. A call that
	// isn't sent by then, because a connection is still being opened, is placed again.
	SendBy time.Time
	// Limit is the limit that the target set, in requests per second; 0 if none.
	Limit float64
	// Probed is the number of targets probed for the choice, Waited the time that the choice
	// took.
	Probed int
	Waited time.Duration
}

// ColdQuota is the quota by which a host sent a call to a target that was, or may have been, cold.
type ColdQuota struct {
	// Owners is the number of hosts that share the calls to the target, out of Hosts.
	Owners, Hosts int
	// ListVersion is the version of the list of hosts that named the owners, and ListAge how long
	// this host had it.
	ListVersion uint64
	ListAge     time.Duration
	// Left is the number of calls left of this host's quota.
	Left float64
}

// Explainer is implemented by grants that know what their choice was based on.
type Explainer interface {
	Basis() Basis
}

// Class is how an attempt ended, as far as choosing targets is concerned.
type Class uint8

const (
	// OK is a complete response that does not indicate a failure of the target.
	OK Class = iota + 1
	// Failed is a response that indicates a failure of the target (status 500 and above).
	Failed
	// Shed is a refusal by the target before it ran the call.
	Shed
	// Leaving is a refusal by a target that is draining.
	Leaving
	// NotSent means that no byte was sent: the target accepted no connection, or the call ended before.
	NotSent
	// BrokeOff means that the connection ended before the complete response arrived.
	BrokeOff
	// Canceled means that the caller, or a hedged attempt that won, ended the attempt.
	Canceled
	// TimedOut means that the deadline passed after the request was sent.
	TimedOut
	// Replaced is a refusal by another target that now has the address.
	Replaced
	// Foreign is a response that does not belong to the call, or lacks the contract's seal.
	// Since something responded, the call did not crash the target.
	Foreign
	// PathLost means that the connection fell silent, or that the host that carried it was lost,
	// after the call was sent. It says nothing about the target.
	PathLost
	// NoPath means that no byte was sent because no path to the target opened in time. It says
	// nothing about the target.
	NoPath
)

// Report is the result of an attempt.
type Report struct {
	Class Class
	// Latency is the time from the first byte sent to the last byte of the response.
	Latency time.Duration
	// Load is the number of calls in flight and queued that the target reported in its
	// response; it may be out of date. Negative means that none was reported.
	Load int
	// TargetLoad is the full load report; its Slots is 0 if the target does not send one.
	TargetLoad targetapi.Load
	// LeavingHint is set if the response said that the target is draining.
	LeavingHint bool
}
