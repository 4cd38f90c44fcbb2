package entry

import (
	"bufio"
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/dispatch"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/policy/quota"
	"github.com/cactusproxy/cactusproxy/policy/suspicion"
	"github.com/cactusproxy/cactusproxy/routing"
	"github.com/cactusproxy/cactusproxy/targetapi"
)

const (
	headerKey    = "X-Api-Key"
	headerTenant = "X-Tenant"
)

// tenantsConfig has one public route, and one for tenants.
func tenantsConfig(version uint64, tenants ...routing.Tenant) *routing.Config {
	parts := []routing.WeightedService{{Service: "lots", Weight: 1}}
	return &routing.Config{
		Version:     version,
		RequiresKey: true,
		Routes: []routing.Route{
			{Name: "lots", Host: "auction.example", Prefix: "/lots/", Kind: routing.Safe, Priority: 2, Timeout: time.Second, Split: parts},
			{Name: "home", Host: "auction.example", Prefix: "/home/", Kind: routing.Safe, Public: true, Timeout: time.Second, Split: parts},
		},
		Services: []routing.Service{{Name: "lots"}},
		Tenants:  tenants,
	}
}

func tenant(name string, keys ...string) routing.Tenant {
	t := routing.Tenant{Name: name, Priority: routing.InheritPriority}
	for _, k := range keys {
		d, _ := routing.DigestKey(k)
		t.Keys = append(t.Keys, d)
	}
	return t
}

// keyedServer is a server whose routes require API keys.
type keyedServer struct {
	*Server
	sent  *recorder
	board *blackboard.Board
	log   *lastCallLog
}

func newKeyedServer(t testing.TB, c *routing.Config) *keyedServer {
	t.Helper()
	board := blackboard.New()
	t.Cleanup(func() { _ = board.Close() })
	board.Status.Store(blackboard.Status{ConfigConfirmed: true})
	d := &recorder{reply: dispatch.Reply{Result: outcome.Refuse(outcome.ReasonNoTarget)}}
	log := new(lastCallLog)
	s := New(Deps{
		Board: board, Dispatcher: d, Metrics: metrics.New(), BodyMemory: 1 << 20,
		ConfigFresh: func() bool { return true },
		Finder:      NewRouteFinder(board, nopConfirmer{}),
		CallLog:     log,
		Contract:    &targetapi.Contract{Key: headerKey, Tenant: headerTenant},
	})
	k := &keyedServer{Server: s, sent: d, board: board, log: log}
	k.apply(c)
	return k
}

// apply puts a configuration into force and marks it as the newest.
func (k *keyedServer) apply(c *routing.Config) {
	k.board.Routes.Store(routing.NewTable(c, rand.New(rand.NewPCG(1, 1))))
	k.board.Confirmation.Store(blackboard.Confirmation{Newest: c.Version, At: time.Now()})
}

// get sends a request with headers, given as alternating names and values.
func (k *keyedServer) get(path string, headers ...string) *httptest.ResponseRecorder {
	k.sent.call = nil
	r := httptest.NewRequest(http.MethodGet, "http://auction.example"+path, nil)
	for i := 0; i < len(headers); i += 2 {
		r.Header[headers[i]] = append(r.Header[headers[i]], headers[i+1])
	}
	w := httptest.NewRecorder()
	k.ProxyHandler().ServeHTTP(w, r)
	return w
}

// A target must receive the tenant that owns the caller's API key, and never the key, whatever the
// caller sends as its tenant.
func TestTargetsAreToldTheTenantAndNoKey(t *testing.T) {
	k := newKeyedServer(t, tenantsConfig(1, tenant("school", "key-1", "key-2"), tenant("other", "key-3")))
	for _, headers := range [][]string{
		{headerKey, "key-2"},
		{headerKey, "key-2", headerTenant, "other"},
		{headerKey, "key-2", headerTenant, "other", headerTenant, "school"},
		{headerKey, "key-2", "X_tenant", "other", "X_Tenant", "other"},
		{headerKey, "key-2", "X_api_key", "key-2", "Connection", "X-Tenant, X-Api-Key"},
	} {
		k.get("/lots/7", headers...)
		assert.Assert(t, k.sent.call != nil, "%v", headers)
		h := k.sent.call.Header
		assert.DeepEqual(t, h[headerTenant], []string{"school"})
		assert.Equal(t, len(h), 1, "%v", h)
		assert.Equal(t, k.log.last.Tenant, "school")
	}
}

func TestRequestsWithoutAGoodKeyAreRefused(t *testing.T) {
	k := newKeyedServer(t, tenantsConfig(1, tenant("school", "key-1"), tenant("keyless")))
	for _, headers := range [][]string{
		{},
		{headerKey, ""},
		{headerKey, "key-"},
		{headerKey, strings.Repeat("k", 10<<10)},
		{headerKey, "key-1", headerKey, "key-1"},
		{headerTenant, "school"},
		{"X_Api_Key", "key-1"},
	} {
		w := k.get("/lots/7", headers...)
		assert.Equal(t, w.Code, http.StatusUnauthorized, "%.40v", headers)
		assert.Equal(t, w.Header().Get(outcome.HeaderOutcome), outcome.NotRun.String())
		assert.Check(t, k.sent.call == nil)
		assert.Equal(t, k.log.last.Result.Reason, outcome.ReasonUnknownKey)
	}
}

