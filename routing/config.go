// Package routing is the model of the route configuration, and the route lookup, for platforms
// that keep one configuration document for all hosts.
//
// A Config is one immutable version of the document, and Check validates it. A Table is built
// from a Config and maps the host name and path of a request to a route and, by weighted split,
// to one of its services. Hosts send each other a Delta instead of a whole Config where the
// receiver has the base version. Config.Digest detects a receiver whose base differs.
package routing

import "time"

// Workspace is the workspace of all services in a Config. A platform with one configuration
// document has no workspaces of its own.
const Workspace = "platform"

// Kind is the type of a route's requests. It determines whether they may be retried.
type Kind uint8

const (
	// Safe requests may run any number of times.
	Safe Kind = iota + 1
	// Mutating requests run at most once.
	Mutating
	// Upload requests have large bodies and run at most once.
	Upload
	// Download requests have large responses and may run any number of times.
	Download
	// Unknown stands for a kind that this version of the program does not know. Its requests
	// run at most once, which is the strictest rule of any kind.
	Unknown
)

// Retryable reports whether requests of this kind may run more than once.
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
	// Version is assigned by the operator. A configuration only ever replaces one of a lower
	// version.
	Version  uint64    `msgpack:"version"`
	Routes   []Route   `msgpack:"routes"`
	Services []Service `msgpack:"services"`
	Limits   Limits    `msgpack:"limits"`
	// RequiresKey is set if requests must carry the API key of a tenant, except on public routes.
	RequiresKey bool     `msgpack:"keyed"`
	Tenants     []Tenant `msgpack:"tenants"`
}

// Unknown returns the number of routes of kind Unknown.
func (c *Config) Unknown() (n int) {
	for i := range c.Routes {
		if c.Routes[i].Kind == Unknown {
			n++
		}
	}
	return n
}

// Route maps the requests of one host name and path prefix to services.
type Route struct {
	Name string `msgpack:"name"`
	// Host is the host name in lower case, without a port; see HostName.
	Host string `msgpack:"host"`
	// Prefix starts and ends with a slash. Among the routes of a host name the longest prefix
	// of the path wins; see byPrecedence for routes with the same host name and prefix.
	Prefix string `msgpack:"prefix"`
	Kind   Kind   `msgpack:"kind"`
	// Timeout bounds the total time of a request.
	Timeout time.Duration `msgpack:"timeout"`
	// Objective is the target latency: a later response is worth less to the client.
	Objective time.Duration `msgpack:"objective"`
	// Priority ranks the requests; 0 is the most urgent.
	Priority int `msgpack:"priority"`
	// Public routes need no API key.
	Public bool `msgpack:"public"`
	// MaxAttempts is the maximum number of attempts for one request, including the first.
	MaxAttempts int `msgpack:"max_attempts"`
	// Regions restricts the requests to targets in these regions. Empty means all regions.
	Regions []string `msgpack:"regions"`
	// Split is the weighted split of the requests among services.
	Split []WeightedService `msgpack:"parts"`
}

// WeightedService is a service with its share of a route's requests. Weights are relative to
// their sum over the route.
type WeightedService struct {
	Service string  `msgpack:"service"`
	Weight  float64 `msgpack:"weight"`
}

// Service configures one service.
type Service struct {
	Name string `msgpack:"name"`
	// HealthPath is the path of the health check on the service's targets.
	HealthPath string `msgpack:"health_path"`
	// MaxConns is the maximum number of connections to one target, over all hosts.
	MaxConns int `msgpack:"max_conns"`
	// WarmUp is how long a target stays cold after it has started or turned cold again.
	WarmUp time.Duration `msgpack:"warm_up"`
	// ColdRate limits the requests per second to a cold target, over all hosts. Well above
	// its cold rate a target crashes. 0 means no limit.
	ColdRate float64 `msgpack:"cold_rate"`
}

// Limits bound the requests and connections of clients.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes bound the header and the body of a request.
	MaxHeaderBytes int   `msgpack:"max_header_bytes"`
	MaxBodyBytes   int64 `msgpack:"max_body_bytes"`
	// HeaderTimeout bounds the time for a header to arrive, IdleTimeout the time that a
	// connection may stay open without a request.
	HeaderTimeout time.Duration `msgpack:"header_timeout"`
	IdleTimeout   time.Duration `msgpack:"idle_timeout"`
}
