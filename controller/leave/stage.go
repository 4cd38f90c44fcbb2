package leave

import "context"

// Stage is a step of the stop. Hooks of a stage run one after another, in the
// order they were given, before the next stage begins.
type Stage uint8

const (
	// Announce tells others that this host is leaving. Readiness is off by
	// then, and the membership controller has been told through the board.
	Announce Stage = iota + 1
	// Handover gives away roles such as coordinator of a service.
	Handover
	// Close stops listening, after the drain period. Its hooks may wait for
	// calls in flight; only the operator's limit ends them.
	Close
	// Release gives back what the host holds at the platform or at peers,
	// after the last call in flight. It runs after a cut too.
	Release
)

// String returns the name of the stage in logs.
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

// Hook is what another package does in a stage. An error is logged and counted;
// the stop goes on.
type Hook struct {
	Stage Stage
	Name  string
	Func  func(ctx context.Context) error
}

// Report tells how a stop went.
type Report struct {
	// Cut is set if the operator's limit, or the end of the context, came
	// before the last call in flight.
	Cut bool
	// Left is the number of calls in flight that were cut off.
	Left int
	// FailedHooks names the hooks that returned an error or took too long.
	FailedHooks []string
}
