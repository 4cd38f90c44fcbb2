// Package settings holds what one daemon is told at its start: who it is, where
// it listens and where the platform is. It is read once and never changes while
// the daemon runs; what operators change at run time is in package declare.
package settings

import "time"

// Settings of one daemon, in JSON with comments.
type Settings struct {
	// Host says who this daemon is.
	Host Host `json:"host"`
	// Callers is the listener for callers' HTTP.
	Callers Callers `json:"callers"`
	// Operators is the listener for cactusctl and metrics.
	Operators Operators `json:"operators"`
	// Peers is the listener for other entry hosts.
	Peers Peers `json:"peers"`
	// Platform says where the table, the object store and the host list are.
	Platform Platform `json:"platform"`
	// Directory says where the platform keeps its record of routes and targets,
	// on platforms that keep one. Platform and Operators' changes are not used
	// there.
	Directory Directory `json:"directory,omitzero"`
	// Readiness is the listener for the platform's balancer; without it the
	// callers' listener answers.
	Readiness Readiness `json:"readiness,omitzero"`
	// Retries bounds further attempts, Measuring questions to targets; both are
	// used with a directory alone.
	Retries   Retries   `json:"retries,omitzero"`
	Measuring Measuring `json:"measuring,omitzero"`
	// Quotas says how exactly tenants' quotas are kept; used with a directory alone.
	Quotas Quotas `json:"quotas,omitzero"`
	// MemoryMB is the memory that the daemon may use, in megabytes; 0 is no limit.
	MemoryMB int `json:"memoryMB,omitempty"`
	// LinkMbps is what the host's link carries each way, in megabits a second; 0 if not
	// known.
	LinkMbps float64 `json:"linkMbps,omitempty"`
	// Zones are the regions of all availability zones, by zone; needed where routes are
	// bound to regions.
	Zones map[string]string `json:"zones,omitempty"`
	// Targets says how to connect to targets.
	Targets Targets `json:"targets,omitzero"`
	// Keys is for idempotency keys that hosts issue.
	Keys Keys `json:"keys,omitzero"`
	// Drain is how the daemon stops.
	Drain Drain `json:"drain,omitzero"`
	// Plaintext must be the words of AcceptPlaintext if a listener outside
	// loopback has no TLS, or, for peers, no key.
	Plaintext string `json:"plaintext,omitempty"`
	// LogLevel is debug, info, warn or error; info if empty.
	LogLevel string `json:"logLevel,omitempty"`
}

// AcceptPlaintext is what Plaintext must say for a listener outside loopback to
// start without protection.
const AcceptPlaintext = "accept plaintext outside loopback"

// Host says who a daemon is.
type Host struct {
	// ID is the host's name in the platform's list.
	ID string `json:"id"`
	// Zone is the host's availability zone.
	Zone string `json:"zone"`
	// Region is the region the zone is in; optional.
	Region string `json:"region,omitempty"`
}

// Callers is the listener for callers.
type Callers struct {
	// Addr is an IP address and port.
	Addr string `json:"addr"`
	TLS  TLS    `json:"tls,omitzero"`
	// MaxHeaderBytes bounds a request's header; 64 KiB if 0, with a directory 256 KiB.
	MaxHeaderBytes int `json:"maxHeaderBytes,omitempty"`
	// BodyMemoryBytes bounds the bodies kept in memory for retries over all
	// calls; 128 MiB if 0.
	BodyMemoryBytes int64 `json:"bodyMemoryBytes,omitempty"`
	// ReadHeaderTimeout bounds the arrival of a request's header; "5s" if empty, with a
	// directory "15s".
	ReadHeaderTimeout Duration `json:"readHeaderTimeout,omitempty"`
	// IdleTimeout closes a caller's connection unused for this long; "120s" if
	// empty.
	IdleTimeout Duration `json:"idleTimeout,omitempty"`
}

// Operators is the listener for operators.
type Operators struct {
	Addr string `json:"addr"`
	TLS  TLS    `json:"tls,omitzero"`
	// TokenFile holds the token that changes must carry. Without it every
	// change is refused; plan, status, history and metrics need none.
	TokenFile string `json:"tokenFile,omitempty"`
}