func TestPublicRoutesNeedNoKeyAndNameNoTenant(t *testing.T) {
	k := newKeyedServer(t, tenantsConfig(1, tenant("school", "key-1")))
	for _, headers := range [][]string{{}, {headerKey, "key-1"}, {headerKey, "key-9", headerTenant, "school"}} {
		k.get("/home/", headers...)
		assert.Assert(t, k.sent.call != nil)
		assert.Equal(t, len(k.sent.call.Header), 0)
	}
}

// A configuration without any tenants must not open its routes to everyone.
func TestConfigurationWithoutTenantsOpensNothing(t *testing.T) {
	k := newKeyedServer(t, tenantsConfig(1))
	assert.Equal(t, k.get("/lots/7", headerKey, "key-1").Code, http.StatusUnauthorized)
}

// A host that has heard of a newer configuration can't say that a key is unknown.
func TestOutdatedHostDoesNotReportUnknownKey(t *testing.T) {
	k := newKeyedServer(t, tenantsConfig(1, tenant("school", "key-1")))
	k.board.Confirmation.Store(blackboard.Confirmation{Newest: 2, At: time.Now()})
	w := k.get("/lots/7", headerKey, "key-2")
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, k.log.last.Result.Reason, outcome.ReasonConfigUnconfirmed)
}

// Added and revoked keys must take effect for the next request of an open connection, and for
// requests that are queued.
func TestKeysAreCheckedAgainstTheConfigurationInForce(t *testing.T) {
	k := newKeyedServer(t, tenantsConfig(1, tenant("school", "key-1")))
	k.get("/lots/7", headerKey, "key-1")
	waiting := k.sent.call
	assert.Check(t, waiting.StillAuthorized())
	k.apply(tenantsConfig(2, tenant("school", "key-1", "key-2")))
	assert.Check(t, waiting.StillAuthorized())
	k.apply(tenantsConfig(3, tenant("school", "key-2"), tenant("other", "key-1")))
	assert.Check(t, !waiting.StillAuthorized(), "the key belongs to another tenant now")
	assert.Equal(t, k.get("/lots/7", headerKey, "key-9").Code, http.StatusUnauthorized)
	k.get("/lots/7", headerKey, "key-2")
	assert.DeepEqual(t, k.sent.call.Header[headerTenant], []string{"school"})
}

func TestPriorityOfATenantGoesBeforeTheRoutes(t *testing.T) {
	urgent := tenant("urgent", "key-1")
	urgent.Priority = 0
	k := newKeyedServer(t, tenantsConfig(1, urgent, tenant("plain", "key-2")))
	k.get("/lots/7", headerKey, "key-1")
	assert.Equal(t, k.sent.call.Priority, 0)
	k.get("/lots/7", headerKey, "key-2")
	assert.Equal(t, k.sent.call.Priority, 2)
}

// If route and tenant both restrict regions, only regions in both lists may get the request.
func TestRegionsOfRouteAndTenantBothBind(t *testing.T) {
	bound := tenant("bound", "key-1")
	bound.Regions = []string{"north", "south"}
	c := tenantsConfig(1, bound)
	k := newKeyedServer(t, c)
	for _, tc := range []struct{ route, want []string }{
		{nil, []string{"north", "south"}},
		{[]string{"south", "west"}, []string{"south"}},
		{[]string{"west"}, nil},
	} {
		c.Routes[0].Regions = tc.route
		k.apply(c)
		w := k.get("/lots/7", headerKey, "key-1")
		if tc.want == nil {
			assert.Check(t, k.sent.call == nil)
			assert.Equal(t, w.Code, http.StatusServiceUnavailable)
			continue
		}
		assert.DeepEqual(t, k.sent.call.Regions, tc.want)
	}
}

// FuzzTenant searches for headers that pass an API key, or a tenant other than the key's owner,
// to a target.
func FuzzTenant(f *testing.F) {
	f.Add("X-Tenant: other\r\nX_TENANT: other\r\nConnection: x-tenant\r\n")
	f.Add("X-Api-Key: secret-1\r\nx_api-key: secret-1\r\nTrailer: X-Tenant\r\n")
	f.Fuzz(func(t *testing.T, headers string) {
		raw := "GET /lots/7 HTTP/1.1\r\nHost: auction.example\r\n" + headers + "\r\n"
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader([]byte(raw))))
		if err != nil {
			return
		}
		k := newKeyedServer(t, tenantsConfig(1, tenant("school", "secret-1")))
		k.ProxyHandler().ServeHTTP(httptest.NewRecorder(), r)
		if k.sent.call == nil {
			return
		}
		for name, values := range k.sent.call.Header {
			plain := strings.ToLower(strings.ReplaceAll(name, "_", "-"))
			assert.Check(t, plain != "x-api-key", "%q", name)
			if plain == "x-tenant" {
				assert.DeepEqual(t, values, []string{"school"})
				assert.Equal(t, name, headerTenant)
			}
		}
	})
}

