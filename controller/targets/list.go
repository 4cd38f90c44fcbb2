package targets

import (
	"slices"
	"strings"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/ports"
)

// fromList makes the view of a list, with what the view before it knew.
func fromList(old *blackboard.Targets, snap ports.HostSnapshot, now time.Time) *blackboard.Targets {
	next := &blackboard.Targets{
		ListVersion: snap.Version,
		ByService:   make(map[blackboard.ServiceKey][]blackboard.Target, len(old.ByService)),
	}
	first := len(old.ByService) == 0 && old.ListVersion == 0
	for _, h := range snap.Hosts {
		if h.Role != ports.RoleTarget {
			continue
		}
		t := blackboard.Target{ID: h.ID, Addr: h.Addr, Zone: h.Zone, FirstSeen: now}
		if first {
			// Targets that were there before this host count as warm. With the
			// present time, each start of an entry host would make it spare
			// all targets at once.
			t.FirstSeen = time.Time{}
		}
		if h.State == ports.HostLeaving {
			t.Leaving, t.LeavingSince = true, now
		}
		key := blackboard.ServiceKey{Workspace: h.Workspace, Service: h.Service}
		next.ByService[key] = append(next.ByService[key], t)
	}
	for key, list := range next.ByService {
		slices.SortFunc(list, byID)
		keepKnown(list, old.ByService[key])
		if slices.Equal(list, old.ByService[key]) {
			next.ByService[key] = old.ByService[key]
		}
	}
	return next
}

func byID(a, b blackboard.Target) int { return strings.Compare(string(a.ID), string(b.ID)) }

// keepKnown carries over what the old view knew of targets that are still
// there. Both are sorted. A mark of leaving stays whatever the list says: the
// list lags behind the target's own word, and may be an older copy.
func keepKnown(list, old []blackboard.Target) {
	i := 0
	for j := range list {
		for i < len(old) && old[i].ID < list[j].ID {
			i++
		}
		if i == len(old) {
			return
		}
		if old[i].ID != list[j].ID {
			continue
		}
		list[j].FirstSeen = old[i].FirstSeen
		if old[i].Leaving {
			list[j].Leaving, list[j].LeavingSince = true, old[i].LeavingSince
		}
	}
}

// eachLeaving calls f for the leaving targets of all services that differ from
// the view before.
func eachLeaving(now, before *blackboard.Targets, f func(Mark)) {
	for key, list := range now.ByService {
		if sameSlice(list, before.ByService[key]) {
			continue
		}
		for i := range list {
			if list[i].Leaving {
				f(markOf(key, list[i].ID))
			}
		}
	}
}

// sameSlice reports whether two slices are one and the same. Lists on the
// blackboard are never written to, so they are equal then.
func sameSlice(a, b []blackboard.Target) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}
