package settings

import (
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"time"

	"go.uber.org/zap/zapcore"
)

// invalidSetting is an invalid setting. locate turns it into a Problem with its line in the file.
type invalidSetting struct {
	field   string
	message string
}

// checker collects invalid settings.
type checker struct{ invalid []invalidSetting }

func (c *checker) add(field, format string, args ...any) {
	c.invalid = append(c.invalid, invalidSetting{field: field, message: fmt.Sprintf(format, args...)})
}

func (s *Settings) check() []invalidSetting {
	c := new(checker)
	c.required("host.id", s.Host.ID)
	c.required("host.zone", s.Host.Zone)
	c.listener("callers", s.Callers.Addr, s.Callers.TLS, false, s.Plaintext)
	c.listener("operators", s.Operators.Addr, s.Operators.TLS, false, s.Plaintext)
	c.listener("peers", s.Peers.Addr, s.Peers.TLS, s.Peers.KeyFile != "", s.Plaintext)
	if s.Directory.Store == "" {
		c.operators(s.Operators)
		c.platform(s.Platform)
	} else {
		c.directory(s)
	}
	c.notNegative("callers.maxHeaderBytes", int64(s.Callers.MaxHeaderBytes))
	c.notNegative("callers.bodyMemoryBytes", s.Callers.BodyMemoryBytes)
	c.notNegative("callers.maxConns", int64(s.Callers.MaxConns))
	c.notNegative("descriptors", int64(s.Descriptors))
	c.notNegative("callers.pipeline.requestsPerConnection", int64(s.Callers.Pipeline.RequestsPerConnection))
	c.notNegative("callers.pipeline.requestsPerHost", int64(s.Callers.Pipeline.RequestsPerHost))
	c.notNegative("platform.writesPerSecond", int64(s.Platform.WritesPerSecond))
	c.duration("callers.readHeaderTimeout", s.Callers.ReadHeaderTimeout)
	c.duration("callers.idleTimeout", s.Callers.IdleTimeout)
	c.duration("platform.timeout", s.Platform.Timeout)
	c.duration("targets.dialTimeout", s.Targets.DialTimeout)
	c.ip("targets.sourceAddr", s.Targets.SourceAddr)
	c.duration("keys.window", s.Keys.Window)
	c.duration("drain.notice", s.Drain.Notice)
	c.duration("drain.limit", s.Drain.Limit)
	c.plaintext(s.Plaintext)
	c.logLevel(s.LogLevel)
	return c.invalid
}

func (c *checker) required(field, v string) {
	if v == "" {
		c.add(field, "must be given")
	}
}

// ip checks an optional IP address.
func (c *checker) ip(field, v string) {
	if v != "" && net.ParseIP(v) == nil {
		c.add(field, "must be an IP address")
	}
}

func (c *checker) notNegative(field string, n int64) {
	if n < 0 {
		c.add(field, "must not be negative, got %d", n)
	}
}

func (c *checker) duration(field string, d Duration) {
	if d == "" {
		return
	}
	v, err := time.ParseDuration(string(d))
	if err != nil {
		c.add(field, "want a duration such as \"5s\", got %q", string(d))
		return
	}
	if v <= 0 {
		c.add(field, "must be positive, got %s", v)
	}
}

// listener checks the address and TLS settings of a listener. Addresses must be numeric, as each
// host might resolve a name differently.
func (c *checker) listener(section, addr string, t TLS, keyed bool, plaintext string) {
	field := section + ".addr"
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		c.add(field, "want an IP address and port such as 127.0.0.1:8080, got %q", addr)
		return
	}
	if (t.Cert == "") != (t.Key == "") {
		c.add(section+".tls", "cert and key must be given together")
	}
	if t.ClientCA != "" && !t.Enabled() {
		c.add(section+".tls", "clientCA needs cert and key")
	}
	open := !t.Enabled() && !keyed && !ap.Addr().IsLoopback()
	if open && plaintext != AcceptPlaintext {
		c.add(field, "%s is not loopback and has no TLS; configure TLS, or set \"plaintext\": %q", addr, AcceptPlaintext)
	}
}

func (c *checker) operators(o Operators) {
	ap, err := netip.ParseAddrPort(o.Addr)
	if err == nil && o.TokenFile == "" && !ap.Addr().IsLoopback() {
		c.add("operators.tokenFile", "must be given when the listener is not loopback")
	}
}

func (c *checker) platform(p Platform) {
	u, err := url.Parse(p.URL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.add("platform.url", "want a URL such as http://127.0.0.1:7000, got %q", p.URL)
	}
}

// directory checks the settings that are only used with a directory.
func (c *checker) directory(s *Settings) {
	c.address("directory.store", s.Directory.Store)
	c.address("readiness.addr", s.Readiness.Addr)
	for i, seed := range s.Peers.Seeds {
		c.address(fmt.Sprintf("peers.seeds.%d", i), seed)
	}
	c.duration("retries.window", s.Retries.Window)
	if s.Retries.Ratio < 0 || s.Retries.Ratio > 1 {
		c.add("retries.ratio", "want a number from 0 to 1, got %g", s.Retries.Ratio)
	}
	if s.Retries.Reserve < 0 {
		c.add("retries.reserve", "must not be negative, got %g", s.Retries.Reserve)
	}
	c.quotas(s.Quotas)
	if s.Measuring.PerTarget < 0 {
		c.add("measuring.perTarget", "must not be negative, got %g", s.Measuring.PerTarget)
	}
	if region, ok := s.Zones[s.Host.Zone]; ok && s.Host.Region != "" && region != s.Host.Region {
		c.add("zones", "zone %q of this host is in region %q according to host.region, but in %q here", s.Host.Zone, s.Host.Region, region)
	}
	c.notNegative("memoryMB", int64(s.MemoryMB))
	if s.LinkMbps < 0 {
		c.add("linkMbps", "must not be negative, got %g", s.LinkMbps)
	}
}

func (c *checker) quotas(q Quotas) {
	c.duration("quotas.window", q.Window)
	if q.Share < 0 || q.Share > 1 {
		c.add("quotas.share", "want a number from 0 to 1, got %g", q.Share)
	}
	if q.Requests < 0 {
		c.add("quotas.requests", "must not be negative, got %g", q.Requests)
	}
}

func (c *checker) address(field, addr string) {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		c.add(field, "want an IP address and port such as 127.0.0.1:8080, got %q", addr)
	}
}

func (c *checker) plaintext(value string) {
	if value != "" && value != AcceptPlaintext {
		c.add("plaintext", "the only accepted value is %q", AcceptPlaintext)
	}
}

func (c *checker) logLevel(level string) {
	if level == "" {
		return
	}
	if _, err := zapcore.ParseLevel(level); err != nil {
		c.add("logLevel", "want debug, info, warn or error, got %q", level)
	}
}
