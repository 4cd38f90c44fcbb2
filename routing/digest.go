package routing

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a hash of the configuration that does not depend on the order of its routes and
// tenants. Hosts with different versions of this program compare it: if the hashed content
// changes, Delta.Digest needs a new name on the wire.
func (c *Config) Digest() uint64 {
	var sum uint64
	for _, digest := range routeDigests(c.Routes) {
		sum += digest
	}
	for _, digest := range tenantDigests(c.Tenants) {
		sum += digest
	}
	return sum + xxhash.Sum64(c.appendSettings(nil))
}

// routeDigests returns the sum of the digests of all routes of each name. A sum, unlike an
// exclusive or, counts a duplicate route.
func routeDigests(routes []Route) map[string]uint64 {
	m := make(map[string]uint64, len(routes))
	var raw []byte
	for i := range routes {
		raw = routes[i].appendTo(raw[:0])
		m[routes[i].Name] += xxhash.Sum64(raw)
	}
	return m
}

// tenantDigests returns the digest of each tenant by name.
func tenantDigests(tenants []Tenant) map[string]uint64 {
	m := make(map[string]uint64, len(tenants))
	var raw []byte
	for i := range tenants {
		raw = tenants[i].appendTo(raw[:0])
		m[tenants[i].Name] = xxhash.Sum64(raw)
	}
	return m
}

// appendTo appends an encoding of all fields. Routes are equal if their encodings are equal.
func (r *Route) appendTo(b []byte) []byte {
	b = appendString(b, r.Name)
	b = appendString(b, r.Host)
	b = appendString(b, r.Prefix)
	b = binary.AppendVarint(b, int64(r.Kind))
	b = binary.AppendVarint(b, int64(r.Timeout))
	b = binary.AppendVarint(b, int64(r.Objective))
	b = binary.AppendVarint(b, int64(r.Priority))
	b = binary.AppendVarint(b, int64(r.MaxAttempts))
	b = appendBool(b, r.Public)
	b = appendStrings(b, r.Regions)
	for _, p := range r.Split {
		b = appendString(b, p.Service)
		b = appendFloat(b, p.Weight)
	}
	return b
}

// appendTo appends an encoding of all fields.
func (t *Tenant) appendTo(b []byte) []byte {
	b = append(b, "tenant "...) // differs from the encoding of any route
	b = appendString(b, t.Name)
	b = binary.AppendVarint(b, int64(t.Priority))
	b = appendFloat(b, t.Rate)
	b = appendFloat(b, t.Burst)
	b = appendStrings(b, t.Regions)
	for _, k := range t.Keys {
		b = append(b, k[:]...)
	}
	return b
}

// appendSettings appends an encoding of the configuration without its routes and tenants.
func (c *Config) appendSettings(b []byte) []byte {
	b = binary.AppendUvarint(b, c.Version)
	b = appendBool(b, c.RequiresKey)
	b = binary.AppendUvarint(b, uint64(len(c.Services)))
	for _, s := range c.Services {
		b = appendString(b, s.Name)
		b = appendString(b, s.HealthPath)
		b = binary.AppendVarint(b, int64(s.MaxConns))
		b = binary.AppendVarint(b, int64(s.WarmUp))
		b = appendFloat(b, s.ColdRate)
	}
	b = binary.AppendVarint(b, int64(c.Limits.MaxHeaderBytes))
	b = binary.AppendVarint(b, c.Limits.MaxBodyBytes)
	b = binary.AppendVarint(b, int64(c.Limits.HeaderTimeout))
	return binary.AppendVarint(b, int64(c.Limits.IdleTimeout))
}

// appendString appends a string with a length prefix, so that consecutive strings are unambiguous.
func appendString(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

func appendStrings(b []byte, list []string) []byte {
	b = binary.AppendUvarint(b, uint64(len(list)))
	for _, s := range list {
		b = appendString(b, s)
	}
	return b
}

func appendFloat(b []byte, n float64) []byte {
	return binary.BigEndian.AppendUint64(b, math.Float64bits(n))
}

func appendBool(b []byte, v bool) []byte {
	if v {
		return append(b, 1)
	}
	return append(b, 0)
}
