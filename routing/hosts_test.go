package routing

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

// Values for random routes. They are few, so that names, hosts and prefixes collide often. Check
// accepts all of them: names may be empty or duplicate, and hosts may contain capitals.
var (
	somePrefixes = []string{"/", "/a/", "/a/b/", "/c/"}
	someHosts    = []string{"h", "g", "H"}
	someNames    = []string{"", "r1", "r2", "r3", "r4", "R1"}
	someServices = []string{"a", "b", "c"}
	somePaths    = []string{"/", "/a", "/a/", "/a/x", "/a/b/x", "/c/a/b/", "/d"}
)

func pickOne[T any](rng *rand.Rand, list []T) T { return list[rng.IntN(len(list))] }

func randomRoute(rng *rand.Rand) Route {
	r := Route{
		Name:        pickOne(rng, someNames),
		Host:        pickOne(rng, someHosts),
		Prefix:      pickOne(rng, somePrefixes),
		Kind:        Kind(1 + rng.IntN(int(Unknown))),
		Timeout:     time.Duration(1+rng.IntN(2)) * time.Second,
		Objective:   time.Duration(rng.IntN(2)) * time.Second,
		Priority:    rng.IntN(2),
		MaxAttempts: 1 + rng.IntN(2),
	}
	for range 1 + rng.IntN(2) {
		r.Split = append(r.Split, WeightedService{Service: pickOne(rng, someServices), Weight: float64(1 + rng.IntN(2))})
	}
	return r
}

func randomConfigWithCollisions(rng *rand.Rand, version uint64) *Config {
	c := &Config{Version: version}
	for _, name := range someServices {
		c.Services = append(c.Services, Service{Name: name})
	}
	for range rng.IntN(8) {
		c.Routes = append(c.Routes, randomRoute(rng))
	}
	return c
}

// edits are the changes that an operator may make to a configuration with at least one route.
var edits = []func(rng *rand.Rand, c *Config){
	func(rng *rand.Rand, c *Config) { // add a route
		c.Routes = slices.Insert(c.Routes, rng.IntN(len(c.Routes)+1), randomRoute(rng))
	},
	func(rng *rand.Rand, c *Config) { // remove a route
		i := rng.IntN(len(c.Routes))
		c.Routes = slices.Delete(c.Routes, i, i+1)
	},
	func(rng *rand.Rand, c *Config) { // duplicate a route
		c.Routes = slices.Insert(c.Routes, rng.IntN(len(c.Routes)+1), pickOne(rng, c.Routes))
	},
	func(rng *rand.Rand, c *Config) { // reorder the routes
		rng.Shuffle(len(c.Routes), func(i, j int) { c.Routes[i], c.Routes[j] = c.Routes[j], c.Routes[i] })
	},
	func(rng *rand.Rand, c *Config) { c.Routes[rng.IntN(len(c.Routes))].Name = pickOne(rng, someNames) },
	func(rng *rand.Rand, c *Config) { c.Routes[rng.IntN(len(c.Routes))].Host = pickOne(rng, someHosts) },
	func(rng *rand.Rand, c *Config) { c.Routes[rng.IntN(len(c.Routes))].Prefix = pickOne(rng, somePrefixes) },
	func(rng *rand.Rand, c *Config) { c.Routes[rng.IntN(len(c.Routes))].Split = randomRoute(rng).Split },
	func(rng *rand.Rand, c *Config) { // swap two routes except for their names
		a, b := &c.Routes[rng.IntN(len(c.Routes))], &c.Routes[rng.IntN(len(c.Routes))]
		*a, *b = *b, *a
		a.Name, b.Name = b.Name, a.Name
	},
	func(rng *rand.Rand, c *Config) { // one route takes the content of another, which changes
		a, b := &c.Routes[rng.IntN(len(c.Routes))], &c.Routes[rng.IntN(len(c.Routes))]
		*a = *b
		b.Split = randomRoute(rng).Split
	},
	func(rng *rand.Rand, c *Config) { // change a service and reorder the services
		c.Services[rng.IntN(len(c.Services))].MaxConns = rng.IntN(3)
		rng.Shuffle(len(c.Services), func(i, j int) { c.Services[i], c.Services[j] = c.Services[j], c.Services[i] })
	},
}