// Peers is the listener for other entry hosts.
type Peers struct {
	// Addr is where the daemon listens; Advertise is the address that others
	// use, if it differs.
	Addr      string `json:"addr"`
	Advertise string `json:"advertise,omitempty"`
	// Seeds are peer addresses of other hosts, to begin with; used with a
	// directory alone.
	Seeds []string `json:"seeds,omitempty"`
	// TLS with a client CA is mutual TLS.
	TLS TLS `json:"tls,omitzero"`
	// KeyFile holds a key shared by all hosts that authenticates frames, in
	// place of TLS; at least 32 bytes.
	KeyFile string `json:"keyFile,omitempty"`
}

// Platform says where the platform's services are.
type Platform struct {
	// URL is the base URL of the table, object store and host list.
	URL string `json:"url"`
	// TokenFile holds the bearer token, if one is needed.
	TokenFile string `json:"tokenFile,omitempty"`
	// Timeout bounds one request; "2s" if empty.
	Timeout Duration `json:"timeout,omitempty"`
	// WritesPerSecond is how many transactions a second the claims of all hosts
	// together may use; 300 if 0.
	WritesPerSecond int `json:"writesPerSecond,omitempty"`
}

// Directory says where the platform's record is.
type Directory struct {
	// Store is the IP address and port of the platform's store.
	Store string `json:"store"`
	// FirstStart is set when the whole system starts for the first time, and
	// there is time before callers come.
	FirstStart bool `json:"firstStart,omitempty"`
}

// Readiness is the listener for the platform's balancer.
type Readiness struct {
	Addr string `json:"addr"`
}

// Retries bounds the further attempts of a service's calls over all hosts: in
// every span as long as Window, no more than Ratio for each call and Reserve
// besides.
type Retries struct {
	Ratio   float64  `json:"ratio"`
	Window  Duration `json:"window"`
	Reserve float64  `json:"reserve"`
}

// Measuring bounds questions to targets.
type Measuring struct {
	// PerTarget is the questions that a target may get in a second, from all hosts
	// together.
	PerTarget float64 `json:"perTarget"`
}

// Quotas is by how much all hosts together may exceed a tenant's quota: in every span as
// long as Window, by Share of the quota and Requests besides.
type Quotas struct {
	Window   Duration `json:"window"`
	Share    float64  `json:"share"`
	Requests float64  `json:"requests"`
}

// Targets says how to connect to targets.
type Targets struct {
	// CA holds the certificates that targets' certificates are checked
	// against; empty means plain TCP.
	CA string `json:"ca,omitempty"`
	// DialTimeout bounds a new connection; "1s" if empty.
	DialTimeout Duration `json:"dialTimeout,omitempty"`
}

// Keys is for idempotency keys that hosts issue.
type Keys struct {
	// File holds the key that authenticates issued keys, the same on all
	// hosts; at least 32 bytes. Without it no keys are issued.
	File string `json:"file,omitempty"`
	// Window is how long a key that carries its time is good for; "24h" if
	// empty.
	Window Duration `json:"window,omitempty"`
}

// Drain is how the daemon stops.
type Drain struct {
	// Notice is how long the balancer and callers are told before the
	// listener closes; "5s" if empty.
	Notice Duration `json:"notice,omitempty"`
	// Limit cuts off calls still in flight after this time, with a warning;
	// "10m" if empty.
	Limit Duration `json:"limit,omitempty"`
}

// TLS names the files of a listener's certificate.
type TLS struct {
	Cert string `json:"cert,omitempty"`
	Key  string `json:"key,omitempty"`
	// ClientCA has clients prove themselves with a certificate of this CA.
	ClientCA string `json:"clientCA,omitempty"`
}

// Enabled reports whether a certificate is named.
func (t TLS) Enabled() bool { return t.Cert != "" }

// Duration is a time.Duration as time.ParseDuration reads it.
type Duration string

// Or returns the duration, or otherwise if it is empty. The text was checked
// when the settings were loaded.
func (d Duration) Or(otherwise time.Duration) time.Duration {
	v, err := time.ParseDuration(string(d))
	if err != nil {
		return otherwise
	}
	return v
}
