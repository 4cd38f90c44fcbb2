package routing

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

// fullConfig returns a configuration with every field set.
func fullConfig() *Config {
	return &Config{
		Version: 7,
		Routes: []Route{{
			Name: "r", Host: "h", Prefix: "/a/", Kind: Safe, Timeout: 3 * time.Second, Objective: time.Second,
			Priority: 1, MaxAttempts: 2, Split: []WeightedService{{Service: "a", Weight: 1.5}, {Service: "b", Weight: 1}},
			Regions: []string{"s"}, Public: true,
		}},
		RequiresKey: true,
		Tenants: []Tenant{{
			Name: "t", Keys: []KeyDigest{{1, 2}}, Priority: 2, Rate: 1.5, Burst: 3, Regions: []string{"s"},
		}},
		Services: []Service{{Name: "a", HealthPath: "/healthz", MaxConns: 64, WarmUp: time.Second, ColdRate: 4.5}, {Name: "b"}},
		Limits:   Limits{MaxHeaderBytes: 8192, MaxBodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second},
	}
}

// During a rolling update hosts compare digests computed by two versions of this program. If this
// value changes, each rejects every delta of the other and needs the whole configuration instead:
// give Delta.Digest a new name on the wire then.
func TestDigestStaysAcrossVersionsOfTheProgram(t *testing.T) {
	assert.Equal(t, fullConfig().Digest(), uint64(3954691789224323012))
}

// Guards against fields that are missing from the digest, in which hosts could differ unnoticed.
func TestDigestCoversEveryField(t *testing.T) {
	for path, change := range changesOf(t, reflect.ValueOf(fullConfig()).Elem(), "config") {
		c := fullConfig()
		change(reflect.ValueOf(c).Elem())
		assert.Check(t, c.Digest() != fullConfig().Digest(), path)
	}
}

// changesOf returns, for each field of v by path, a function that changes this field in another
// value of the same shape.
func changesOf(t *testing.T, v reflect.Value, path string) map[string]func(reflect.Value) {
	t.Helper()
	out := make(map[string]func(reflect.Value))
	take := func(path string, inner reflect.Value, step func(reflect.Value) reflect.Value) {
		for p, change := range changesOf(t, inner, path) {
			out[p] = func(v reflect.Value) { change(step(v)) }
		}
	}
	switch {
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			take(path+"."+v.Type().Field(i).Name, v.Field(i), func(v reflect.Value) reflect.Value { return v.Field(i) })
		}
	case v.Kind() == reflect.Slice:
		out[path] = func(v reflect.Value) { v.SetLen(v.Len() - 1) }
		take(path+"[0]", v.Index(0), func(v reflect.Value) reflect.Value { return v.Index(0) })
	case v.Kind() == reflect.String:
		out[path] = func(v reflect.Value) { v.SetString(v.String() + "x") }
	case v.CanInt():
		out[path] = func(v reflect.Value) { v.SetInt(v.Int() + 1) }
	case v.CanUint():
		out[path] = func(v reflect.Value) { v.SetUint(v.Uint() + 1) }
	case v.Kind() == reflect.Bool:
		out[path] = func(v reflect.Value) { v.SetBool(!v.Bool()) }
	case v.Kind() == reflect.Array:
		take(path+"[0]", v.Index(0), func(v reflect.Value) reflect.Value { return v.Index(0) })
	case v.CanFloat():
		out[path] = func(v reflect.Value) { v.SetFloat(v.Float() + 1) }
	default:
		t.Fatalf("%s: unsupported kind %s", path, v.Kind())
	}
	return out
}

func TestDigestDoesNotDependOnTheOrderOfRoutes(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 6))
		c := randomConfigWithCollisions(rng, 1)
		want := c.Digest()
		rng.Shuffle(len(c.Routes), func(i, j int) { c.Routes[i], c.Routes[j] = c.Routes[j], c.Routes[i] })
		assert.Equal(t, c.Digest(), want)
		if len(c.Routes) > 0 {
			c.Routes = append(c.Routes, c.Routes[0])
			assert.Check(t, c.Digest() != want, "a duplicate route must change the digest")
		}
	}
}

// The receiver of a delta has a different configuration of the base version: it lacks a route that
// did not change. It must reject the delta. Otherwise it alone would respond with status 404 to
// requests of this route.
func TestDeltaWithDigestMismatchIsRefused(t *testing.T) {
	services := []Service{{Name: "a"}, {Name: "b"}}
	x, y := testRoute("x", "h", "/a/", "a"), testRoute("y", "h", "/c/", "a")
	sender := &Config{Version: 1, Routes: []Route{x, y}, Services: services}
	receiver := &Config{Version: 1, Routes: []Route{x}, Services: services}
	next := &Config{Version: 2, Routes: []Route{testRoute("x", "h", "/a/", "b"), y}, Services: services}
	d := Diff(sender, next)
	_, err := receiver.Apply(d)
	assert.Check(t, errors.Is(err, ErrDigestMismatch), "%v", err)
	_, err = sender.Apply(d)
	assert.NilError(t, err)
}

// deltaWithoutDigest is the Delta of versions of this program without digests.
type deltaWithoutDigest struct {
	Base     uint64    `msgpack:"base"`
	Version  uint64    `msgpack:"version"`
	Put      []Route   `msgpack:"put"`
	Drop     []string  `msgpack:"drop"`
	Services []Service `msgpack:"services"`
	Limits   Limits    `msgpack:"limits"`
}

// During a rolling update hosts with and without digests send each other deltas. Each must accept
// those of the other.
func TestDeltasPassBetweenProgramsWithAndWithoutDigest(t *testing.T) {
	from, next := configWithoutTenants(), configWithoutTenants()
	next.Version = 8
	next.Routes[0].Prefix = "/c/"
	raw, err := msgpack.Marshal(Diff(from, next))
	assert.NilError(t, err)
	var older deltaWithoutDigest
	assert.NilError(t, msgpack.Unmarshal(raw, &older))
	assert.Equal(t, older.Version, uint64(8))
	assert.DeepEqual(t, older.Put, next.Routes)
	raw, err = msgpack.Marshal(older)
	assert.NilError(t, err)
	var back Delta
	assert.NilError(t, msgpack.Unmarshal(raw, &back))
	got, err := from.Apply(back)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, next)
}

// configWithoutTenants returns a configuration as versions of this program without tenants have it.
func configWithoutTenants() *Config {
	c := fullConfig()
	c.RequiresKey, c.Tenants = false, nil
	c.Routes[0].Public = false
	return c
}

// A delta from a host whose version does not support tenants must not make all routes public.
func TestDeltaOfAProgramWithoutTenantsOpensNoRoutes(t *testing.T) {
	from, next := fullConfig(), fullConfig()
	next.Version = 8
	d := Diff(from, next)
	d.RequiresKey, d.Digest = false, 0
	_, err := from.Apply(d)
	assert.Check(t, errors.Is(err, ErrDigestMismatch), "%v", err)
}

// Guards against a delta that omits a tenant in which a single field has changed.
func TestDeltaIncludesAnyChangedFieldOfATenant(t *testing.T) {
	base := fullConfig()
	for path, change := range changesOf(t, reflect.ValueOf(base.Tenants[0]), "tenant") {
		next := fullConfig()
		next.Version = 8
		change(reflect.ValueOf(&next.Tenants[0]).Elem())
		got, err := base.Apply(roundTrip(t, Diff(base, next)))
		assert.NilError(t, err, path)
		assert.DeepEqual(t, got.Tenants, next.Tenants)
	}
}
