package capacity

import (
	"fmt"
	"math"
	"strings"
)

// The planned deployment size, two years ahead.
const (
	plannedTargets  = 15_000
	plannedServices = 490
	plannedCalls    = 3.1e6 // per second
	plannedZones    = 8
	plannedChanges  = 7_700 // per day
	plannedStops    = 5_100 // hosts and targets restarted or replaced per day
	secondsPerDay   = 86_400

	// Budget of a daemon for the control plane.
	limitCPU    = 3.7   // % of a core
	limitMemory = 256e6 // bytes
	limitBytes  = 25e3  // per second

	// Assumed cores of an entry host, and the fraction of them available for calls.
	hostCores       = 4
	hostUtilisation = 0.5
	// callSeconds is the assumed duration of a call, in seconds.
	callSeconds = 0.020
	// keyWindowSeconds is how long issued keys are remembered; atMostOnceShare is
	// the fraction of calls that are at most once. Both are assumptions of the
	// estimate.
	keyWindowSeconds = 900
	atMostOnceShare  = 0.001
	// grantFrameBytes is the total size on the wire of the frames for one grant and
	// its release, in bytes.
	grantFrameBytes = 150
)

// Estimate holds the resources needed at the planned deployment size.
type Estimate struct {
	Hosts int
	rows  []roleEstimate
}

type roleEstimate struct {
	role, state, messages, cpu, memory, mechanism, holds string
}

// estimate extrapolates the slopes to the planned deployment size.
func estimate(s Slopes) Estimate {
	callCPU := s.Call.Fit().At(plannedTargets) * 1e-6 // seconds
	hosts := math.Ceil(plannedCalls * callCPU / (hostCores * hostUtilisation))
	rate := plannedCalls / hosts
	e := Estimate{Hosts: int(hosts)}
	e.rows = []roleEstimate{
		entryRow(s, rate, callCPU),
		coordinatorRow(s, hosts),
		configRow(s, hosts),
		membershipRow(s, hosts),
		proberRow(),
		ledgerRow(s, hosts),
	}
	return e
}

func entryRow(s Slopes, rate, callCPU float64) roleEstimate {
	open := rate * callSeconds
	return roleEstimate{
		role:      "entry",
		state:     fmt.Sprintf("%.0f calls in flight, the expanded configuration, the list of targets", open),
		messages:  fmt.Sprintf("%.0f calls/s", rate),
		cpu:       fmt.Sprintf("%.2f cores", rate*callCPU),
		memory:    megabytes(s.CallMemory.Fit().Slope*open + s.TargetMemory.Fit().At(plannedTargets)),
		mechanism: "immutable router and views; connections pooled for each target; bounded queues",
		holds:     yesNo(s.TargetMemory.Fit().At(plannedTargets) < limitMemory),
	}
}

// coordinatorRow assumes one coordinator per service and zone.
func coordinatorRow(s Slopes, hosts float64) roleEstimate {
	roles := float64(plannedServices * plannedZones)
	grants := plannedCalls / hosts
	perService := float64(plannedTargets) / roles
	cpu := grants * s.Grant.Fit().At(perService) * 1e-9 * 100
	bytes := grants * grantFrameBytes
	return roleEstimate{
		role:      "coordinator",
		state:     fmt.Sprintf("%.1f roles of %.0f targets each", roles/hosts, perService),
		messages:  fmt.Sprintf("%.0f grants/s, %.0f KB/s", grants, bytes/1e3),
		cpu:       fmt.Sprintf("%.1f%% of a core for the decisions; the frames are in the call's cost", cpu),
		memory:    "under 1 MB",
		mechanism: "one coordinator for each service and zone by rendezvous hashing; asks and releases batched",
		holds:     "counted with the calls; as control it would break 25 KB/s: " + yesNo(bytes < limitBytes),
	}
}

