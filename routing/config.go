// Package routing holds a configuration by routes, as a platform that keeps one
// document for all hosts declares it, and finds the route of a request.
package routing

import "time"

// Workspace is the workspace that all services of a configuration by routes
// belong to: such a platform serves one customer.
const Workspace = "platform"

// Kind says what of a route's requests may be repeated.
type Kind uint8

const (
	// Safe requests may run any number of times.
	Safe Kind = iota + 1
	// Mutating requests run at most once.
	Mutating
	// Upload requests carry large bodies and run at most once.
	Upload
	// Download requests get large answers and run any number of times.
	Download
	// Unknown requests are of a kind that this program has never heard of: they run
	// at most once, the strictest that any kind asks for.
	Unknown
)

// Retryable reports whether requests of the kind may run more than once.
func (k Kind) Retryable() bool { return k == Safe || k == Download }

// String returns the name of the kind in logs.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Mutating:
		return "mutating"
	case Upload:
		return "upload"
	case Download:
		return "download"
	case Unknown:
		return "unknown"
	default:
		return "invalid"
	}
}

// Config is one version of the configuration. It is immutable once published.
type Config struct {
	// Version is the operator's version; a higher one replaces a lower one and
	// never the other way round.
	Version  uint64    `msgpack:"version"`
	Routes   []Route   `msgpack:"routes"`
	Services []Service `msgpack:"services"`
	Limits   Limits    `msgpack:"limits"`
	// RequiresKey is set if requests need the key of a tenant, but for those of public routes.
	RequiresKey   bool     `msgpack:"keyed"`
	Tenants []Tenant `msgpack:"tenants"`
}

// Unknown returns how many routes are of a kind that this program has never heard of.
func (c *Config) Unknown() (n int) {
	for i := range c.Routes {
		if c.Routes[i].Kind == Unknown {
			n++
		}
	}
	return n
}

// Route leads the requests of one host name and path prefix to services.
type Route struct {
	Name string `msgpack:"name"`
	// Host is the Host header in lower case, without a port.
	Host string `msgpack:"host"`
	// Prefix begins and ends with a slash; among the routes of a host the
	// longest prefix of the path wins. See byPrecedence for routes of one host and prefix.
	Prefix string `msgpack:"prefix"`
	Kind   Kind   `msgpack:"kind"`
	// Timeout is the longest that a request may take.
	Timeout time.Duration `msgpack:"timeout"`
	// Objective is the time within which an answer is worth most to its caller.
	Objective time.Duration `msgpack:"objective"`
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int `msgpack:"priority"`
	// Public requests need no key.
	Public bool `msgpack:"public"`
	// MaxAttempts bounds the targets that one request may be sent to.
	MaxAttempts int `msgpack:"max_attempts"`
	// Regions are the only ones whose targets may get the requests; all if empty.
	Regions []string `msgpack:"regions"`
	// Split has one entry for each service that takes a share of the requests.
	Split []WeightedService `msgpack:"parts"`
}

// WeightedService is a service's share of a route.
type WeightedService struct {
	Service string  `msgpack:"service"`
	Weight  float64 `msgpack:"weight"`
}

// Service is what the configuration says of one service.
type Service struct {
	Name string `msgpack:"name"`
	// HealthPath answers probes.
	HealthPath string `msgpack:"health_path"`
	// MaxConns is the number of connections a target takes from all hosts.
	MaxConns int `msgpack:"max_conns"`
	// WarmUp is how long a target is cold after its start, or once it has turned cold.
	WarmUp time.Duration `msgpack:"warm_up"`
	// ColdRate is the requests a second, from all hosts together, that a cold target bears:
	// well above it the target crashes. 0 means no bound.
	ColdRate float64 `msgpack:"cold_rate"`
}

// Limits bound what a caller may send.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes are sizes in bytes.
	MaxHeaderBytes int   `msgpack:"max_header_bytes"`
	MaxBodyBytes   int64 `msgpack:"max_body_bytes"`
	// HeaderTimeout is how long a header may take to arrive, IdleTimeout how
	// long a connection may stay without a request.
	HeaderTimeout time.Duration `msgpack:"header_timeout"`
	IdleTimeout   time.Duration `msgpack:"idle_timeout"`
}
