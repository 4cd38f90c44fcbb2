package coldstart

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// countingWindow is the time within which the calls to a cold target are limited.
	countingWindow = time.Second
	// HandoverDelay is how long a host that left the list keeps its shares. It may not know yet that
	// it left, and its last calls count for countingWindow.
	HandoverDelay = 2 * countingWindow
)

// Hosts tracks the list of hosts by which one host chooses the owners of cold targets. It is not
// safe for concurrent use.
//
// Hosts that learn of a change at different times, or have just started, would own the same share
// one after the other or at the same time, and each would spend it. Therefore a host
//
//   - owns nothing until it knows all hosts: among the few that it knows when it starts it would own
//     nearly every target;
//   - owns nothing in its first second: an earlier run of it may have spent the same;
//   - takes a share over only once the owner before it has been off the list for HandoverDelay.
type Hosts struct {
	newest *blackboard.Members
	// left holds when the hosts that left the list less than HandoverDelay ago did so.
	left map[ports.HostID]leftHost
	view *View
}

type leftHost struct {
	blackboard.Member
	at time.Time
}

// View is a list of hosts by which owners are chosen. It is immutable.
type View struct {
	// Version changes with the owners of targets, and Since is when this host had it.
	Version uint64
	Since   time.Time
	self    ports.HostID
	// ownsFrom is when this host may own shares.
	ownsFrom time.Time
	complete bool
	// members are the hosts that are listed, or left less than HandoverDelay ago, sorted by ID.
	members []blackboard.Member
}

// NewHosts returns the list of hosts of a host that starts now. It is empty.
func NewHosts(now time.Time) *Hosts {
	return &Hosts{
		left: make(map[ports.HostID]leftHost),
		view: &View{Since: now, ownsFrom: now.Add(countingWindow)},
	}
}

// View returns the view at a time, given the list of hosts on the board. It is cheap if nothing has
// changed.
func (h *Hosts) View(now time.Time, m *blackboard.Members) *View {
	if m == h.newest && !h.anyExpired(now) {
		return h.view
	}
	h.noteLeft(now, m)
	h.newest = m
	next := *h.view
	next.self, next.complete = m.Self, m.Complete
	next.members = h.merged(m)
	if !slices.EqualFunc(h.view.members, next.members, sameHost) {
		next.Version++
		next.Since = now
	}
	h.view = &next
	return h.view
}

func (h *Hosts) anyExpired(now time.Time) bool {
	for _, l := range h.left {
		if now.Sub(l.at) >= HandoverDelay {
			return true
		}
	}
	return false
}

// noteLeft notes the hosts that are in the list before but not in m, and drops those that left long
// ago.
func (h *Hosts) noteLeft(now time.Time, m *blackboard.Members) {
	for _, member := range h.view.members {
		if _, known := h.left[member.Host.ID]; !known {
			h.left[member.Host.ID] = leftHost{member, now}
		}
	}
	for _, member := range m.Members {
		if member.State == blackboard.MemberLive {
			delete(h.left, member.Host.ID)
		}
	}
	maps.DeleteFunc(h.left, func(_ ports.HostID, l leftHost) bool { return now.Sub(l.at) >= HandoverDelay })
}

// merged returns the live hosts of a list and those that left it, sorted by ID.
func (h *Hosts) merged(m *blackboard.Members) []blackboard.Member {
	var list []blackboard.Member
	for _, member := range m.Members {
		if member.State == blackboard.MemberLive {
			list = append(list, member)
		}
	}
	for _, l := range h.left {
		list = append(list, l.Member)
	}
	slices.SortFunc(list, func(a, b blackboard.Member) int { return cmp.Compare(a.Host.ID, b.Host.ID) })
	return list
}

// sameHost reports whether two members are the same host, as far as owners depend on it.
func sameHost(a, b blackboard.Member) bool {
	return a.Host.ID == b.Host.ID && a.Host.Zone == b.Host.Zone
}

// MayOwn reports whether this host may own shares at all.
func (v *View) MayOwn(now time.Time) bool { return v.complete && !now.Before(v.ownsFrom) }

// OwnershipOf returns this host's ownership of the calls to a target that bears perSecond calls
// while it is cold. It counts while MayOwn is true.
func (v *View) OwnershipOf(target ports.HostID, zone string, perSecond float64) Ownership {
	return OwnershipOf(v.self, target, zone, perSecond, v.members)
}
