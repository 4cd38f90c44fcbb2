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

// outbox is what one event sends to other hosts.
type outbox struct {
	key     blackboard.ServiceKey
	frames  []frameTo
	tells   []tellTo
	overdue []ports.HostID
}

type frameTo struct {
	to    ports.HostID
	frame grant.Frame
}

type tellTo struct {
	to   ports.HostID
	tell grant.Reply
}

// overdueNotice tells a host that attempts on these targets are overdue.
type overdueNotice struct {
	_msgpack struct{} `msgpack:",as_array"`

	Service blackboard.ServiceKey
	Targets []ports.HostID
}

// none is the reply to a notification.
type none struct{}

func (s *Slots) send(o outbox) {
	for _, f := range o.frames {
		s.notify(f.to, kindFrame, f.frame)
	}
	for _, t := range o.tells {
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

func (s *Slots) notify(to ports.HostID, kind peer.Kind, msg any) {
	if !peer.Notify(s.deps.Link, to, kind, msg) {
		s.count.dropped.Add(1)
	}
}

// onFrame takes what an entry host tells this host as coordinator. A service
// that is not declared here gets no answer: the asking host then chooses alone.
func (s *Slots) onFrame(_ context.Context, from peer.HostID, f grant.Frame) (none, error) {
	if svc := s.service(f.Service); svc != nil {
		svc.do(func(now time.Time) { svc.coordinator.Receive(now, from, f) })
	}
	return none{}, nil
}

func (s *Slots) onTell(_ context.Context, from peer.HostID, t grant.Reply) (none, error) {
	if svc := s.service(t.Service); svc != nil {
		svc.do(func(now time.Time) { svc.session.HandleReply(now, from, t) })
	}
	return none{}, nil
}

func (s *Slots) onOverdue(_ context.Context, _ peer.HostID, n overdueNotice) (none, error) {
	if svc := s.service(n.Service); svc != nil {
		svc.do(func(now time.Time) { svc.session.MarkOverdue(now, n.Targets) })
	}
	return none{}, nil
}

// note counts and logs what changed in one event.
func (v *service) note(overdue []ports.HostID) {
	s := v.owner
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
