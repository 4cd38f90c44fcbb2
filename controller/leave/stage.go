package leave

import "context"

// Stage is a phase of the shutdown. The hooks of a stage run one after another, in the
// order in which they were given, before the next stage begins.
type Stage uint8

const (
	// Announce notifies others that this host is leaving. The host already reports
	// itself as not ready, and the membership controller knows from the board.
	Announce Stage = iota + 1
	// Handover transfers roles, such as that of coordinator of a service.
	Handover
	// Close stops listening, after the drain period. Its hooks may wait for calls in
	// flight and have no timeout but the operator's limit.
	Close
	// Release returns what the host holds at the platform or at peers, after the last
	// call in flight. It also runs after calls were cut off.
	Release
)

// String returns the name of the stage as used in logs.
func (s Stage) String() string {
	switch s {
	case Announce:
		return "announce"
	case Handover:
		return "handover"
	case Close:
		return "close"
	case Release:
		return "release"
	default:
		return "invalid"
	}
}

// Hook is a function that another package runs in a stage. An error is logged and
// counted, and the shutdown continues.
type Hook struct {
	Stage Stage
	Name  string
	Func  func(ctx context.Context) error
}

// Report is the result of a shutdown.
type Report struct {
	// Cut is set if calls in flight were cut off, at the operator's limit or because
	// the context ended.
	Cut bool
	// CallsCut is the number of calls in flight that were cut off.
	CallsCut int
	// FailedHooks has the names of the hooks that failed or timed out.
	FailedHooks []string
}