// editedConfig returns a later version of a configuration, with one to three random edits.
func editedConfig(rng *rand.Rand, c *Config) *Config {
	next := &Config{Version: c.Version + 1 + rng.Uint64N(3), Routes: slices.Clone(c.Routes), Services: slices.Clone(c.Services), Limits: c.Limits}
	for range 1 + rng.IntN(3) {
		if len(next.Routes) == 0 {
			next.Routes = append(next.Routes, randomRoute(rng))
		}
		pickOne(rng, edits)(rng, next)
	}
	return next
}

// roundTrip returns a delta as its receiver decodes it.
func roundTrip(t *testing.T, d Delta) (out Delta) {
	t.Helper()
	raw, err := msgpack.Marshal(d)
	assert.NilError(t, err)
	assert.NilError(t, msgpack.Unmarshal(raw, &out))
	return out
}

// lookups returns the lookup results for all hosts and paths.
func lookups(c *Config) (out []string) {
	table := NewTable(c, rand.New(rand.NewPCG(1, 1)))
	for _, host := range append(someHosts, "none") {
		for _, path := range somePaths {
			m, ok := table.Find(host, path)
			if !ok {
				continue
			}
			line := fmt.Sprintf("%s%s: %+v", host, path, *m.Route)
			for _, p := range m.Route.Split {
				line += fmt.Sprintf(" %+v", *table.Service(p.Service))
			}
			out = append(out, line)
		}
	}
	return out
}

// Hosts reach a version of the configuration in different ways: from the document, by deltas, or
// by deltas of a host that applied deltas itself. Guards against lookups that depend on the way,
// so that hosts route the same request to different services.
func TestHostsFindTheSameWhateverWayTheConfigurationCame(t *testing.T) {
	const seeds, versions = 3000, 5
	failed := 0
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 3))
		current := randomConfigWithCollisions(rng, 1)
		byDeltas, mixed := current, current
		for range versions {
			next := editedConfig(rng, current)
			assert.NilError(t, next.Check())
			sender := pickOne(rng, []*Config{current, byDeltas, mixed})
			d := roundTrip(t, Diff(sender, next))
			var err error
			byDeltas, err = byDeltas.Apply(d)
			assert.NilError(t, err, "seed %d", seed)
			if rng.IntN(3) == 0 {
				mixed = next
			} else {
				mixed, err = mixed.Apply(d)
				assert.NilError(t, err, "seed %d", seed)
			}
			current = next
			want := lookups(current)
			if !slices.Equal(lookups(byDeltas), want) || !slices.Equal(lookups(mixed), want) {
				failed++
				t.Logf("seed %d: hosts differ in version %d", seed, next.Version)
				break
			}
		}
	}
	assert.Equal(t, failed, 0, "of %d seeds", seeds)
}

// The order of the routes in the document must not affect which route matches a request.
func TestOrderOfTheDocumentDoesNotMatter(t *testing.T) {
	for seed := range uint64(1000) {
		rng := rand.New(rand.NewPCG(seed, 4))
		c := randomConfigWithCollisions(rng, 1)
		want := lookups(c)
		rng.Shuffle(len(c.Routes), func(i, j int) { c.Routes[i], c.Routes[j] = c.Routes[j], c.Routes[i] })
		assert.DeepEqual(t, lookups(c), want)
	}
}

func testRoute(name, host, prefix, service string) Route {
	return Route{
		Name: name, Host: host, Prefix: prefix, Kind: Safe,
		Timeout: time.Second, MaxAttempts: 1, Split: splitTo(service),
	}
}

