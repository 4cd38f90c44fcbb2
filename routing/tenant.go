package routing

import (
	"crypto/sha256"

	"github.com/cockroachdb/errors"
)

// KeyDigest identifies an API key. The keys themselves must not appear in a configuration, a
// message to a peer or a log.
type KeyDigest [16]byte

// keyHashPrefix is hashed before the key, so that digests differ from those that other programs
// compute of the same keys.
const keyHashPrefix = "cactusproxy api key\x00"

// typicalKeyBytes is the key length up to which DigestKey does not allocate memory.
const typicalKeyBytes = 256

// DigestKey returns the digest of an API key. It returns false for the empty key, which no tenant
// can have.
func DigestKey(key string) (d KeyDigest, ok bool) {
	if key == "" {
		return d, false
	}
	var buf [len(keyHashPrefix) + typicalKeyBytes]byte
	raw := append(append(buf[:0], keyHashPrefix...), key...)
	sum := sha256.Sum256(raw)
	copy(d[:], sum[:])
	return d, true
}

// InheritPriority is the value of Tenant.Priority for requests that use the priority of their
// route.
const InheritPriority = -1

// Tenant is a customer of the operator. It is identified by its API keys and may have a quota.
type Tenant struct {
	Name string      `msgpack:"name"`
	Keys []KeyDigest `msgpack:"keys"`
	// Priority ranks the tenant's requests, 0 being the most urgent, or is InheritPriority.
	Priority int `msgpack:"priority"`
	// Rate is the quota in requests per second over all hosts, and Burst the number of
	// requests accepted at once beyond it. A rate of 0 means no quota.
	Rate  float64 `msgpack:"rate"`
	Burst float64 `msgpack:"burst"`
	// Regions restricts the tenant's requests to targets in these regions. Empty means all
	// regions.
	Regions []string `msgpack:"regions"`
}

// HasQuota reports whether the tenant has a quota.
func (t *Tenant) HasQuota() bool { return t.Rate > 0 }

// checkTenants returns an error if the tenants are invalid. A key must not be shared: requests of
// one tenant would count as those of the other.
func (c *Config) checkTenants() error {
	names := make(map[string]bool, len(c.Tenants))
	holders := make(map[KeyDigest]string, len(c.Tenants))
	for _, t := range c.Tenants {
		switch {
		case t.Name == "":
			return errors.New("tenant has no name")
		case names[t.Name]:
			return errors.Newf("duplicate tenant %q", t.Name)
		case t.Rate < 0 || t.Burst < 0:
			return errors.Newf("tenant %q has a negative rate or burst", t.Name)
		}
		names[t.Name] = true
		for _, k := range t.Keys {
			if holder, held := holders[k]; held && holder != t.Name {
				return errors.Newf("tenants %q and %q have the same key", holder, t.Name)
			}
			holders[k] = t.Name
		}
	}
	return nil
}

// TenantByKey returns the tenant with this API key, or nil.
func (t *Table) TenantByKey(key string) *Tenant {
	d, ok := DigestKey(key)
	if !ok {
		return nil
	}
	return t.tenantByKey[d]
}

// Tenant returns the tenant with this name, or nil.
func (t *Table) Tenant(name string) *Tenant { return t.tenantByName[name] }

func (t *Table) indexTenants(c *Config) {
	t.tenantByName = make(map[string]*Tenant, len(c.Tenants))
	t.tenantByKey = make(map[KeyDigest]*Tenant, len(c.Tenants))
	for i := range c.Tenants {
		tenant := &c.Tenants[i]
		t.tenantByName[tenant.Name] = tenant
		for _, k := range tenant.Keys {
			t.tenantByKey[k] = tenant
		}
	}
}
