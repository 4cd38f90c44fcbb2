package directory

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/ports"
)

// Usable is a target that may be used.
type Usable struct {
	Target
	// FirstSeen is when this host first heard of the target's run, ListedAt of the entry at
	// hand.
	FirstSeen time.Time
	ListedAt  time.Time
}

// service is the targets of one service that are in use, sorted by ID.
type service struct {
	targets []*known
	// changed is set until the service is shown; see State.Changed.
	changed bool
}

func (v *service) find(id ports.HostID) (int, bool) {
	return slices.BinarySearchFunc(v.targets, id, func(k *known, id ports.HostID) int { return cmp.Compare(k.ID, id) })
}

// put lists a target, in the place of its former entry if there is one.
func (v *service) put(k *known) {
	k.changed, v.changed = true, true
	i, found := v.find(k.ID)
	if found {
		v.targets[i] = k
		return
	}
	v.targets = slices.Insert(v.targets, i, k)
}

// drop takes a target off the list, if it is there.
func (v *service) drop(k *known) {
	if v == nil {
		return
	}
	if i, found := v.find(k.ID); found && v.targets[i] == k {
		v.targets = slices.Delete(v.targets, i, i+1)
		v.changed = true
	}
}

// replace lists a target in place of its former entry, which may have been of another service.
func (s *State) replace(old, k *known) {
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
	delete(s.late, k.ID)
	if k.lateWord != nil {
		s.late[k.ID] = k
	}
}

// settle brings the lists up to a moment, and returns when they change next by themselves; the
// zero time if they do not.
func (s *State) settle(now time.Time) (next time.Time) {
	s.acceptLate(now)
	for _, k := range s.late {
		next = earlier(next, k.lateWord.until)
	}
	for _, k := range s.removed {
		if now.Before(k.goneAt) {
			next = earlier(next, k.goneAt)
			continue
		}
		s.services[k.Service].drop(k)
	}
	return next
}

// earlier returns the earlier of two moments; the zero time is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// Usable returns the targets in use at a moment, sorted by ID, and when that
// changes next by itself; the zero time if it does not.
func (s *State) Usable(now time.Time) (list []Usable, next time.Time) {
	next = s.settle(now)
	for _, v := range s.services {
		for _, k := range v.targets {
			list = append(list, k.Usable)
		}
	}
	slices.SortFunc(list, func(a, b Usable) int { return cmp.Compare(a.ID, b.ID) })
	return list, next
}

// Changed returns the services whose targets in use are not those that Shown told of, and when
// that changes next by itself; the zero time if it does not.
func (s *State) Changed(now time.Time) (services []string, next time.Time) {
	next = s.settle(now)
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

// Count returns how many targets of a service are in use.
func (s *State) Count(name string) int {
	if v := s.services[name]; v != nil {
		return len(v.targets)
	}
	return 0
}

// Show yields the targets in use of a service, sorted by ID, each with whether it has changed
// since it was last shown.
func (s *State) Show(name string) iter.Seq2[*Usable, bool] {
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
