package session

import (
	"cmp"
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/policy/grant"
	"github.com/cactusproxy/cactusproxy/ports"
)

// openTick is how often Tick should run while only attempts are in flight.
const openTick = 25 * time.Millisecond

// Next returns the time until Tick should run, 0 for never.
func (s *Session) Next() time.Duration {
	switch {
	case len(s.waiting) > 0:
		return TickInterval
	case len(s.open) > 0 && s.silent:
		return TickInterval
	case len(s.open) > 0:
		return openTick
	default:
		return 0
	}
}

// Tick watches the passing of time: deadlines, a coordinator that fell silent,
// heartbeats, attempts that are overdue.
func (s *Session) Tick(now time.Time) {
	s.expire(now)
	s.watchCoordinator(now)
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

func (s *Session) busy() bool { return len(s.waiting) > 0 || len(s.open) > 0 }

func (s *Session) expire(now time.Time) {
	s.waiting = slices.DeleteFunc(s.waiting, func(a ask) bool {
		if a.deadline.IsZero() || now.Before(a.deadline) {
			return false
		}
		s.refuse(a.id, outcome.ReasonQueueTimeout)
		s.giveBack(a.id)
		return true
	})
}

// watchCoordinator stops waiting for a coordinator that says nothing. It may be
// dead, paused or cut off; the asks that wait are placed from here at once.
func (s *Session) watchCoordinator(now time.Time) {
	if !s.Coordinated() || len(s.waiting) == 0 {
		return
	}
	if now.Sub(s.heard) < patience {
		return
	}
	s.fallBack(now)
}

// fallBack chooses from here until the coordinator is heard again.
func (s *Session) fallBack(now time.Time) {
	if s.Coordinated() {
		s.retryAt = now.Add(s.retry)
	}
	s.silent = true
	s.serve(now)
}

// retryCoordinator knocks at a silent coordinator from time to time. Asks go on
// being placed here until it answers.
func (s *Session) retryCoordinator(now time.Time) {
	if s.coordinator == "" || now.Before(s.retryAt) {
		return
	}
	s.retry = min(2*s.retry, maxRetry)
	s.retryAt = now.Add(s.retry)
	s.fullFrame(now)
}

// findOverdue tells all hosts, once for each attempt, that it takes too long:
// its target is taken for a straggler.
func (s *Session) findOverdue(now time.Time) {
	limit := s.local.OverdueAfter()
	if limit == 0 {
		return
	}
	for _, id := range s.sortedOpen() {
		a := s.open[id]
		if a.noticed || now.Sub(a.since) < limit {
			continue
		}
		a.noticed = true
		s.open[id] = a
		s.local.Overdue(now, a.target)
		s.overdue = append(s.overdue, a.target)
	}
}

// MarkOverdue takes another host's notice that attempts on these targets are
// overdue.
func (s *Session) MarkOverdue(now time.Time, ids []ports.HostID) {
	for _, id := range ids {
		s.local.Overdue(now, id)
	}
}

// askLocally places an ask from here, or queues it if it can be served in time.
func (s *Session) askLocally(now time.Time, a *ask) {
	s.retryCoordinator(now)
	if s.serveOne(now, a) {
		return
	}
	needs := s.local.Latency().RequiredTime(s.expectedWait())
	if !a.deadline.IsZero() && now.Add(needs).After(a.deadline) {
		s.refuse(a.id, outcome.ReasonDeadline)
		return
	}
	s.waiting = append(s.waiting, *a)
}

// expectedWait is how long an ask that comes now waits for one of this host's
// attempts to end.
func (s *Session) expectedWait() time.Duration {
	n := time.Duration(max(len(s.open), 1))
	return s.local.Latency().Mean() * time.Duration(len(s.waiting)+1) / n
}

// fullFrame makes the next frame list all asks and attempts.
func (s *Session) fullFrame(now time.Time) {
	s.lastFull = now
	s.send = true
	s.frame.Full = true
	s.frame.Zone = s.zone
	s.frame.Requests = s.frame.Requests[:0]
	s.frame.InFlight = s.frame.InFlight[:0]
	for i := range s.waiting {
		s.frame.Requests = append(s.frame.Requests, s.waiting[i].message(now))
	}
	for _, id := range s.sortedOpen() {
		a := s.open[id]
		s.frame.InFlight = append(s.frame.InFlight, grant.OpenAttempt{
			ID: id, Target: a.target, Age: now.Sub(a.since), Exclusive: a.alone,
		})
	}
}

// Output is what a session wants done. It belongs to the receiver.
type Output struct {
	Decisions []Decision
	// To is the host that Frame goes to; empty if there is nothing to send.
	To    ports.HostID
	Frame grant.Frame
	// Overdue is to be told to all other hosts.
	Overdue []ports.HostID
}

// TakeOutput returns what is to be done and forgets it.
func (s *Session) TakeOutput() Output {
	out := Output{Decisions: s.decisions, Overdue: s.overdue}
	s.decisions = nil
	s.overdue = nil
	if !s.send || s.coordinator == "" {
		return out
	}
	s.seq++
	out.To = s.coordinator
	out.Frame = s.frame
	out.Frame.Service = s.key
	out.Frame.Epoch = s.epoch
	out.Frame.Seq = s.seq
	s.frame = grant.Frame{}
	s.send = false
	return out
}

// sortedOpen returns the attempts in flight, oldest first.
func (s *Session) sortedOpen() []grant.AttemptID {
	ids := make([]grant.AttemptID, 0, len(s.open))
	for id := range s.open {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b grant.AttemptID) int { return cmp.Compare(a, b) })
	return ids
}
