// Package settings reads and validates the settings file of a daemon: its identity, its listeners,
// the address of the platform, and local limits.
//
// The file is JSON with comments. Load reports all invalid settings with file, line and field.
// Watch polls the file for changes; of these only peers.seeds takes effect without a restart.
// What operators change at run time is not in the settings but in the configuration; see packages
// declare and routing.
package settings

import "time"

// Settings are the settings of one daemon.
type Settings struct {
	// Host identifies this daemon.
	Host Host `json:"host"`
	// Callers configures the listener for client traffic.
	Callers Callers `json:"callers"`
	// Operators configures the listener for cactusctl and metrics.
	Operators Operators `json:"operators"`
	// Peers configures the listener for other proxy hosts.
	Peers Peers `json:"peers"`
	// Platform locates the platform's table, object store and list of hosts.
	Platform Platform `json:"platform"`
	// Directory locates the directory of routes and targets, on platforms that have one. With
	// a directory, Platform is not used, and operators make no changes through Operators.
	Directory Directory `json:"directory,omitzero"`
	// Readiness configures the listener for readiness checks of the platform's load balancer.
	// Without it the listener for client traffic responds to them.
	Readiness Readiness `json:"readiness,omitzero"`
	// Retries limits retries, and Measuring limits health probes. Both are only used with a
	// directory.
	Retries   Retries   `json:"retries,omitzero"`
	Measuring Measuring `json:"measuring,omitzero"`
	// Quotas is the tolerance of tenants' quotas. It is only used with a directory.
	Quotas Quotas `json:"quotas,omitzero"`
	// Admission is only used with a directory.
	Admission Admission `json:"admission,omitzero"`
	// MemoryMB is the memory limit of the daemon in megabytes. 0 means no limit.
	MemoryMB int `json:"memoryMB,omitempty"`
	// Descriptors is how many descriptors the daemon may have open. 0 means as many as the process may.
	Descriptors int `json:"descriptors,omitempty"`
	// LinkMbps is the bandwidth of the host's network link in each direction, in megabits per
	// second. 0 means unknown.
	LinkMbps float64 `json:"linkMbps,omitempty"`
	// Zones maps every availability zone to its region. It is needed if routes or tenants are
	// restricted to regions.
	Zones map[string]string `json:"zones,omitempty"`
	// Targets configures connections to targets.
	Targets Targets `json:"targets,omitzero"`
	// Keys configures the idempotency keys that hosts issue.
	Keys Keys `json:"keys,omitzero"`
	// Drain configures the graceful shutdown.
	Drain Drain `json:"drain,omitzero"`
	// Plaintext must be the text of AcceptPlaintext if a listener outside loopback has neither
	// TLS nor, for peers, a key.
	Plaintext string `json:"plaintext,omitempty"`
	// LogLevel is debug, info, warn or error; info if empty.
	LogLevel string `json:"logLevel,omitempty"`
}

// AcceptPlaintext is the value of Settings.Plaintext that permits unprotected listeners outside
// loopback.
const AcceptPlaintext = "accept plaintext outside loopback"

// Host identifies a daemon.
type Host struct {
	// ID is the name of the host in the platform's list of hosts.
	ID string `json:"id"`
	// Zone is the host's availability zone.
	Zone string `json:"zone"`
	// Region is the region of the zone. It is optional.
	Region string `json:"region,omitempty"`
}

// Callers configures the listener for client traffic.
type Callers struct {
	// Addr is an IP address and port.
	Addr string `json:"addr"`
	TLS  TLS    `json:"tls,omitzero"`
	// MaxHeaderBytes bounds the header of a request. The default is 64 KiB, and 256 KiB with a
	// directory.
	MaxHeaderBytes int `json:"maxHeaderBytes,omitempty"`
	// BodyMemoryBytes bounds the total memory of request bodies buffered for retries. The
	// default is 128 MiB; with a directory, a quarter of MemoryMB, or 64 MiB without a limit.
	BodyMemoryBytes int64 `json:"bodyMemoryBytes,omitempty"`
	// ReadHeaderTimeout bounds the time for a request's header to arrive. The default is
	// "5s", and "15s" with a directory.
	ReadHeaderTimeout Duration `json:"readHeaderTimeout,omitempty"`
	// IdleTimeout is the time after which an idle client connection is closed. The default is
	// "120s".
	IdleTimeout Duration `json:"idleTimeout,omitempty"`
	// MaxConns is the maximum of client connections that are open at the same time. The default is a
	// third of the descriptors, and at most as many as a quarter of MemoryMB is enough for.
	MaxConns int `json:"maxConns,omitempty"`
	// Pipeline configures requests that are sent on a connection before earlier ones are
	// answered. It is only used with a directory.
	Pipeline Pipeline `json:"pipeline,omitzero"`
}

// Admission configures admission control of services that are short of room.
type Admission struct {
	// ByPriority makes it act also where the configuration has no tenants, on services to which
	// routes of different priorities lead.
	ByPriority bool `json:"byPriority,omitempty"`
}