func configRow(s Slopes, hosts float64) roleEstimate {
	perSecond := float64(plannedChanges) / secondsPerDay
	bytes := perSecond * s.ChangeBytes.Fit().At(hosts) / hosts
	cpu := perSecond * s.ChangeCPU.Fit().At(hosts) * 1e-6 * 100
	return roleEstimate{
		role: "configuration watcher",
		state: fmt.Sprintf("%d services expanded; a start reads them in %.0f ms",
			plannedServices, s.Start.Fit().At(plannedServices)),
		messages:  fmt.Sprintf("%.2f changes/s, %.0f bytes/s a host", perSecond, bytes),
		cpu:       fmt.Sprintf("%.3f%% of a core", cpu),
		memory:    "in entry",
		mechanism: "push of the changed workspace, bounded fan-out; 32 hosts poll the head row, the rest ask them; snapshot for starts",
		holds:     yesNo(bytes < limitBytes && cpu < limitCPU),
	}
}

func membershipRow(s Slopes, hosts float64) roleEstimate {
	bytes := s.MemberBytes.Fit().At(hosts)
	cpu := s.MemberCPU.Fit().At(hosts)
	return roleEstimate{
		role:  "membership",
		state: fmt.Sprintf("%.0f hosts, %d targets", hosts, plannedTargets),
		messages: fmt.Sprintf("%.1f KB/s sent; %.2f hosts or targets come or go a second",
			bytes/1e3, float64(plannedStops)/secondsPerDay),
		cpu:       fmt.Sprintf("%.2f%% of a core", cpu),
		memory:    "in entry",
		mechanism: "full mesh up to 30 hosts, then neighbours on a ring and gossip of changes",
		holds:     yesNo(bytes < limitBytes && cpu < limitCPU),
	}
}

func proberRow() roleEstimate {
	return roleEstimate{
		role:      "prober",
		state:     "leases of the budget: one row for each workspace and prober",
		messages:  "none while traffic flows; at most the workspace's budget otherwise",
		cpu:       "bounded by the budget",
		memory:    "under 1 MB",
		mechanism: "the coordinator is the only prober; a share of the budget is a lease in the table",
		holds:     "bound by declaration, over all hosts together",
	}
}

func ledgerRow(s Slopes, hosts float64) roleEstimate {
	once := plannedCalls * atMostOnceShare
	table := s.Claims.Fit().At(400)
	keys := plannedCalls / hosts * atMostOnceShare * keyWindowSeconds
	return roleEstimate{
		role:  "ledger",
		state: fmt.Sprintf("%.0f issued keys of the last %d s a host", keys, keyWindowSeconds),
		messages: fmt.Sprintf("%.0f at-most-once calls/s if they are 1 in %.0f; the table takes %.0f claims/s",
			once, 1/atMostOnceShare, table),
		cpu:       fmt.Sprintf("%.2f%% of a core", once/hosts*s.KeyCPU.Fit().At(keys)*1e-6*100),
		memory:    megabytes(s.KeyMemory.Fit().Slope * keys),
		mechanism: "group commits for callers' own keys; keys that hosts issue need no store",
		holds:     "issued keys: yes; callers' own keys: " + yesNo(once < table) + " at that share",
	}
}

func megabytes(bytes float64) string { return fmt.Sprintf("%.0f MB", bytes/1e6) }

func yesNo(holds bool) string {
	if holds {
		return "yes"
	}
	return "no"
}

// Table returns the estimate as Markdown, with one table row per role.
func (e Estimate) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Hosts: %d, of %d cores with %.0f%% of them for calls; %d targets in %d services, %.1f million calls/s.\n\n",
		e.Hosts, hostCores, 100*hostUtilisation, plannedTargets, plannedServices, plannedCalls/1e6)
	b.WriteString("| role | state a host | messages | processor | memory | mechanism | holds |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range e.rows {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s |\n", r.role, r.state, r.messages, r.cpu, r.memory, r.mechanism, r.holds)
	}
	return b.String()
}
