// Package directpath decides when a host opens connections to a target itself and when through
// another host.
//
// It answers the load of a host that has lost its own path to a target which other hosts reach:
// its callers' requests go through them at once, and only background checks, never requests, find
// out whether the path is back.
package directpath

import "time"

const (
	// HeadStart is how long a direct connection may take before one through another host is
	// opened as well. Within a region a connection takes 1 to 3 ms.
	HeadStart = 80 * time.Millisecond
	// NextStart is how long a connection through one host may take before the next host is tried.
	NextStart = 50 * time.Millisecond
	// CarriedDials is how many dial timeouts a connection through another host may take. That host
	// uses one to find out whether it reaches the target. The rest is for the stream between hosts
	// that are short of processor time, where 250 ms were too short.
	CarriedDials = 3
	// failureMemory is how long a failed direct connection is reason enough to tell another host
	// at once that this one does not reach the target.
	failureMemory = time.Second
	// firstCheck and maxCheck bound the interval of checks of a lost path.
	firstCheck = 500 * time.Millisecond
	maxCheck   = 4 * time.Second
	// steadyAfter is how long a path must have been well for its checks to start again at
	// firstCheck once it is lost. A path that comes and goes is checked less and less often.
	steadyAfter = 10 * time.Second
	// maxUnanswered is how many requests in a row may stay unanswered until the path is suspected,
	// although other targets answer. A target that is slow answers some.
	maxUnanswered = 3
)

// Wait returns how long a request waits for a connection. A host that is cut off from its targets waits
// for as long as connections through other hosts may take: a request that gives up sooner needs the same
// hosts for its next target.
func Wait(dialTimeout time.Duration, cutOff bool) time.Duration {
	if cutOff {
		return CarriedDials * dialTimeout
	}
	return dialTimeout
}

// State is what a host knows of its own path to one target. The zero value is a path that is
// well. It is not safe for concurrent use.
type State struct {
	lost bool
	// changed is when the path was last lost or regained, failed and opened when a connection last
	// failed and was opened.
	changed, failed, opened time.Time
	// failures is the number of connections that failed since one was opened.
	failures int
	// unanswered is the number of requests without an answer in time since the target last answered.
	unanswered int
	// interval is the current interval of checks, next when the next one is due.
	interval time.Duration
	next     time.Time
}

// Lost reports whether the path is lost while other hosts reach the target.
func (s *State) Lost() bool { return s.lost }

// Unusable reports whether a new connection would fail, as far as known.
func (s *State) Unusable(now time.Time) bool {
	return s.lost || !s.failed.IsZero() && now.Sub(s.failed) < failureMemory
}

// Failed records that a direct connection could not be opened. It does not tell whether the path
// or the target is the reason.
func (s *State) Failed(now time.Time) {
	s.failed = now
	s.failures++
}

// Answered records that the target answered on a connection of this host's own.
func (s *State) Answered() { s.unanswered = 0 }

// Unanswered records that a request got no answer in time, and reports whether that alone makes the
// path suspect.
func (s *State) Unanswered() bool {
	s.unanswered++
	return s.unanswered >= maxUnanswered
}

// FailedAgain reports whether more than one connection failed since one was opened.
func (s *State) FailedAgain() bool { return s.failures > 1 }

// Bypassed records that another host reached the target after a connection that this one began at
// begun had failed, and reports whether that is news: the path is lost, and the target is not. A
// connection that was opened since shows that the failure was one of that connection alone.
func (s *State) Bypassed(now, begun time.Time) bool {
	if s.lost || s.opened.After(begun) {
		return false
	}
	if s.interval == 0 || now.Sub(s.changed) > steadyAfter {
		s.interval = firstCheck
	}
	s.lost, s.changed = true, now
	s.next = now.Add(s.interval)
	return true
}

// Opened records that a direct connection was opened, and reports how long the path had been
// lost, or false if it had not.
func (s *State) Opened(now time.Time) (lostFor time.Duration, regained bool) {
	s.failed, s.opened, s.failures, s.unanswered = time.Time{}, now, 0, 0
	if !s.lost {
		return 0, false
	}
	lostFor = now.Sub(s.changed)
	s.lost, s.changed = false, now
	return lostFor, true
}

// TakeCheck reports whether a check of a lost path is due, and schedules the next one.
func (s *State) TakeCheck(now time.Time) bool {
	if !s.lost || now.Before(s.next) {
		return false
	}
	s.interval = min(2*s.interval, maxCheck)
	s.next = now.Add(s.interval)
	return true
}
