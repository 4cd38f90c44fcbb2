package routing

import (
	"crypto/sha256"

	"github.com/cockroachdb/errors"
)

// KeyDigest stands for an API key: keys themselves are in no configuration, message or log.
type KeyDigest [16]byte

// keyLabel keeps digests of keys apart from those that other programs make of the same keys.
const keyLabel = "cactusproxy api key\x00"

// usualKeyBytes is the length of keys up to which no memory is allocated for a digest.
const usualKeyBytes = 256

// DigestKey returns the digest of an API key; false means that no tenant can hold it.
func DigestKey(key string) (d KeyDigest, ok bool) {
	if key == "" {
		return d, false
	}
	var room [len(keyLabel) + usualKeyBytes]byte
	raw := append(append(room[:0], keyLabel...), key...)
	sum := sha256.Sum256(raw)
	copy(d[:], sum[:])
	return d, true
}

// InheritPriority is the priority of a tenant whose requests have that of their routes.
const InheritPriority = -1

// Tenant is a customer of the operator: it is known by its keys and has a quota.
type Tenant struct {
	Name string      `msgpack:"name"`
	Keys []KeyDigest `msgpack:"keys"`
	// Priority is the rank of its requests, 0 being the most urgent, or RoutePriority.
	Priority int `msgpack:"priority"`
	// Rate is the requests a second that all hosts together take of it, and Burst how many
	// more may come at once. A rate of 0 means no limit.
	Rate  float64 `msgpack:"rate"`
	Burst float64 `msgpack:"burst"`
	// Regions are the only ones whose targets may get its requests; all if empty.
	Regions []string `msgpack:"regions"`
}

// Limited reports whether the tenant has a quota.
func (t *Tenant) Limited() bool { return t.Rate > 0 }

// checkTenants returns what is wrong with the tenants. A key of two tenants would make the
// requests of one those of the other.
func (c *Config) checkTenants() error {
	names := make(map[string]bool, len(c.Tenants))
	holders := make(map[KeyDigest]string, len(c.Tenants))
	for _, t := range c.Tenants {
		switch {
		case t.Name == "":
			return errors.New("tenant without a name")
		case names[t.Name]:
			return errors.Newf("tenant %q stands twice", t.Name)
		case t.Rate < 0 || t.Burst < 0:
			return errors.Newf("tenant %q has a negative rate or burst", t.Name)
		}
		names[t.Name] = true
		for _, k := range t.Keys {
			if holder, held := holders[k]; held && holder != t.Name {
				return errors.Newf("tenants %q and %q hold the same key", holder, t.Name)
			}
			holders[k] = t.Name
		}
	}
	return nil
}

// TenantByKey returns the tenant that holds a key, or nil.
func (t *Table) TenantByKey(key string) *Tenant {
	d, ok := DigestKey(key)
	if !ok {
		return nil
	}
	return t.byKey[d]
}

// Tenant returns the tenant with this name, or nil.
func (t *Table) Tenant(name string) *Tenant { return t.byTenant[name] }

func (t *Table) addTenants(c *Config) {
	t.byTenant = make(map[string]*Tenant, len(c.Tenants))
	t.byKey = make(map[KeyDigest]*Tenant, len(c.Tenants))
	for i := range c.Tenants {
		tenant := &c.Tenants[i]
		t.byTenant[tenant.Name] = tenant
		for _, k := range tenant.Keys {
			t.byKey[k] = tenant
		}
	}
}
