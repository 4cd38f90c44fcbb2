package ports

import "context"

// HostID identifies a host. It is unique across the platform and is not reused after a host
// is replaced.
type HostID string

// Role is the purpose of a host in the list.
type Role string

const (
	// RoleEntry is a host that runs cactusproxyd.
	RoleEntry Role = "entry"
	// RoleTarget is a host that runs a target of a service.
	RoleTarget Role = "target"
)

// HostState is the last state of a host that the platform knows.
type HostState string

const (
	// HostLive means that the host accepts work.
	HostLive HostState = "live"
	// HostLeaving means that the host finishes its current work and accepts no new work.
	HostLeaving HostState = "leaving"
)

// Host is one entry of the platform's host list.
type Host struct {
	ID    HostID    `json:"id"`
	Role  Role      `json:"role"`
	State HostState `json:"state"`
	// Zone is the host's availability zone, Region the region that the zone is in.
	Zone   string `json:"zone"`
	Region string `json:"region,omitempty"`
	// Addr is the IP address and port for callers (entry hosts) or for calls (targets).
	Addr string `json:"addr"`
	// PeerAddr is the address on which an entry host accepts connections from other entry hosts.
	PeerAddr string `json:"peerAddr,omitempty"`
	// Workspace and Service identify the service that a target belongs to.
	Workspace string `json:"workspace,omitempty"`
	Service   string `json:"service,omitempty"`
}

// HostSnapshot is the whole host list at one version.
type HostSnapshot struct {
	Version uint64 `json:"version"`
	// Unchanged is set, and Hosts is empty, if the list still has the version that the caller
	// passed to List.
	Unchanged bool   `json:"unchanged,omitempty"`
	Hosts     []Host `json:"hosts,omitempty"`
}

// HostList is the platform's list of live and leaving hosts. It lags by seconds, and two
// readers may see different versions.
type HostList interface {
	// List returns the list. known is the version that the caller already has, or 0.
	List(ctx context.Context, known uint64) (HostSnapshot, error)
}
