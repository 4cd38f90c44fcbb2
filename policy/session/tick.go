package session

import (
	"cmp"
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/policy/grant"
	"github.com/cactusproxy/cactusproxy/ports"
)

// attemptTickInterval is how often Tick should run while only attempts are in flight.
const attemptTickInterval = 25 * time.Millisecond

// Next returns the time until Tick should run, 0 if it need not.
func (s *Session) Next() time.Duration {
	switch {
	case len(s.waiting) > 0:
		return TickInterval
	case len(s.inFlight) > 0 && s.unresponsive:
		return TickInterval
	case len(s.inFlight) > 0:
		return attemptTickInterval
	default:
		return 0
	}
}

// Tick applies timeouts: deadlines, an unresponsive coordinator, heartbeats, and overdue
// attempts.
func (s *Session) Tick(now time.Time) {
	s.expire(now)
	s.checkCoordinator(now)
	if s.Coordinated() {
		if s.busy() && now.Sub(s.lastFull) >= grant.HeartbeatInterval {
			s.fullFrame(now)
		}
		return
	}
	s.retryCoordinator(now)
	s.findOverdue(now)
	s.serve(now)
}

func (s *Session) busy() bool { return len(s.waiting) > 0 || len(s.inFlight) > 0 }

func (s *Session) expire(now time.Time) {
	s.waiting = slices.DeleteFunc(s.waiting, func(a pending) bool {
		if a.deadline.IsZero() || now.Before(a.deadline) {
			return false
		}
		s.refuse(a.id, outcome.ReasonQueueTimeout)
		s.returnSlot(a.id)
		return true
	})
}

// checkCoordinator stops waiting for a coordinator that sends nothing. It may have crashed, be
// paused, or be cut off; the waiting requests are placed locally at once.
func (s *Session) checkCoordinator(now time.Time) {
	if !s.Coordinated() || len(s.waiting) == 0 {
		return
	}
	if now.Sub(s.lastHeard) < replyTimeout {
		return
	}
	s.fallBack(now)
}

// fallBack chooses targets locally until the coordinator responds again.
func (s *Session) fallBack(now time.Time) {
	if s.Coordinated() {
		s.retryAt = now.Add(s.retryDelay)
	}
	s.unresponsive = true
	s.serve(now)
}

// retryCoordinator sends a full frame to an unresponsive coordinator, with exponential backoff.
// Requests are placed locally until it responds.
func (s *Session) retryCoordinator(now time.Time) {
	if s.coordinator == "" || now.Before(s.retryAt) {
		return
	}
	s.retryDelay = min(2*s.retryDelay, maxRetryDelay)
	s.retryAt = now.Add(s.retryDelay)
	s.fullFrame(now)
}

// findOverdue notifies all hosts, once per attempt, that it is overdue, so that they treat its
// target as a straggler.
func (s *Session) findOverdue(now time.Time) {
	limit := s.picker.OverdueAfter()
	if limit == 0 {
		return
	}
	for _, id := range s.sortedInFlight() {
		a := s.inFlight[id]
		if a.notified || now.Sub(a.since) < limit {
			continue
		}
		a.notified = true
		s.inFlight[id] = a
		s.picker.MarkOverdue(now, a.target)
		s.overdueTargets = append(s.overdueTargets, a.target)
	}
}

// MarkOverdue handles another host's notice that attempts on these targets are overdue.
func (s *Session) MarkOverdue(now time.Time, ids []ports.HostID) {
	for _, id := range ids {
		s.picker.MarkOverdue(now, id)
	}
}

// requestLocally places a request locally, or queues it if it can be served in time.
func (s *Session) requestLocally(now time.Time, a *pending) {
	s.retryCoordinator(now)
	if s.serveOne(now, a) {
		return
	}
	needs := s.picker.Latency().RequiredTime(s.expectedWait())
	if !a.deadline.IsZero() && now.Add(needs).After(a.deadline) {
		s.refuse(a.id, outcome.ReasonDeadline)
		return
	}
	s.waiting = append(s.waiting, *a)
}

// expectedWait returns how long a request that arrives now is expected to wait for one of this
// host's attempts to end.
func (s *Session) expectedWait() time.Duration {
	n := time.Duration(max(len(s.inFlight), 1))
	return s.picker.Latency().Mean() * time.Duration(len(s.waiting)+1) / n
}

// fullFrame makes the next frame list all requests and attempts.
func (s *Session) fullFrame(now time.Time) {
	s.lastFull = now
	s.sendDue = true
	s.frame.Full = true
	s.frame.Zone = s.zone
	s.frame.Requests = s.frame.Requests[:0]
	s.frame.InFlight = s.frame.InFlight[:0]
	for i := range s.waiting {
		s.frame.Requests = append(s.frame.Requests, s.waiting[i].message(now))
	}
	for _, id := range s.sortedInFlight() {
		a := s.inFlight[id]
		s.frame.InFlight = append(s.frame.InFlight, grant.OpenAttempt{
			ID: id, Target: a.target, Age: now.Sub(a.since), Exclusive: a.exclusive,
		})
	}
}

// Output holds the decisions and messages that a session produced. It is owned by the receiver.
type Output struct {
	Decisions []Decision
	// To is the host that Frame is sent to; empty if there is nothing to send.
	To    ports.HostID
	Frame grant.Frame
	// Overdue lists the targets of overdue attempts, of which all other hosts are to be notified.
	Overdue []ports.HostID
}

// TakeOutput returns the output since the last call and clears it.
func (s *Session) TakeOutput() Output {
	out := Output{Decisions: s.decisions, Overdue: s.overdueTargets}
	s.decisions = nil
	s.overdueTargets = nil
	if !s.sendDue || s.coordinator == "" {
		return out
	}
	s.seq++
	out.To = s.coordinator
	out.Frame = s.frame
	out.Frame.Service = s.key
	out.Frame.Epoch = s.epoch
	out.Frame.Seq = s.seq
	s.frame = grant.Frame{}
	s.sendDue = false
	return out
}

// sortedInFlight returns the attempts in flight, oldest first.
func (s *Session) sortedInFlight() []grant.AttemptID {
	ids := make([]grant.AttemptID, 0, len(s.inFlight))
	for id := range s.inFlight {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b grant.AttemptID) int { return cmp.Compare(a, b) })
	return ids
}
