package targets

import (
	"slices"
	"strings"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/ports"
)

// fromList builds the view of a list. It carries over what the old view knew of targets
// that are still listed.
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
			// Targets that existed before this host started count as warm. With
			// the current time, a newly started entry host would hold back
			// requests from all targets at once.
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
		carryOver(list, old.ByService[key])
		if slices.Equal(list, old.ByService[key]) {
			next.ByService[key] = old.ByService[key]
		}
	}
	return next
}

func byID(a, b blackboard.Target) int { return strings.Compare(string(a.ID), string(b.ID)) }

// carryOver copies the first-seen times and leaving marks of targets that are in both
// lists, which must be sorted by ID. A leaving mark is never withdrawn by the list: the
// list lags behind what the target itself reported, and may be an older copy.
func carryOver(list, old []blackboard.Target) {
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

// forEachLeaving calls f for all leaving targets of services whose targets differ between
// the two views. It also calls f for marks that both views have.
func forEachLeaving(now, before *blackboard.Targets, f func(LeavingMark)) {
	for key, list := range now.ByService {
		if sameSlice(list, before.ByService[key]) {
			continue
		}
		for i := range list {
			if list[i].Leaving {
				f(leavingMarkOf(key, list[i].ID))
			}
		}
	}
}

// sameSlice reports whether two slices share the same array. Lists on the blackboard are
// immutable, so such slices are equal.
func sameSlice(a, b []blackboard.Target) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}