// Pipeline limits the requests that run before earlier ones of their connection are answered.
type Pipeline struct {
	// Off makes all requests of a connection wait for each other.
	Off bool `json:"off,omitempty"`
	// RequestsPerConnection is the maximum for one connection. The default is 16.
	RequestsPerConnection int `json:"requestsPerConnection,omitempty"`
	// RequestsPerHost is the maximum for this host. The default is 256.
	RequestsPerHost int `json:"requestsPerHost,omitempty"`
}

// Operators configures the listener for operators.
type Operators struct {
	Addr string `json:"addr"`
	TLS  TLS    `json:"tls,omitzero"`
	// TokenFile is the file with the token that changes must carry. Without it all changes
	// are rejected. The commands plan, status and history, and metrics, need no token.
	TokenFile string `json:"tokenFile,omitempty"`
}

// Peers configures the listener for other proxy hosts.
type Peers struct {
	// Addr is the listen address. Advertise is the address that other hosts connect to, if it
	// differs.
	Addr      string `json:"addr"`
	Advertise string `json:"advertise,omitempty"`
	// Seeds are the peer addresses of hosts to contact first. They are only used with a
	// directory.
	Seeds []string `json:"seeds,omitempty"`
	// TLS with a client CA means mutual TLS.
	TLS TLS `json:"tls,omitzero"`
	// KeyFile is the file with a key of at least 32 bytes, shared by all hosts, that
	// authenticates frames. It is an alternative to TLS.
	KeyFile string `json:"keyFile,omitempty"`
}

// Platform locates the services of the platform.
type Platform struct {
	// URL is the base URL of the table, the object store and the list of hosts.
	URL string `json:"url"`
	// TokenFile is the file with the bearer token, if one is needed.
	TokenFile string `json:"tokenFile,omitempty"`
	// Timeout bounds one request. The default is "2s".
	Timeout Duration `json:"timeout,omitempty"`
	// WritesPerSecond limits the transactions per second for idempotency-key claims, over all
	// hosts. The default is 300.
	WritesPerSecond int `json:"writesPerSecond,omitempty"`
}

// Directory locates the platform's directory of routes and targets.
type Directory struct {
	// Store is the IP address and port of the platform's store.
	Store string `json:"store"`
	// FirstStart is set when all hosts start for the first time and there is no client
	// traffic yet.
	FirstStart bool `json:"firstStart,omitempty"`
}

// Readiness configures the listener for readiness checks.
type Readiness struct {
	Addr string `json:"addr"`
}

// Retries limits the retries for each service over all hosts: in any interval of length Window, at
// most Ratio retries per request, plus Reserve.
type Retries struct {
	Ratio   float64  `json:"ratio"`
	Window  Duration `json:"window"`
	Reserve float64  `json:"reserve"`
}

// Measuring limits health probes.
type Measuring struct {
	// PerTarget is the maximum number of probes per second to one target, over all hosts.
	PerTarget float64 `json:"perTarget"`
}

// Quotas is the tolerance of tenants' quotas: in any interval of length Window, all hosts together
// may exceed a quota by the fraction Share of it, plus Requests.
type Quotas struct {
	Window   Duration `json:"window"`
	Share    float64  `json:"share"`
	Requests float64  `json:"requests"`
}

// Targets configures connections to targets.
type Targets struct {
	// CA is the file with the CA certificates that verify targets. Empty means plain TCP.
	CA string `json:"ca,omitempty"`
	// DialTimeout bounds a new connection. The default is "1s", and "250ms" with a directory.
	DialTimeout Duration `json:"dialTimeout,omitempty"`
	// SourceAddr is the local IP address of connections to targets, for hosts that have several.
	// Empty lets the system choose.
	SourceAddr string `json:"sourceAddr,omitempty"`
}

// Keys configures the idempotency keys that hosts issue.
type Keys struct {
	// File is the file with the secret of at least 32 bytes that authenticates issued keys. It
	// must be the same on all hosts. Without it no keys are issued.
	File string `json:"file,omitempty"`
	// Window is the validity of keys that contain their time of issue. The default is "24h".
	Window Duration `json:"window,omitempty"`
}

// Drain configures the graceful shutdown.
type Drain struct {
	// Notice is the time between the announcement of the shutdown to the load balancer and
	// clients and the closing of the listener. The default is "5s", and "2.8s" with a
	// directory.
	Notice Duration `json:"notice,omitempty"`
	// Limit is the time after which requests still in flight are cut off, with a warning. The
	// default is "10m", and "5.5s" with a directory.
	Limit Duration `json:"limit,omitempty"`
}

// TLS holds the paths of a listener's TLS files. TLS is disabled without a certificate.
type TLS struct {
	Cert string `json:"cert,omitempty"`
	Key  string `json:"key,omitempty"`
	// ClientCA is the CA that verifies client certificates, which are then required.
	ClientCA string `json:"clientCA,omitempty"`
}

// Enabled reports whether TLS is configured.
func (t TLS) Enabled() bool { return t.Cert != "" }

// Duration is a duration in the format of time.ParseDuration. It may be empty.
type Duration string

// Or returns the duration, or otherwise if it is empty. Load has validated the text.
func (d Duration) Or(otherwise time.Duration) time.Duration {
	v, err := time.ParseDuration(string(d))
	if err != nil {
		return otherwise
	}
	return v
}
