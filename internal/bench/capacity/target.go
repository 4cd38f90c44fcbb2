package capacity

import (
	"fmt"
	"math"
	"strings"
)

// The target size, two years from now.
const (
	targetTargets  = 15_000
	targetServices = 490
	targetCalls    = 3.1e6 // a second
	targetZones    = 8
	targetChanges  = 7_700 // a day
	targetStops    = 5_100 // hosts and targets restarted or replaced, a day
	daySeconds     = 86_400

	// limits of a daemon for control
	limitCPU    = 3.7   // % of a core
	limitMemory = 256e6 // bytes
	limitBytes  = 25e3  // a second

	// What an entry host is taken to be, and how much of it calls may use.
	hostCores       = 4
	hostUtilisation = 0.5
	// callTime is the time that a call is taken to be in flight, in seconds.
	callTime = 0.020
	// keyWindow is how long issued keys are remembered, in seconds, and
	// onceShare the share of calls that may not be repeated; both are taken for
	// the working out.
	keyWindow = 900
	onceShare = 0.001
	// grantFrame is the size in bytes of the frames of one grant and its
	// release, on the wire.
	grantFrame = 150
)

// Sizes is what the target size comes to.
type Sizes struct {
	Hosts int
	rows  []sizeRow
}

type sizeRow struct {
	role, state, messages, cpu, memory, mechanism, holds string
}

// workOut extends the slopes to the target size.
func workOut(s Slopes) Sizes {
	callCPU := s.Call.Fit().At(targetTargets) * 1e-6 // seconds
	hosts := math.Ceil(targetCalls * callCPU / (hostCores * hostUtilisation))
	rate := targetCalls / hosts
	z := Sizes{Hosts: int(hosts)}
	z.rows = []sizeRow{
		entryRow(s, rate, callCPU),
		coordinatorRow(s, hosts),
		configRow(s, hosts),
		membershipRow(s, hosts),
		proberRow(),
		ledgerRow(s, hosts),
	}
	return z
}

func entryRow(s Slopes, rate, callCPU float64) sizeRow {
	open := rate * callTime
	return sizeRow{
		role:      "entry",
		state:     fmt.Sprintf("%.0f calls in flight, the expanded configuration, the list of targets", open),
		messages:  fmt.Sprintf("%.0f calls/s", rate),
		cpu:       fmt.Sprintf("%.2f cores", rate*callCPU),
		memory:    megabytes(s.CallMemory.Fit().Slope*open + s.TargetMemory.Fit().At(targetTargets)),
		mechanism: "immutable router and views; connections pooled for each target; bounded queues",
		holds:     verdict(s.TargetMemory.Fit().At(targetTargets) < limitMemory),
	}
}

// coordinatorRow counts a coordinator for each service and zone.
func coordinatorRow(s Slopes, hosts float64) sizeRow {
	roles := float64(targetServices * targetZones)
	grants := targetCalls / hosts
	perService := float64(targetTargets) / roles
	cpu := grants * s.Grant.Fit().At(perService) * 1e-9 * 100
	bytes := grants * grantFrame
	return sizeRow{
		role:      "coordinator",
		state:     fmt.Sprintf("%.1f roles of %.0f targets each", roles/hosts, perService),
		messages:  fmt.Sprintf("%.0f grants/s, %.0f KB/s", grants, bytes/1e3),
		cpu:       fmt.Sprintf("%.1f%% of a core for the decisions; the frames are in the call's cost", cpu),
		memory:    "under 1 MB",
		mechanism: "one coordinator for each service and zone by rendezvous hashing; asks and releases batched",
		holds:     "counted with the calls; as control it would break 25 KB/s: " + verdict(bytes < limitBytes),
	}
}

func configRow(s Slopes, hosts float64) sizeRow {
	perSecond := float64(targetChanges) / daySeconds
	bytes := perSecond * s.ChangeBytes.Fit().At(hosts) / hosts
	cpu := perSecond * s.ChangeCPU.Fit().At(hosts) * 1e-6 * 100
	return sizeRow{
		role:      "configuration watcher",
		state:     fmt.Sprintf("%d services expanded; a start reads them in %.0f ms", targetServices, s.Start.Fit().At(targetServices)),
		messages:  fmt.Sprintf("%.2f changes/s, %.0f bytes/s a host", perSecond, bytes),
		cpu:       fmt.Sprintf("%.3f%% of a core", cpu),
		memory:    "in entry",
		mechanism: "push of the changed workspace, bounded fan-out; 32 hosts poll the head row, the rest ask them; snapshot for starts",
		holds:     verdict(bytes < limitBytes && cpu < limitCPU),
	}
}

func membershipRow(s Slopes, hosts float64) sizeRow {
	bytes := s.MemberBytes.Fit().At(hosts)
	cpu := s.MemberCPU.Fit().At(hosts)
	return sizeRow{
		role:      "membership",
		state:     fmt.Sprintf("%.0f hosts, %d targets", hosts, targetTargets),
		messages:  fmt.Sprintf("%.1f KB/s sent; %.2f hosts or targets come or go a second", bytes/1e3, float64(targetStops)/daySeconds),
		cpu:       fmt.Sprintf("%.2f%% of a core", cpu),
		memory:    "in entry",
		mechanism: "full mesh up to 30 hosts, then neighbours on a ring and gossip of changes",
		holds:     verdict(bytes < limitBytes && cpu < limitCPU),
	}
}

func proberRow() sizeRow {
	return sizeRow{
		role:      "prober",
		state:     "leases of the budget: one row for each workspace and prober",
		messages:  "none while traffic flows; at most the workspace's budget otherwise",
		cpu:       "bounded by the budget",
		memory:    "under 1 MB",
		mechanism: "the coordinator is the only prober; a share of the budget is a lease in the table",
		holds:     "bound by declaration, over all hosts together",
	}
}

func ledgerRow(s Slopes, hosts float64) sizeRow {
	once := targetCalls * onceShare
	table := s.Claims.Fit().At(400)
	keys := targetCalls / hosts * onceShare * keyWindow
	return sizeRow{
		role:      "ledger",
		state:     fmt.Sprintf("%.0f issued keys of the last %d s a host", keys, keyWindow),
		messages:  fmt.Sprintf("%.0f at-most-once calls/s if they are 1 in %.0f; the table takes %.0f claims/s", once, 1/onceShare, table),
		cpu:       fmt.Sprintf("%.2f%% of a core", once/hosts*s.KeyCPU.Fit().At(keys)*1e-6*100),
		memory:    megabytes(s.KeyMemory.Fit().Slope * keys),
		mechanism: "group commits for callers' own keys; keys that hosts issue need no store",
		holds:     "issued keys: yes; callers' own keys: " + verdict(once < table) + " at that share",
	}
}

func megabytes(bytes float64) string { return fmt.Sprintf("%.0f MB", bytes/1e6) }

func verdict(holds bool) string {
	if holds {
		return "yes"
	}
	return "no"
}

// Table returns the roles as a table of the page.
func (z Sizes) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Hosts: %d, of %d cores with %.0f%% of them for calls; %d targets in %d services, %.1f million calls/s.\n\n",
		z.Hosts, hostCores, 100*hostUtilisation, targetTargets, targetServices, targetCalls/1e6)
	b.WriteString("| role | state a host | messages | processor | memory | mechanism | holds |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range z.rows {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s |\n", r.role, r.state, r.messages, r.cpu, r.memory, r.mechanism, r.holds)
	}
	return b.String()
}