// fakeQuota allows a fixed number of requests.
type fakeQuota struct {
	left, returned int
	full           bool
}

func (q *fakeQuota) refuse() outcome.Result {
	r := outcome.Refuse(outcome.ReasonOverQuota)
	r.RetryAfter = 300 * time.Millisecond
	return r
}

func (q *fakeQuota) Refused(string) outcome.Result {
	if q.full {
		return q.refuse()
	}
	return outcome.Result{}
}

func (q *fakeQuota) Take(context.Context, quota.Request) outcome.Result {
	if q.left == 0 {
		return q.refuse()
	}
	q.left--
	return outcome.Result{}
}

func (q *fakeQuota) Return(string) { q.returned++ }

func TestRequestBeyondTheQuotaIsRefused(t *testing.T) {
	k := newKeyedServer(t, tenantsConfig(1, tenant("school", "key-1")))
	q := &fakeQuota{left: 1}
	k.deps.Quota = q
	k.sent.reply.Result = outcome.Result{Outcome: outcome.Answered, Reason: outcome.ReasonOK}
	k.get("/lots/7", headerKey, "key-1")
	assert.Check(t, k.sent.call != nil)
	w := k.get("/lots/7", headerKey, "key-1")
	assert.Equal(t, w.Code, http.StatusTooManyRequests)
	assert.Check(t, w.Header().Get("Retry-After") != "")
	assert.Check(t, k.sent.call == nil)
	assert.Equal(t, q.returned, 0)
	k.get("/home/")
	assert.Check(t, k.sent.call != nil, "a public route has no tenant and no quota")
}

// A request that no target ran must not count against its tenant's quota.
func TestRequestThatDidNotRunIsGivenBackToTheQuota(t *testing.T) {
	k := newKeyedServer(t, tenantsConfig(1, tenant("school", "key-1")))
	q := &fakeQuota{left: 2}
	k.deps.Quota = q
	k.get("/lots/7", headerKey, "key-1")
	assert.Equal(t, q.returned, 1)
	k.sent.reply.Result = outcome.Uncertain(outcome.ReasonBrokeOff)
	k.get("/lots/7", headerKey, "key-1")
	assert.Equal(t, q.returned, 1, "the request may have run")
}

// The body of a request that is over quota must not be read before the refusal: a tenant could
// otherwise flood the host with large bodies.
func TestBodyBeyondTheQuotaIsNotRead(t *testing.T) {
	k := newKeyedServer(t, tenantsConfig(1, tenant("school", "key-1")))
	k.deps.Quota = &fakeQuota{full: true}
	body := strings.NewReader("a body")
	r := httptest.NewRequest(http.MethodPost, "http://auction.example/lots/7", body)
	r.Header.Set(headerKey, "key-1")
	w := httptest.NewRecorder()
	k.ProxyHandler().ServeHTTP(w, r)
	assert.Equal(t, w.Code, http.StatusTooManyRequests)
	assert.Equal(t, body.Len(), len("a body"))
}

// Guards against a request that crashes two targets more with each key of its tenant, and against tenants
// that suffer for one another.
func TestRequestsOfOneTenantAreTheSameWhateverItsKey(t *testing.T) {
	k := newKeyedServer(t, tenantsConfig(1, tenant("school", "key-1", "key-2"), tenant("other", "key-3")))
	digest := func(key string) uint64 {
		k.get("/lots/7", headerKey, key)
		return k.sent.call.Identity.Request
	}
	assert.Equal(t, digest("key-1"), digest("key-2"))
	assert.Check(t, digest("key-1") != digest("key-3"))
}

// Guards against a request that crashes two targets more with each value of a key that names nobody.
func TestKeysThatNameNobodyMakeNoOtherRequest(t *testing.T) {
	open := tenantsConfig(1)
	open.RequiresKey = false
	for path, c := range map[string]*routing.Config{
		"/home/":  tenantsConfig(1, tenant("school", "key-1")),
		"/lots/7": open,
	} {
		k := newKeyedServer(t, c)
		digest := func(key string) uint64 {
			k.get(path, headerKey, key)
			return k.sent.call.Identity.Request
		}
		assert.Equal(t, digest("a"), digest("b"))
		assert.Equal(t, digest("a"), digest(""))
	}
}

// Guards against a request that crashes targets under one host name and is cleared by the good responses to the
// same path under another one, which the same service answers.
func TestRequestsOfTwoRoutesAreNotTheSame(t *testing.T) {
	c := tenantsConfig(1)
	other := c.Routes[0]
	c.RequiresKey, other.Name, other.Host = false, "archive", "archive.example"
	c.Routes = append(c.Routes, other)
	k := newKeyedServer(t, c)
	identity := func(host string) suspicion.ID {
		k.ProxyHandler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "http://"+host+"/lots/7", nil))
		return k.sent.call.Identity
	}
	one, two := identity("auction.example"), identity("archive.example")
	assert.Check(t, one.Request != two.Request)
	assert.Check(t, one.Group != two.Group)
	assert.Equal(t, identity("AUCTION.example:8080"), one)
}
