package edge_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/internal/fakes/faultypath"
	"github.com/cactusproxy/cactusproxy/platform/standin"
)

// twoTenants returns two tenants: one with the given keys and a quota, one without a quota.
func twoTenants(keys ...string) []standin.Tenant {
	return []standin.Tenant{
		{Name: "ysgol", Keys: keys, Rate: 2, Burst: 2},
		{Name: "coleg", Keys: []string{"coleg-secret"}},
	}
}

func (l *localCluster) configureTenants(version uint64, tenants []standin.Tenant) {
	l.store.Put("op", "config", standin.ConfigWithTenants(version, tenants, l.routes()...))
}

// sendWithKey sends a request with an API key.
func (l *localCluster) sendWithKey(key string, d *daemon, path string) response {
	l.key = key
	defer func() { l.key = "" }()
	return l.send(d, http.MethodGet, path, "")
}

// receivedHeaders returns the headers of a request as its target received them, or nil if it did
// not run.
func (l *localCluster) receivedHeaders(id string) http.Header {
	for _, tg := range l.targets {
		if h := tg.Headers(id); h != nil {
			return h
		}
	}
	return nil
}

// Added and removed API keys must take effect on every host within two seconds, and keys must
// never appear in logs or at targets.
func TestKeysFromTheStoreToTheTarget(t *testing.T) {
	l := newLocalCluster(t, 3)
	everywhere := func(key string, status int) func() bool {
		return func() bool {
			for _, d := range l.daemons {
				if l.sendWithKey(key, d, "/lots/7").status != status {
					return false
				}
			}
			return true
		}
	}
	l.configureTenants(2, twoTenants())
	l.await("requests without a key are rejected", everywhere("", http.StatusUnauthorized))
	start := time.Now()
	a := l.sendWithKey("coleg-secret", l.daemons[0], "/lots/7")
	assert.Equal(t, a.status, http.StatusOK)
	assert.DeepEqual(t, l.receivedHeaders(a.id)[standin.HeaderTenant], []string{"coleg"})
	assert.Check(t, l.receivedHeaders(a.id)[standin.HeaderKey] == nil)
	assert.Equal(t, l.sendWithKey("ysgol-secret", l.daemons[1], "/lots/7").status, http.StatusUnauthorized)
	l.configureTenants(3, twoTenants("ysgol-secret"))
	l.await("the new key is accepted", func() bool { return l.sendWithKey("ysgol-secret", l.daemons[2], "/lots/7").status == http.StatusOK })
	l.configureTenants(4, twoTenants())
	l.await("the removed key is rejected", everywhere("ysgol-secret", http.StatusUnauthorized))
	assert.Check(t, time.Since(start) < 4*time.Second)
	for _, log := range l.logs {
		assert.Check(t, !strings.Contains(log.String(), "secret"))
	}
}

// A tenant that sends too many requests through all hosts gets its quota and no more, and the
// requests of another tenant are not affected.
func TestQuotaOverAllHosts(t *testing.T) {
	newLocalCluster(t, 3).assertQuotaHolds()
}

// Guards against hosts that own quotas, or ask their owners, and are cut off from all targets.
func TestQuotaHoldsOverHostsCutOffFromTargets(t *testing.T) {
	t.Parallel()
	l, _ := newCutCluster(t, 3)
	l.daemons[1].path.Cut(faultypath.Silent)
	l.cutTraffic(l.daemons[1:2], 0, 1500*time.Millisecond)
	l.assertQuotaHolds()
}

// assertQuotaHolds sends more than a tenant's quota through all hosts.
func (l *localCluster) assertQuotaHolds() {
	t := l.t
	l.configureTenants(2, twoTenants("ysgol-secret"))
	l.await("the tenant's key is accepted", func() bool { return l.sendWithKey("ysgol-secret", l.daemons[0], "/lots/7").status == http.StatusOK })
	served, refused := 0, 0
	for i := range 90 {
		a := l.sendWithKey("ysgol-secret", l.daemons[i%3], "/lots/7")
		if a.status == http.StatusOK {
			served++
			continue
		}
		refused++
		assert.Equal(t, a.status, http.StatusTooManyRequests)
		assert.Check(t, a.header.Get("Retry-After") != "")
		assert.Check(t, l.receivedHeaders(a.id) == nil)
		assert.Equal(t, l.sendWithKey("coleg-secret", l.daemons[i%3], "/lots/7").status, http.StatusOK)
	}
	assert.Check(t, served <= 32, "%d served within seconds", served)
	assert.Check(t, refused > 0)
}
