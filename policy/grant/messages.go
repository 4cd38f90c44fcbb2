// Package grant is the coordinator of one service as a pure state machine: it
// knows every call in flight on every target and hands out slots, the moment
// one is free, to the entry hosts that ask. It keeps no promise that safety
// hangs on: with two coordinators, or none, calls are only placed less well.
package grant

//lint:file-ignore U1000 msgpack reads the _msgpack fields by reflection

import (
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/ports"
)

// AttemptID names an attempt among those of one entry host and epoch.
type AttemptID uint64

// Request asks for a slot for one attempt.
type Request struct {
	_msgpack struct{} `msgpack:",as_array"`

	ID AttemptID
	// Remaining is the time to the deadline; 0 means none.
	Remaining time.Duration
	Avoid     []ports.HostID
	Hedge     bool
	Exclusive     bool
}

// Unused is the class of a grant that was never used: it says nothing of the
// target.
const Unused pick.Class = 0

// Completion gives a slot back, or withdraws an ask, and tells how the attempt went.
type Completion struct {
	_msgpack struct{} `msgpack:",as_array"`

	ID      AttemptID
	Class   pick.Class
	Latency time.Duration
	// Load is what the target reported; negative means nothing.
	Load    int
	Leaving bool
}

// OpenAttempt is an attempt in flight, for a coordinator that may not know of it.
type OpenAttempt struct {
	_msgpack struct{} `msgpack:",as_array"`

	ID     AttemptID
	Target ports.HostID
	Age    time.Duration
	Exclusive  bool
}

// Frame is what an entry host tells the coordinator of one service.
type Frame struct {
	_msgpack struct{} `msgpack:",as_array"`

	Service blackboard.ServiceKey
	// Epoch differs between two runs of a daemon; Seq counts its frames.
	Epoch uint64
	Seq   uint64
	// Full frames list every ask that waits and every attempt in flight; what
	// they do not list is gone. They repair the loss of any other frame.
	Full bool
	Requests []Request
	Completions []Completion
	InFlight []OpenAttempt
	// Zone is the host's availability zone; only full frames carry it.
	Zone string
}

// Grant hands a slot to an ask.
type Grant struct {
	_msgpack struct{} `msgpack:",as_array"`

	ID     AttemptID
	Target ports.HostID
}

// Refusal ends an ask without a slot.
type Refusal struct {
	_msgpack struct{} `msgpack:",as_array"`

	ID     AttemptID
	Reason outcome.Reason
}

// Reply is what the coordinator of one service tells an entry host. An empty one
// says that the coordinator is there and the asks are queued.
type Reply struct {
	_msgpack struct{} `msgpack:",as_array"`

	Service blackboard.ServiceKey
	// Epoch is the epoch of the frames it answers; an entry host ignores what
	// was meant for an earlier run.
	Epoch    uint64
	Grants   []Grant
	Refusals []Refusal
	// Resync asks for a full frame: the coordinator does not know this host.
	Resync bool
	// Decline says that this host knows no target: the list it has may lag, so
	// the entry host should choose by itself.
	Decline bool
}
