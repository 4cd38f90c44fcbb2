package ports

import "context"

// HostID names a host; it is unique over the whole platform and is not used
// again after a host is replaced.
type HostID string

// Role tells what a host in the list is for.
type Role string

const (
	// RoleEntry is a host that runs cactusproxyd.
	RoleEntry Role = "entry"
	// RoleTarget is a host that runs a target of a service.
	RoleTarget Role = "target"
)

// HostState is the state the platform last knew of a host.
type HostState string

const (
	// HostLive hosts take work.
	HostLive HostState = "live"
	// HostLeaving hosts finish what they have and take no new work.
	HostLeaving HostState = "leaving"
)

// Host is one line of the platform's list.
type Host struct {
	ID    HostID    `json:"id"`
	Role  Role      `json:"role"`
	State HostState `json:"state"`
	// Zone is the host's availability zone, Region the region it is in.
	Zone   string `json:"zone"`
	Region string `json:"region,omitempty"`
	// Addr is the IP address and port for callers (entry hosts) or calls
	// (targets).
	Addr string `json:"addr"`
	// PeerAddr is where an entry host listens for other entry hosts.
	PeerAddr string `json:"peerAddr,omitempty"`
	// Workspace and Service say what a target belongs to.
	Workspace string `json:"workspace,omitempty"`
	Service   string `json:"service,omitempty"`
}

// HostSnapshot is the whole list at one version.
type HostSnapshot struct {
	Version uint64 `json:"version"`
	// Unchanged is set, and Hosts left empty, if the list still has the version
	// that was asked about.
	Unchanged bool   `json:"unchanged,omitempty"`
	Hosts     []Host `json:"hosts,omitempty"`
}

// HostList is the platform's list of live and leaving hosts. It lags by
// seconds, and two readers may see different versions.
type HostList interface {
	// List returns the list; known is the version the caller holds, or 0.
	List(ctx context.Context, known uint64) (HostSnapshot, error)
}
