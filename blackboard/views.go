package blackboard

import (
	"maps"
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/ports"
)

// MemberState is what this host thinks of another entry host.
type MemberState uint8

const (
	// MemberLive hosts answer heartbeats, or are listed and not yet suspected.
	MemberLive MemberState = iota + 1
	// MemberSuspected hosts missed heartbeats; they keep no role.
	MemberSuspected
	// MemberLeaving hosts said, or are listed as, leaving; they keep no role.
	MemberLeaving
)

// Member is one entry host as this host sees it.
type Member struct {
	Host ports.Host
	// Incarnation differs between two runs of a daemon on the same host; the
	// later run has the greater number.
	Incarnation uint64
	State       MemberState
	// Ready is false while the host answers no callers.
	Ready bool
	// ConfigSequence is the configuration the host last said it has in force.
	ConfigSequence uint64
}

// Members is the view of all entry hosts, this one included, sorted by ID.
type Members struct {
	Self    ports.HostID
	Members []Member
	// Complete is set once this host's list was the platform's, or that of another host that
	// hears all: before, it may lack most of them.
	Complete bool
}

// Eligible returns the hosts that may hold a role such as coordinator.
func (m *Members) Eligible() []Member {
	out := make([]Member, 0, len(m.Members))
	for _, mem := range m.Members {
		if mem.State == MemberLive {
			out = append(out, mem)
		}
	}
	return out
}

// Find returns the member with this ID.
func (m *Members) Find(id ports.HostID) (Member, bool) {
	for _, mem := range m.Members {
		if mem.Host.ID == id {
			return mem, true
		}
	}
	return Member{}, false
}

// ServiceKey names a service of a workspace.
type ServiceKey struct {
	Workspace string
	Service   string
}

// String returns workspace/service.
func (k ServiceKey) String() string { return k.Workspace + "/" + k.Service }

// Target is one target as the platform lists it, with what this host knows of
// its leaving. Load and health that change within milliseconds are not here:
// they belong to whoever picks.
type Target struct {
	ID ports.HostID
	// Incarnation is the target's run that the rest speaks of.
	Incarnation ports.Incarnation
	Addr        string
	Zone        string
	// Leaving targets get no new call. It is set by the list, by the target's
	// own answers, or by another host's word, whichever comes first.
	Leaving bool
	// LeavingSince is when this host first saw a sign of leaving.
	LeavingSince time.Time
	// FirstSeen is when this host first saw the target; a cold start ramps up
	// from here.
	FirstSeen time.Time
	// Slots is the number of calls the target runs at once, if it tells; else 0
	// and its service's declaration says so.
	Slots int
	// WarmUntil is when the target stops being cold by its entry; the zero time if that
	// tells nothing of it.
	WarmUntil time.Time
	// Evacuated targets get no new call: their availability zone is to be empty.
	Evacuated bool
	// ReturnedAt is when this host heard that the evacuation of the target's zone had ended;
	// the zero time if there was none. The target may be cold since.
	ReturnedAt time.Time
}

// RunID returns the name of the target's run.
func (t Target) RunID() ports.RunID { return ports.NewRunID(t.ID, t.Incarnation) }

// Targets is the view of all targets by service; each slice is sorted by ID.
type Targets struct {
	// ListVersion is the version of the platform's list it was made from.
	ListVersion uint64
	ByService   map[ServiceKey][]Target
}

// Evacuation is an operator's order that the targets of an availability zone get no call.
type Evacuation struct {
	// Since is when this host heard of it.
	Since    time.Time
	Revision uint64
}

// Evacuations is the view of the orders in force, by zone.
type Evacuations struct {
	Zones map[string]Evacuation
}

// Confirmation is what this host has heard of the newest configuration by routes.
type Confirmation struct {
	// Newest is the highest version that any host told of.
	Newest uint64
	// At is when the platform's store last had none that is newer, by the word of a host that
	// watches it; the zero time if there was no such word.
	At time.Time
}

// Status is what this host says of itself to the platform's balancer and to
// operators.
type Status struct {
	// ConfigConfirmed is set once the configuration was confirmed as the
	// newest with the store or, the store being out, with peers.
	ConfigConfirmed bool
	// Leaving is set from the first sign that this host is to stop.
	Leaving bool
	// TargetsUnknown is set by controller/targets until it has a first list.
	// A new host that took calls before would refuse them for want of targets.
	TargetsUnknown bool
}

// Serving reports whether the host knows enough to carry calls. A host that is
// leaving still does.
func (s Status) Serving() bool { return s.ConfigConfirmed && !s.TargetsUnknown }

// Ready reports whether the balancer should send new calls.
func (s Status) Ready() bool { return s.Serving() && !s.Leaving }

// WithLeaving returns the view with one run of a target marked as leaving, and whether
// that changed anything. A sign of leaving that comes late does not drain the run that
// has begun since.
func (t *Targets) WithLeaving(key ServiceKey, run ports.RunID, now time.Time) (*Targets, bool) {
	list := t.ByService[key]
	i := slices.IndexFunc(list, func(tg Target) bool { return tg.RunID() == run })
	if i < 0 || list[i].Leaving {
		return t, false
	}
	list = slices.Clone(list)
	list[i].Leaving = true
	list[i].LeavingSince = now
	next := &Targets{ListVersion: t.ListVersion, ByService: maps.Clone(t.ByService)}
	next.ByService[key] = list
	return next, true
}
