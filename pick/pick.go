// Package pick is the contract between the code that sends the attempts of a
// call (dispatch) and the code that chooses targets (slots, or a baseline).
// Choosing knows nothing of connections; sending knows nothing of load.
package pick

import (
	"context"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/targetapi"
)

// Request asks for a target for one attempt.
type Request struct {
	Service blackboard.ServiceKey
	// Avoid lists targets that earlier attempts of the call went to. They are
	// taken only if there is no other.
	Avoid []ports.HostID
	// Hedge marks a second attempt while the first is in flight. It is granted
	// only if a slot is free at once.
	Hedge bool
	// Alone asks for a target that runs nothing else for this call: the call is
	// suspected of crashing targets.
	Alone bool
	// Digest identifies the request for suspicion; 0 if not computed.
	Digest uint64
	// Arrived is when the caller first asked, Objective the time after it within which
	// an answer is worth most; 0 if nothing was declared.
	Arrived   time.Time
	Objective time.Duration
	// Priority is the rank of the call; 0 is the most urgent.
	Priority int
	// Bytes is how many bytes the request's body and its answer are likely to have.
	Bytes float64
	// Regions are the only ones whose targets may get the call; all if empty.
	Regions []string
}

// Picker chooses targets. Implementations are safe for concurrent use.
type Picker interface {
	// Pick waits for a target until ctx ends. It returns a grant, which the
	// caller must release exactly once, or else a nil grant and the refusal to
	// tell the caller. A refusal is always not-run.
	Pick(ctx context.Context, req Request) (Grant, outcome.Result)
}

// SignalHandler takes in what a target of a service says of itself. It must not block.
type SignalHandler func(service blackboard.ServiceKey, t blackboard.Target, s targetapi.Signals)

// Grant is the right to send one attempt to one target.
type Grant interface {
	Target() blackboard.Target
	// Release ends the grant and tells the picker how the attempt went.
	Release(r Report)
}

// Basis is what a choice rested on.
type Basis struct {
	// Cost is the time until the answer that was reckoned with, in usual work
	// times, and Age how old the target's own word was.
	Cost float64
	Age  time.Duration
	// LoadUnreported is set if the targets of the service tell nothing of their load.
	LoadUnreported bool
	// Cold is set if the target was taken for cold, or may have been, and says what that
	// rested on.
	Cold string
	// Limit is how many requests a second the target takes by its own word; 0 if it names no
	// limit.
	Limit float64
	// Probed is how many targets were probed for the choice, Waited how long the
	// choice took.
	Probed int
	Waited time.Duration
}

// Explainer is a grant that tells what it rested on.
type Explainer interface {
	Basis() Basis
}

// Class says how an attempt ended, as far as choosing targets is concerned.
type Class uint8

const (
	// OK is a whole answer that is not the target's failure.
	OK Class = iota + 1
	// Failed is an answer of the target's failure (status 500 and above).
	Failed
	// Shed is a refusal by the target before it ran the call.
	Shed
	// Leaving is a refusal by a target that is draining.
	Leaving
	// NotSent means that no byte left: no connection, or the call gave up.
	NotSent
	// BrokeOff means that the connection ended before the whole answer came.
	BrokeOff
	// Canceled means that the caller, or a hedge that won, ended the attempt.
	Canceled
	// TimedOut means that the deadline passed after the request was sent.
	TimedOut
	// Replaced is a refusal by another target that has the address by now.
	Replaced
	// Foreign is an answer that is not the target's to the call, or that no target
	// vouches for. Something answers there, so that the call crashed nothing.
	Foreign
)

// Report tells how an attempt went.
type Report struct {
	Class Class
	// Latency is from the first byte sent to the last byte of the answer.
	Latency time.Duration
	// Load is the target's own report of its calls in flight and queued, from
	// its answer; it is stale by the time it is read. Negative means none.
	Load int
	// TargetLoad is the report in full, if the target tells that much; Slots is 0 if
	// not.
	TargetLoad targetapi.Load
	// LeavingHint is set if the answer said that the target is draining.
	LeavingHint bool
}
