package slots

import (
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/ports"
)

// StaleTarget is a target whose state is out of date because no calls show it.
type StaleTarget struct {
	Service blackboard.ServiceKey
	Target  blackboard.Target
}

// Stale returns the targets to probe: those of services coordinated by this host that had no
// calls for a while or are ejected.
func (s *Picker) Stale(now time.Time) []StaleTarget {
	var out []StaleTarget
	members := s.deps.Board.Members.Load()
	for key, list := range s.deps.Board.Targets.Load().ByService {
		id, ok := s.deps.Coordinator(key, members)
		if !ok || id != s.self {
			continue
		}
		if svc := s.service(key); svc != nil {
			out = append(out, svc.stale(now, list)...)
		}
	}
	return out
}

func (v *service) stale(now time.Time, list []blackboard.Target) []StaleTarget {
	var ids []ports.HostID
	v.process(func(time.Time) { ids = v.coordinator.Stale(now) })
	wanted := make(map[ports.HostID]bool, len(ids))
	for _, id := range ids {
		wanted[id] = true
	}
	var out []StaleTarget
	for _, t := range list {
		if wanted[t.ID] {
			out = append(out, StaleTarget{Service: v.key, Target: t})
		}
	}
	return out
}

// RecordProbe records the result of a probe; a negative load means that none was reported. A
// failed probe alone never ejects a target.
func (s *Picker) RecordProbe(key blackboard.ServiceKey, id ports.HostID, ok bool, load int) {
	if svc := s.service(key); svc != nil {
		svc.process(func(now time.Time) { svc.coordinator.RecordProbe(now, id, ok, load) })
	}
}
