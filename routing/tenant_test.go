package routing

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// digestsOf returns the digests of all keys that are not empty.
func digestsOf(keys ...string) (list []KeyDigest) {
	for _, k := range keys {
		if d, ok := DigestKey(k); ok {
			list = append(list, d)
		}
	}
	return list
}

// tenantsConfig returns a configuration with tenants and no routes.
func tenantsConfig(tenants ...Tenant) *Config {
	return &Config{Version: 1, RequiresKey: true, Tenants: tenants}
}

func checkedTable(t testing.TB, c *Config) *Table {
	t.Helper()
	assert.NilError(t, c.Check())
	return NewTable(c, rand.New(rand.NewPCG(1, 1)))
}

func TestHolderOfAKey(t *testing.T) {
	long := strings.Repeat("k", 10<<10)
	tb := checkedTable(t, tenantsConfig(
		Tenant{Name: "a", Keys: digestsOf("key-1", "key-2")},
		Tenant{Name: "b", Keys: digestsOf("key-3")},
		Tenant{Name: "none"},
		Tenant{Name: "c", Keys: digestsOf(long)},
	))
	for key, want := range map[string]string{"key-1": "a", "key-2": "a", "key-3": "b", long: "c"} {
		assert.Equal(t, tb.TenantByKey(key).Name, want)
	}
	for _, key := range []string{"", "key-", "key-11", "KEY-1", " key-1", "none", long[1:]} {
		assert.Check(t, tb.TenantByKey(key) == nil, "%.20q", key)
	}
}

// A key of two tenants would make requests of one count as those of the other.
func TestKeyOfTwoTenantsIsRefused(t *testing.T) {
	for name, tenants := range map[string][]Tenant{
		"shared key": {{Name: "a", Keys: digestsOf("k")}, {Name: "b", Keys: digestsOf("x", "k")}},
		"same name":  {{Name: "a"}, {Name: "a"}},
		"no name":    {{}},
		"rate":       {{Name: "a", Rate: -1}},
		"burst":      {{Name: "a", Burst: -1}},
	} {
		assert.Check(t, tenantsConfig(tenants...).Check() != nil, name)
	}
	assert.NilError(t, tenantsConfig(Tenant{Name: "a", Keys: digestsOf("k", "k")}).Check(), "a tenant may list a key twice")
}

func TestThousandsOfKeysAreAllFound(t *testing.T) {
	var tenants []Tenant
	for i := range 10_000 {
		tenants = append(tenants, Tenant{Name: fmt.Sprint("t", i), Keys: digestsOf(fmt.Sprint("k", i), fmt.Sprint("l", i))})
	}
	tb := checkedTable(t, tenantsConfig(tenants...))
	for i := range tenants {
		assert.Equal(t, tb.TenantByKey(fmt.Sprint("l", i)).Name, tenants[i].Name)
	}
}

func BenchmarkHolderAmong10000Tenants(b *testing.B) {
	var tenants []Tenant
	for i := range 10_000 {
		tenants = append(tenants, Tenant{Name: fmt.Sprint("t", i), Keys: digestsOf(fmt.Sprint("key-of-tenant-", i))})
	}
	tb := checkedTable(b, tenantsConfig(tenants...))
	b.ReportAllocs()
	for b.Loop() {
		tb.TenantByKey("key-of-tenant-777")
	}
}
