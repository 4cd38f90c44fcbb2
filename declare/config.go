// Package declare holds the configuration that operators declare: templates,
// workspaces that fill their parameters, and the expanded form that every host
// has in force.
package declare

import (
	"strings"
	"time"
)

// Config is the expanded configuration of all workspaces at one sequence
// number. It is immutable once it is on the blackboard.
type Config struct {
	// Sequence is the number of the last change in it. A higher one always
	// replaces a lower one and never the other way round.
	Sequence uint64 `msgpack:"sequence" json:"sequence"`
	// Workspaces is sorted by name.
	Workspaces []Workspace `msgpack:"workspaces" json:"workspaces"`
}

// Workspace is one customer's expanded declaration.
type Workspace struct {
	Name string `msgpack:"name" json:"name"`
	// Version counts the changes to this workspace, from 1.
	Version uint64 `msgpack:"version" json:"version"`
	// Template and TemplateVersion say what it was expanded from.
	Template        string    `msgpack:"template" json:"template"`
	TemplateVersion uint64    `msgpack:"template_version" json:"templateVersion"`
	Services        []Service `msgpack:"services" json:"services"`
	// HostNames are the Host headers that lead here. A workspace without any is
	// reached by the path prefix /<name>.
	HostNames []string `msgpack:"host_names" json:"hostNames,omitempty"`
	// MaxInFlight bounds the calls in flight on one entry host.
	MaxInFlight int `msgpack:"max_in_flight" json:"maxInFlight"`
	// ProbeBudget is the probing time allowed a second over all hosts, as
	// time of target slots taken; 0 forbids probes.
	ProbeBudget time.Duration `msgpack:"probe_budget" json:"probeBudget"`
	// RetryRatio is the share of calls that may be repeated, 0 to 1.
	RetryRatio float64 `msgpack:"retry_ratio" json:"retryRatio"`
	// HedgeRatio is the share of idempotent calls that may be hedged, 0 to 1.
	HedgeRatio float64 `msgpack:"hedge_ratio" json:"hedgeRatio"`
}

// Service is one service of a workspace.
type Service struct {
	Name string `msgpack:"name" json:"name"`
	// PathPrefix leads to this service; the longest match wins. It starts
	// with a slash and is not removed before the call is sent on.
	PathPrefix string `msgpack:"path_prefix" json:"pathPrefix"`
	// AtMostOnce are the calls that may not be repeated.
	AtMostOnce []CallRule `msgpack:"at_most_once" json:"atMostOnce,omitempty"`
	// RequireKey refuses an at-most-once call without an idempotency key.
	RequireKey bool `msgpack:"require_key" json:"requireKey"`
	// Slots is the number of calls a target runs at once.
	Slots int `msgpack:"slots" json:"slots"`
	// MaxConns is the number of connections a target takes from all hosts.
	MaxConns int `msgpack:"max_conns" json:"maxConns"`
	// MaxQueue bounds the calls of this service waiting on one entry host.
	MaxQueue int `msgpack:"max_queue" json:"maxQueue"`
	// Timeout is the longest a call may take; a caller's shorter deadline wins.
	Timeout time.Duration `msgpack:"timeout" json:"timeout"`
	// MaxAttempts bounds the attempts of one call, the first included.
	MaxAttempts int `msgpack:"max_attempts" json:"maxAttempts"`
	// MaxReplayBody is the largest body in bytes kept in memory so that a call
	// can be tried again. Larger bodies stream through and are sent once.
	MaxReplayBody int `msgpack:"max_replay_body" json:"maxReplayBody"`
	// MaxBody is the largest body in bytes that is accepted; 0 is no limit.
	MaxBody int64 `msgpack:"max_body" json:"maxBody"`
	// ColdStart is how long a new target takes to reach its full share.
	ColdStart time.Duration `msgpack:"cold_start" json:"coldStart"`
	// HealthPath answers probes; empty forbids them.
	HealthPath string `msgpack:"health_path" json:"healthPath,omitempty"`
}

// CallRule names calls by method and path prefix.
type CallRule struct {
	// Method is an HTTP method, or empty for every method.
	Method string `msgpack:"method" json:"method,omitempty"`
	// PathPrefix is the start of the path, or empty for the whole service.
	PathPrefix string `msgpack:"path_prefix" json:"pathPrefix,omitempty"`
}

// Matches reports whether the rule names this call.
func (r CallRule) Matches(method, path string) bool {
	if r.Method != "" && r.Method != method {
		return false
	}
	return hasPathPrefix(path, r.PathPrefix)
}

// IsAtMostOnce reports whether a call may not be repeated.
func (s *Service) IsAtMostOnce(method, path string) bool {
	for _, r := range s.AtMostOnce {
		if r.Matches(method, path) {
			return true
		}
	}
	return false
}

// Workspace returns the workspace with this name.
func (c *Config) Workspace(name string) (*Workspace, bool) {
	for i := range c.Workspaces {
		if c.Workspaces[i].Name == name {
			return &c.Workspaces[i], true
		}
	}
	return nil, false
}

// Service returns the service with this name.
func (w *Workspace) Service(name string) (*Service, bool) {
	for i := range w.Services {
		if w.Services[i].Name == name {
			return &w.Services[i], true
		}
	}
	return nil, false
}

// hasPathPrefix reports whether prefix covers path at a segment boundary:
// /lots covers /lots and /lots/7 but not /lotsale.
func hasPathPrefix(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || path[len(prefix)] == '/'
}

// Covers reports whether a path leads to this service.
func (s *Service) Covers(path string) bool { return hasPathPrefix(path, s.PathPrefix) }
