package edge_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/platform/standin"
)

// schools are two tenants, one of them without a limit.
func schools(keys ...string) []standin.Tenant {
	return []standin.Tenant{
		{Name: "ysgol", Keys: keys, Rate: 2, Burst: 2},
		{Name: "coleg", Keys: []string{"coleg-secret"}},
	}
}

func (l *lab) configureTenants(version uint64, tenants []standin.Tenant) {
	l.store.Put("op", "config", standin.ConfigWithTenants(version, tenants, l.routes()...))
}

// sendWith sends a request with an API key.
func (l *lab) sendWith(key string, d *daemon, path string) answer {
	l.key = key
	defer func() { l.key = "" }()
	return l.send(d, http.MethodGet, path, "")
}

// ran returns the headers with which a request ran at a target, or nil.
func (l *lab) ran(id string) http.Header {
	for _, tg := range l.targets {
		if h := tg.Headers(id); h != nil {
			return h
		}
	}
	return nil
}

// A key that is added or taken away is in force at every host within two seconds, and no log,
// answer or target ever sees one.
func TestKeysFromTheStoreToTheTarget(t *testing.T) {
	l := newLab(t, 3)
	everywhere := func(key string, status int) func() bool {
		return func() bool {
			for _, d := range l.daemons {
				if l.sendWith(key, d, "/lots/7").status != status {
					return false
				}
			}
			return true
		}
	}
	l.configureTenants(2, schools())
	l.await("no key, no request", everywhere("", http.StatusUnauthorized))
	start := time.Now()
	a := l.sendWith("coleg-secret", l.daemons[0], "/lots/7")
	assert.Equal(t, a.status, http.StatusOK)
	assert.DeepEqual(t, l.ran(a.id)[standin.HeaderTenant], []string{"coleg"})
	assert.Check(t, l.ran(a.id)[standin.HeaderKey] == nil)
	assert.Equal(t, l.sendWith("ysgol-secret", l.daemons[1], "/lots/7").status, http.StatusUnauthorized)
	l.configureTenants(3, schools("ysgol-secret"))
	l.await("the new key", func() bool { return l.sendWith("ysgol-secret", l.daemons[2], "/lots/7").status == http.StatusOK })
	l.configureTenants(4, schools())
	l.await("the key is gone", everywhere("ysgol-secret", http.StatusUnauthorized))
	assert.Check(t, time.Since(start) < 4*time.Second)
	for _, log := range l.logs {
		assert.Check(t, !strings.Contains(log.String(), "secret"))
	}
}

// A tenant that floods through all hosts gets its quota, and the other tenant does not notice.
func TestQuotaOverAllHosts(t *testing.T) {
	l := newLab(t, 3)
	l.configureTenants(2, schools("ysgol-secret"))
	l.await("the quota", func() bool { return l.sendWith("ysgol-secret", l.daemons[0], "/lots/7").status == http.StatusOK })
	served, refused := 0, 0
	for i := range 90 {
		a := l.sendWith("ysgol-secret", l.daemons[i%3], "/lots/7")
		if a.status == http.StatusOK {
			served++
			continue
		}
		refused++
		assert.Equal(t, a.status, http.StatusTooManyRequests)
		assert.Check(t, a.header.Get("Retry-After") != "")
		assert.Check(t, l.ran(a.id) == nil)
		assert.Equal(t, l.sendWith("coleg-secret", l.daemons[i%3], "/lots/7").status, http.StatusOK)
	}
	assert.Check(t, served <= 32, "%d within some seconds", served)
	assert.Check(t, refused > 0)
}
