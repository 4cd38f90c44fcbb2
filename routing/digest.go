package routing

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Digest is the same for configurations that say the same, whatever the order of their
// routes. Hosts of several versions of this program compare it: if what it covers
// changes, Delta.Digest gets another name on the wire.
func (c *Config) Digest() uint64 {
	var raw []byte
	var sum uint64
	for i := range c.Routes {
		raw = c.Routes[i].appendTo(raw[:0])
		sum += xxhash.Sum64(raw)
	}
	raw = c.appendRest(raw[:0])
	return sum + xxhash.Sum64(raw)
}

// marks returns for each name the sum of the digests of its routes: a sum, since the same
// route may stand twice.
func (c *Config) marks() map[string]uint64 {
	m := make(map[string]uint64, len(c.Routes))
	var raw []byte
	for i := range c.Routes {
		raw = c.Routes[i].appendTo(raw[:0])
		m[c.Routes[i].Name] += xxhash.Sum64(raw)
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
	b = binary.AppendUvarint(b, uint64(len(r.Regions)))
	for _, region := range r.Regions {
		b = appendText(b, region)
	}
	for _, p := range r.Parts {
		b = appendText(b, p.Service)
		b = binary.BigEndian.AppendUint64(b, math.Float64bits(p.Weight))
	}
	return b
}

// appendRest appends all that a configuration says beside its routes.
func (c *Config) appendRest(b []byte) []byte {
	b = binary.AppendUvarint(b, c.Version)
	b = binary.AppendUvarint(b, uint64(len(c.Services)))
	for _, s := range c.Services {
		b = appendText(b, s.Name)
		b = appendText(b, s.HealthPath)
		b = binary.AppendVarint(b, int64(s.MaxConns))
		b = binary.AppendVarint(b, int64(s.WarmUp))
		b = binary.BigEndian.AppendUint64(b, math.Float64bits(s.ColdRate))
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
