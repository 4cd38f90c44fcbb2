package slots

//lint:file-ignore U1000 msgpack reads the _msgpack fields by reflection

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/grant"
	"github.com/cactusproxy/cactusproxy/ports"
)

// outbox holds the messages to other hosts that result from one event.
type outbox struct {
	key     blackboard.ServiceKey
	frames  []outgoingFrame
	replies []outgoingReply
	overdue []ports.HostID
}

type outgoingFrame struct {
	to    ports.HostID
	frame grant.Frame
}

type outgoingReply struct {
	to   ports.HostID
	tell grant.Reply
}

// overdueNotice tells a host that attempts at these targets are overdue.
type overdueNotice struct {
	_msgpack struct{} `msgpack:",as_array"`

	Service blackboard.ServiceKey
	Targets []ports.HostID
}

// emptyReply is the reply to a notification.
type emptyReply struct{}

func (s *Picker) send(o outbox) {
	for _, f := range o.frames {
		s.notify(f.to, kindFrame, f.frame)
	}
	for _, t := range o.replies {
		s.notify(t.to, kindTell, t.tell)
	}
	if len(o.overdue) == 0 {
		return
	}
	for _, m := range s.deps.Board.Members.Load().Members {
		if m.Host.ID != s.self {
			s.notify(m.Host.ID, kindOverdue, overdueNotice{Service: o.key, Targets: o.overdue})
		}
	}
}

func (s *Picker) notify(to ports.HostID, kind peer.Kind, msg any) {
	if !peer.Notify(s.deps.Link, to, kind, msg) {
		s.count.dropped.Add(1)
	}
}

// onFrame handles a frame that an entry host sends to this host as coordinator. Frames for a
// service that is not declared here are ignored; the sender then falls back to its own choice.
func (s *Picker) onFrame(_ context.Context, from peer.HostID, f grant.Frame) (emptyReply, error) {
	if svc := s.service(f.Service); svc != nil {
		svc.process(func(now time.Time) { svc.coordinator.Receive(now, from, f) })
	}
	return emptyReply{}, nil
}

func (s *Picker) onTell(_ context.Context, from peer.HostID, t grant.Reply) (emptyReply, error) {
	if svc := s.service(t.Service); svc != nil {
		svc.process(func(now time.Time) { svc.session.HandleReply(now, from, t) })
	}
	return emptyReply{}, nil
}

func (s *Picker) onOverdue(_ context.Context, _ peer.HostID, n overdueNotice) (emptyReply, error) {
	if svc := s.service(n.Service); svc != nil {
		svc.process(func(now time.Time) { svc.session.MarkOverdue(now, n.Targets) })
	}
	return emptyReply{}, nil
}

// recordChanges counts and logs what changed in one event. The caller holds the lock.
func (v *service) recordChanges(overdue []ports.HostID) {
	s := v.picker
	s.count.overdue.Add(int64(len(overdue)))
	for _, id := range v.coordinator.TakeEjected() {
		s.count.ejected.Add(1)
		s.deps.Log.Info("target ejected", zap.Stringer("service", v.key), zap.String("target", string(id)))
	}
	if fallback := !v.session.Coordinated(); fallback != v.fallback {
		v.fallback = fallback
		if fallback {
			s.count.fallbacks.Add(1)
		}
		s.deps.Log.Info("choosing targets", zap.Stringer("service", v.key), zap.Bool("coordinated", !fallback))
	}
}
