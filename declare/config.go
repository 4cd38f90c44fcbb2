// Package declare defines the declarative configuration of workspaces. Operators write
// templates, which have typed parameters, and workspace files, which set the parameters.
// ParseTemplate and ParseWorkspace read and check the two, Template.Expand produces the
// expanded Workspace, and a Config collects all workspaces for the hosts to apply. Errors
// are Problems, which name file, line and field.
package declare

import (
	"strings"
	"time"
)

// Config is the expanded configuration of all workspaces at one sequence number. It is
// immutable once it has been published on the blackboard.
type Config struct {
	// Sequence is the number of the last change included. A configuration is only ever replaced
	// by one with a higher sequence number.
	Sequence uint64 `msgpack:"sequence" json:"sequence"`
	// Workspaces is sorted by name.
	Workspaces []Workspace `msgpack:"workspaces" json:"workspaces"`
}

// Workspace is the expanded configuration of one customer.
type Workspace struct {
	Name string `msgpack:"name" json:"name"`
	// Version counts the changes to this workspace, starting at 1.
	Version uint64 `msgpack:"version" json:"version"`
	// Template and TemplateVersion identify the template that the workspace was expanded from.
	Template        string    `msgpack:"template" json:"template"`
	TemplateVersion uint64    `msgpack:"template_version" json:"templateVersion"`
	Services        []Service `msgpack:"services" json:"services"`
	// HostNames are the Host headers that are routed to this workspace. A workspace without any
	// is reached by the path prefix /<name>.
	HostNames []string `msgpack:"host_names" json:"hostNames,omitempty"`
	// MaxInFlight limits the calls in flight on one entry host.
	MaxInFlight int `msgpack:"max_in_flight" json:"maxInFlight"`
	// ProbeBudget is the time that probes may occupy target slots per second, over all hosts; 0
	// disables probes.
	ProbeBudget time.Duration `msgpack:"probe_budget" json:"probeBudget"`
	// RetryRatio is the fraction of calls that may be retried, 0 to 1.
	RetryRatio float64 `msgpack:"retry_ratio" json:"retryRatio"`
	// HedgeRatio is the fraction of idempotent calls that may be hedged, 0 to 1.
	HedgeRatio float64 `msgpack:"hedge_ratio" json:"hedgeRatio"`
}

// Service is one service of a workspace.
type Service struct {
	Name string `msgpack:"name" json:"name"`
	// PathPrefix is the path prefix that is routed to this service; the longest match wins. It
	// starts with a slash and is kept in the path that the target receives.
	PathPrefix string `msgpack:"path_prefix" json:"pathPrefix"`
	// AtMostOnce lists the calls that must not be retried.
	AtMostOnce []CallRule `msgpack:"at_most_once" json:"atMostOnce,omitempty"`
	// RequireKey rejects an at-most-once call without an idempotency key.
	RequireKey bool `msgpack:"require_key" json:"requireKey"`
	// Slots is the number of calls that a target runs concurrently.
	Slots int `msgpack:"slots" json:"slots"`
	// MaxConns is the number of connections that a target accepts from all hosts together.
	MaxConns int `msgpack:"max_conns" json:"maxConns"`
	// MaxQueue limits the calls of this service that wait on one entry host.
	MaxQueue int `msgpack:"max_queue" json:"maxQueue"`
	// Timeout is the maximum duration of a call; a caller's shorter deadline takes precedence.
	Timeout time.Duration `msgpack:"timeout" json:"timeout"`
	// MaxAttempts limits the attempts of one call, including the first.
	MaxAttempts int `msgpack:"max_attempts" json:"maxAttempts"`
	// MaxReplayBody is the largest body, in bytes, that is buffered so that the call can be
	// retried. Larger bodies are streamed and sent once.
	MaxReplayBody int `msgpack:"max_replay_body" json:"maxReplayBody"`
	// MaxBody is the largest body that is accepted, in bytes; 0 means no limit.
	MaxBody int64 `msgpack:"max_body" json:"maxBody"`
	// ColdStart is how long a new target takes to ramp up to its full share of calls.
	ColdStart time.Duration `msgpack:"cold_start" json:"coldStart"`
	// HealthPath is the path that probes request; empty disables probes.
	HealthPath string `msgpack:"health_path" json:"healthPath,omitempty"`
}

// CallRule matches calls by method and path prefix.
type CallRule struct {
	// Method is an HTTP method, or empty to match every method.
	Method string `msgpack:"method" json:"method,omitempty"`
	// PathPrefix is the start of the path, or empty to match the whole service.
	PathPrefix string `msgpack:"path_prefix" json:"pathPrefix,omitempty"`
}

// Matches reports whether the rule matches a call.
func (r CallRule) Matches(method, path string) bool {
	if r.Method != "" && r.Method != method {
		return false
	}
	return hasPathPrefix(path, r.PathPrefix)
}

// IsAtMostOnce reports whether a call must not be retried.
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

// hasPathPrefix reports whether path starts with prefix at a segment boundary: /lots covers
// /lots and /lots/7 but not /lotsale.
func hasPathPrefix(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || path[len(prefix)] == '/'
}

// Covers reports whether the path is within the service's path prefix.
func (s *Service) Covers(path string) bool { return hasPathPrefix(path, s.PathPrefix) }
