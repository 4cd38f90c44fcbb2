package routing

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Digest is the same for configurations that say the same, whatever the order of their
// routes and tenants. Hosts of several versions of this program compare it: if what it
// covers changes, Delta.Digest gets another name on the wire.
func (c *Config) Digest() uint64 {
	var sum uint64
	for _, mark := range routeMarks(c.Routes) {
		sum += mark
	}
	for _, mark := range tenantMarks(c.Tenants) {
		sum += mark
	}
	return sum + xxhash.Sum64(c.appendRest(nil))
}

// routeMarks returns for each name the sum of the digests of its routes: a sum, since the
// same route may stand twice.
func routeMarks(routes []Route) map[string]uint64 {
	m := make(map[string]uint64, len(routes))
	var raw []byte
	for i := range routes {
		raw = routes[i].appendTo(raw[:0])
		m[routes[i].Name] += xxhash.Sum64(raw)
	}
	return m
}

// tenantMarks returns the digest of each tenant by its name.
func tenantMarks(tenants []Tenant) map[string]uint64 {
	m := make(map[string]uint64, len(tenants))
	var raw []byte
	for i := range tenants {
		raw = tenants[i].appendTo(raw[:0])
		m[tenants[i].Name] = xxhash.Sum64(raw)
	}
	return m
}

// appendTo appends all that a route says. Two routes say the same if the bytes are the same.
func (r *Route) appendTo(b []byte) []byte {
	b = appendText(b, r.Name)
	b = appendText(b, r.Host)
	b = appendText(b, r.Prefix)
	b = binary.AppendVarint(b, int64(r.Kind))
	b = binary.AppendVarint(b, int64(r.Timeout))
	b = binary.AppendVarint(b, int64(r.Objective))
	b = binary.AppendVarint(b, int64(r.Priority))
	b = binary.AppendVarint(b, int64(r.MaxAttempts))
	b = appendBool(b, r.Public)
	b = appendTexts(b, r.Regions)
	for _, p := range r.Split {
		b = appendText(b, p.Service)
		b = appendNumber(b, p.Weight)
	}
	return b
}

// appendTo appends all that a tenant says.
func (t *Tenant) appendTo(b []byte) []byte {
	b = append(b, "tenant "...) // apart from a route that has the same fields
	b = appendText(b, t.Name)
	b = binary.AppendVarint(b, int64(t.Priority))
	b = appendNumber(b, t.Rate)
	b = appendNumber(b, t.Burst)
	b = appendTexts(b, t.Regions)
	for _, k := range t.Keys {
		b = append(b, k[:]...)
	}
	return b
}

// appendRest appends all that a configuration says beside its routes and tenants.
func (c *Config) appendRest(b []byte) []byte {
	b = binary.AppendUvarint(b, c.Version)
	b = appendBool(b, c.RequiresKey)
	b = binary.AppendUvarint(b, uint64(len(c.Services)))
	for _, s := range c.Services {
		b = appendText(b, s.Name)
		b = appendText(b, s.HealthPath)
		b = binary.AppendVarint(b, int64(s.MaxConns))
		b = binary.AppendVarint(b, int64(s.WarmUp))
		b = appendNumber(b, s.ColdRate)
	}
	b = binary.AppendVarint(b, int64(c.Limits.MaxHeaderBytes))
	b = binary.AppendVarint(b, c.Limits.MaxBodyBytes)
	b = binary.AppendVarint(b, int64(c.Limits.HeaderTimeout))
	return binary.AppendVarint(b, int64(c.Limits.IdleTimeout))
}

// appendText appends a text with its length, so that two texts in a row are not taken for
// two others.
func appendText(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

func appendTexts(b []byte, list []string) []byte {
	b = binary.AppendUvarint(b, uint64(len(list)))
	for _, s := range list {
		b = appendText(b, s)
	}
	return b
}

func appendNumber(b []byte, n float64) []byte {
	return binary.BigEndian.AppendUint64(b, math.Float64bits(n))
}

func appendBool(b []byte, v bool) []byte {
	if v {
		return append(b, 1)
	}
	return append(b, 0)
}