// The edits of the random test one by one. Guards against a delta that omits a route, or removes
// it together with another of the same name: hosts that apply it would respond with status 404 or
// use an old service.
func TestHostsFindTheSame(t *testing.T) {
	one, other := testRoute("r", "h", "/a/", "a"), testRoute("r", "g", "/a/", "b")
	sameName := testRoute("r", "h", "/a/", "b")
	x, y := testRoute("x", "h", "/a/", "a"), testRoute("y", "h", "/a/", "b")
	for name, tc := range map[string]struct{ from, to []Route }{
		"two of one name, other host, unchanged":     {[]Route{one, other}, []Route{one, other}},
		"two of one name, first changed":             {[]Route{one, other}, []Route{sameName, other}},
		"two of one name, second changed":            {[]Route{one, other}, []Route{one, testRoute("r", "g", "/a/", "c")}},
		"two of one name, in another order":          {[]Route{one, other}, []Route{other, one}},
		"two of one name, first dropped":             {[]Route{one, other}, []Route{other}},
		"two of one name, second dropped":            {[]Route{one, other}, []Route{one}},
		"second of one name comes":                   {[]Route{one}, []Route{one, other}},
		"one changed into what the other was":        {[]Route{one, other}, []Route{other, testRoute("r", "g", "/c/", "a")}},
		"two of one name and host, in another order": {[]Route{one, sameName}, []Route{sameName, one}},
		"two of one host and prefix, first changed":  {[]Route{x, y}, []Route{testRoute("x", "h", "/a/", "c"), y}},
		"two of one host and prefix, order":          {[]Route{x, y}, []Route{y, x}},
		"renamed beside one of its host and prefix":  {[]Route{x, y}, []Route{testRoute("z", "h", "/a/", "a"), y}},
		"renamed":                          {[]Route{x}, []Route{testRoute("z", "h", "/a/", "a")}},
		"moved to a host in another case":  {[]Route{one}, []Route{testRoute("r", "H", "/a/", "a")}},
		"empty names, one more":            {[]Route{testRoute("", "h", "/", "a")}, []Route{testRoute("", "h", "/", "a"), testRoute("", "g", "/", "b")}},
		"empty names, one less":            {[]Route{testRoute("", "h", "/", "a"), testRoute("", "g", "/", "b")}, []Route{testRoute("", "g", "/", "b")}},
		"all gone":                         {[]Route{one, sameName, other}, nil},
		"the same one twice, one dropped":  {[]Route{one, one}, []Route{one}},
		"the same one twice, both dropped": {[]Route{one, one, x}, []Route{x}},
	} {
		t.Run(name, func(t *testing.T) {
			services := []Service{{Name: "a"}, {Name: "b"}, {Name: "c"}}
			from := &Config{Version: 1, Routes: tc.from, Services: services}
			next := &Config{Version: 2, Routes: tc.to, Services: services}
			got, err := from.Apply(roundTrip(t, Diff(from, next)))
			assert.NilError(t, err)
			assert.DeepEqual(t, lookups(got), lookups(next))
		})
	}
}

// Guards against a delta that omits a route in which a single field has changed, for instance
// because a new field of Route was left out of the digest.
func TestDeltaIncludesAnyChangedFieldOfARoute(t *testing.T) {
	base := &Config{Version: 1, Routes: []Route{testRoute("r", "h", "/", "a")}, Services: []Service{{Name: "a"}}}
	for i := range reflect.TypeFor[Route]().NumField() {
		r := base.Routes[0]
		field := reflect.ValueOf(&r).Elem().Field(i)
		switch {
		case field.Kind() == reflect.String:
			field.SetString(field.String() + "x/")
		case field.CanInt():
			field.SetInt(field.Int() + 1)
		case field.Kind() == reflect.Bool:
			field.SetBool(!field.Bool())
		case field.CanUint():
			field.SetUint(field.Uint() + 1)
		case field.Type() == reflect.TypeFor[[]string]():
			field.Set(reflect.ValueOf([]string{"b"}))
		default:
			field.Set(reflect.ValueOf([]WeightedService{{Service: "a", Weight: 2}}))
		}
		next := &Config{Version: 2, Routes: []Route{r}, Services: base.Services}
		got, err := base.Apply(roundTrip(t, Diff(base, next)))
		assert.NilError(t, err)
		assert.DeepEqual(t, got.Routes, next.Routes)
	}
}
