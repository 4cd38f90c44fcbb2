package directory

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/ports"
)

// Usable is a target that may get requests.
type Usable struct {
	Target
	// FirstSeen is when this host first heard of the target's incarnation, ListedAt when it
	// received the current entry.
	FirstSeen time.Time
	ListedAt  time.Time
}

// service is the list of usable targets of one service, sorted by ID.
type service struct {
	targets []*targetState
	// changed is set until the service is visited; see State.Changed.
	changed bool
}

func (v *service) find(id ports.HostID) (int, bool) {
	return slices.BinarySearchFunc(v.targets, id, func(k *targetState, id ports.HostID) int { return cmp.Compare(k.ID, id) })
}

// put adds a target or replaces its previous entry.
func (v *service) put(k *targetState) {
	k.changed, v.changed = true, true
	i, found := v.find(k.ID)
	if found {
		v.targets[i] = k
		return
	}
	v.targets = slices.Insert(v.targets, i, k)
}

// drop removes a target if it is on the list.
func (v *service) drop(k *targetState) {
	if v == nil {
		return
	}
	if i, found := v.find(k.ID); found && v.targets[i] == k {
		v.targets = slices.Delete(v.targets, i, i+1)
		v.changed = true
	}
}

// replace lists a target in place of its previous entry, which may belong to another service.
func (s *State) replace(old, k *targetState) {
	if old != nil && old.Service != k.Service {
		s.services[old.Service].drop(old)
	}
	v := s.services[k.Service]
	if v == nil {
		v = new(service)
		s.services[k.Service] = v
	}
	v.put(k)
	delete(s.removed, k.ID)
	delete(s.stale, k.ID)
	if k.stale != nil {
		s.stale[k.ID] = k
	}
}

// expire applies what is due by a time, and returns when the lists next change by themselves;
// zero if they do not.
func (s *State) expire(now time.Time) (next time.Time) {
	s.acceptStale(now)
	for _, k := range s.stale {
		next = earlier(next, k.stale.until)
	}
	for _, k := range s.removed {
		if now.Before(k.usableUntil) {
			next = earlier(next, k.usableUntil)
			continue
		}
		s.services[k.Service].drop(k)
	}
	return next
}

// earlier returns the earlier of two times; zero means none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// Usable returns the usable targets, sorted by ID, and when they next change by themselves; zero
// if they do not.
func (s *State) Usable(now time.Time) (list []Usable, next time.Time) {
	next = s.expire(now)
	for _, v := range s.services {
		for _, k := range v.targets {
			list = append(list, k.Usable)
		}
	}
	slices.SortFunc(list, func(a, b Usable) int { return cmp.Compare(a.ID, b.ID) })
	return list, next
}

// Changed returns the services whose usable targets have changed since VisitTargets last yielded
// them, and when that changes next by itself; zero if it does not.
func (s *State) Changed(now time.Time) (services []string, next time.Time) {
	next = s.expire(now)
	for name, v := range s.services {
		if v.changed {
			services = append(services, name)
		}
	}
	return services, next
}

// Services returns the names of all services that have, or had, targets.
func (s *State) Services() []string {
	names := make([]string, 0, len(s.services))
	for name := range s.services {
		names = append(names, name)
	}
	return names
}

// Count returns the number of usable targets of a service.
func (s *State) Count(name string) int {
	if v := s.services[name]; v != nil {
		return len(v.targets)
	}
	return 0
}

// VisitTargets yields the usable targets of a service, sorted by ID, each with whether it has
// changed since it was last yielded. It resets these marks.
func (s *State) VisitTargets(name string) iter.Seq2[*Usable, bool] {
	return func(yield func(*Usable, bool) bool) {
		v := s.services[name]
		if v == nil {
			return
		}
		v.changed = false
		for _, k := range v.targets {
			changed := k.changed
			k.changed = false
			if !yield(&k.Usable, changed) {
				return
			}
		}
	}
}
