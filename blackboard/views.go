package blackboard

import (
	"maps"
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/ports"
)

// MemberState is this host's view of the state of an entry host.
type MemberState uint8

const (
	// MemberLive means that the host answers heartbeats, or is listed and not yet suspected.
	MemberLive MemberState = iota + 1
	// MemberSuspected means that the host missed heartbeats; it is not eligible for a role.
	MemberSuspected
	// MemberLeaving means that the host announced that it is leaving or is listed as leaving; it
	// is not eligible for a role.
	MemberLeaving
)

// Member is one entry host as seen by this host.
type Member struct {
	Host ports.Host
	// Incarnation distinguishes runs of the daemon on the same host; a later run has a greater
	// number.
	Incarnation uint64
	State       MemberState
	// Ready is false while the host does not serve callers.
	Ready bool
	// ConfigSequence is the sequence number of the configuration that the host last reported as
	// active.
	ConfigSequence uint64
}

// Members is the view of all entry hosts including this one, sorted by ID.
type Members struct {
	Self    ports.HostID
	Members []Member
	// Complete is set once the list has been taken from the platform or from a host that has the
	// complete membership. Until then most hosts may be missing.
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

// ServiceKey identifies a service of a workspace.
type ServiceKey struct {
	Workspace string
	Service   string
}

// String returns workspace/service.
func (k ServiceKey) String() string { return k.Workspace + "/" + k.Service }

// Target is a target as listed by the platform, together with what this host knows of its
// shutdown. Load and health are not part of it: they change within milliseconds and are kept
// by the code that chooses targets.
type Target struct {
	ID ports.HostID
	// Incarnation is the run of the target that the other fields describe.
	Incarnation ports.Incarnation
	Addr        string
	Zone        string
	// Leaving is set when the target is to get no new calls. The host list, the target's own
	// responses and other hosts may each report it; the first report counts.
	Leaving bool
	// LeavingSince is when this host first learned that the target is leaving.
	LeavingSince time.Time
	// FirstSeen is when this host first saw the target; the cold-start ramp begins then.
	FirstSeen time.Time
	// Slots is the number of calls that the target runs concurrently, or 0 if it does not report
	// one and the configuration of its service applies.
	Slots int
	// WarmUntil is the end of the target's warm-up according to its entry in the list, or the
	// zero time if the entry does not tell.
	WarmUntil time.Time
	// Evacuated is set while the target's availability zone is being evacuated; the target gets
	// no new calls.
	Evacuated bool
	// ReturnedAt is when this host learned that the evacuation of the target's zone had ended,
	// or the zero time if there was none. The target may have gone cold meanwhile.
	ReturnedAt time.Time
}

// RunID identifies the run of the target.
func (t Target) RunID() ports.RunID { return ports.NewRunID(t.ID, t.Incarnation) }

// Targets is the view of all targets by service; each slice is sorted by ID.
type Targets struct {
	// ListVersion is the version of the platform's host list that the view was made from.
	ListVersion uint64
	ByService   map[ServiceKey][]Target
}

// Evacuation is an operator's order to send no calls to the targets of an availability zone.
type Evacuation struct {
	// Since is when this host learned of the order.
	Since    time.Time
	Revision uint64
}

// Evacuations holds the active evacuation orders by availability zone.
type Evacuations struct {
	Zones map[string]Evacuation
}

// Confirmation is what this host knows of the latest version of the route table.
type Confirmation struct {
	// Newest is the highest version reported by any host.
	Newest uint64
	// At is when the platform's store was last known to have no newer version, as reported by a
	// host that watches it; the zero time if no host has reported it.
	At time.Time
}

// Status is the state that this host reports to the platform's load balancer and to
// operators.
type Status struct {
	// ConfigConfirmed is set once the configuration has been confirmed as the latest, by the
	// store or, if the store is unavailable, by peers.
	ConfigConfirmed bool
	// Leaving is set from the first sign that this host is shutting down.
	Leaving bool
	// TargetsUnknown is set by controller/targets until it has a first list. A new host that
	// accepted calls before then would refuse them for lack of targets.
	TargetsUnknown bool
}

// Serving reports whether the host knows enough to serve calls. A leaving host still does.
func (s Status) Serving() bool { return s.ConfigConfirmed && !s.TargetsUnknown }

// Ready reports whether the load balancer should send new calls to this host.
func (s Status) Ready() bool { return s.Serving() && !s.Leaving }

// WithLeaving returns a view in which the given run of a target is marked as leaving, and
// whether that changed anything. It matches the run, so a late notice does not drain a run
// that was started since.
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
