// Package grant implements the coordinator of one service as a pure state machine, and the
// messages it exchanges with the entry hosts. The coordinator knows every attempt in flight on
// every target and grants slots to the entry hosts that request them as soon as one is free.
//
// An entry host sends a Frame with its requests and completed attempts; the coordinator answers
// with a Reply that carries grants and refusals. Full frames list the whole state of a host, so
// that lost messages are repaired. Safety does not depend on the coordinator: with two of them,
// or none, calls are only placed less well.
package grant

//lint:file-ignore U1000 msgpack reads the _msgpack fields by reflection

import (
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/ports"
)

// AttemptID identifies an attempt within one entry host and epoch.
type AttemptID uint64

// Request requests a slot for one attempt.
type Request struct {
	_msgpack struct{} `msgpack:",as_array"`

	ID AttemptID
	// Remaining is the time to the deadline; 0 means no deadline.
	Remaining time.Duration
	Avoid     []ports.HostID
	Hedge     bool
	Exclusive bool
}

// Unused is the class of a grant that was never used; it says nothing about the target.
const Unused pick.Class = 0

// Completion releases a slot, or withdraws a request, and reports the result of the attempt.
type Completion struct {
	_msgpack struct{} `msgpack:",as_array"`

	ID      AttemptID
	Class   pick.Class
	Latency time.Duration
	// Load is the load that the target reported; negative if it reported none.
	Load    int
	Leaving bool
}

// OpenAttempt is an attempt in flight, for a coordinator that may not know of it.
type OpenAttempt struct {
	_msgpack struct{} `msgpack:",as_array"`

	ID        AttemptID
	Target    ports.HostID
	Age       time.Duration
	Exclusive bool
}

// Frame is a message from an entry host to the coordinator of one service.
type Frame struct {
	_msgpack struct{} `msgpack:",as_array"`

	Service blackboard.ServiceKey
	// Epoch identifies a run of the daemon and grows with each; Seq counts the frames of the run.
	Epoch uint64
	Seq   uint64
	// Full is set if the frame lists every waiting request and every attempt in flight; what it
	// does not list has ended. Full frames repair the loss of any other frame.
	Full        bool
	Requests    []Request
	Completions []Completion
	InFlight    []OpenAttempt
	// Zone is the host's availability zone; only full frames carry it.
	Zone string
}

// Grant gives a slot to a request.
type Grant struct {
	_msgpack struct{} `msgpack:",as_array"`

	ID     AttemptID
	Target ports.HostID
}

// Refusal ends a request without a slot.
type Refusal struct {
	_msgpack struct{} `msgpack:",as_array"`

	ID     AttemptID
	Reason outcome.Reason
}

// Reply is a message from the coordinator of one service to an entry host. An empty one is a
// keepalive: the coordinator is up and the requests are queued.
type Reply struct {
	_msgpack struct{} `msgpack:",as_array"`

	Service blackboard.ServiceKey
	// Epoch is the epoch of the frames it answers; an entry host ignores replies to an earlier
	// run.
	Epoch    uint64
	Grants   []Grant
	Refusals []Refusal
	// Resync asks for a full frame, because the coordinator does not know this host's attempts.
	Resync bool
	// Decline says that the coordinator knows no target. Its list may be stale, so the entry host
	// should choose targets itself.
	Decline bool
}
