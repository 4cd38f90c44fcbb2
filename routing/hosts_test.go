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

// The pools are small, so that names, hosts and prefixes meet often. Check accepts all of
// them: a name may be empty or stand twice, and a host may be written in capitals.
var (
	somePrefixes = []string{"/", "/a/", "/a/b/", "/c/"}
	someHosts    = []string{"h", "g", "H"}
	someNames    = []string{"", "r1", "r2", "r3", "r4", "R1"}
	someServices = []string{"a", "b", "c"}
	somePaths    = []string{"/", "/a", "/a/", "/a/x", "/a/b/x", "/c/a/b/", "/d"}
)

func oneOf[T any](rng *rand.Rand, list []T) T { return list[rng.IntN(len(list))] }

func anyRoute(rng *rand.Rand) Route {
	r := Route{
		Name:        oneOf(rng, someNames),
		Host:        oneOf(rng, someHosts),
		Prefix:      oneOf(rng, somePrefixes),
		Kind:        Kind(1 + rng.IntN(int(Unknown))),
		Timeout:     time.Duration(1+rng.IntN(2)) * time.Second,
		Objective:   time.Duration(rng.IntN(2)) * time.Second,
		Priority:    rng.IntN(2),
		MaxAttempts: 1 + rng.IntN(2),
	}
	for range 1 + rng.IntN(2) {
		r.Split = append(r.Split, WeightedService{Service: oneOf(rng, someServices), Weight: float64(1 + rng.IntN(2))})
	}
	return r
}

func anyConfig(rng *rand.Rand, version uint64) *Config {
	c := &Config{Version: version}
	for _, name := range someServices {
		c.Services = append(c.Services, Service{Name: name})
	}
	for range rng.IntN(8) {
		c.Routes = append(c.Routes, anyRoute(rng))
	}
	return c
}

// changes are what an operator may do to the routes of a configuration that has some.
var changes = []func(rng *rand.Rand, c *Config){
	func(rng *rand.Rand, c *Config) { // a route more
		c.Routes = slices.Insert(c.Routes, rng.IntN(len(c.Routes)+1), anyRoute(rng))
	},
	func(rng *rand.Rand, c *Config) { // a route less
		i := rng.IntN(len(c.Routes))
		c.Routes = slices.Delete(c.Routes, i, i+1)
	},
	func(rng *rand.Rand, c *Config) { // one stands twice
		c.Routes = slices.Insert(c.Routes, rng.IntN(len(c.Routes)+1), oneOf(rng, c.Routes))
	},
	func(rng *rand.Rand, c *Config) { // another order
		rng.Shuffle(len(c.Routes), func(i, j int) { c.Routes[i], c.Routes[j] = c.Routes[j], c.Routes[i] })
	},
	func(rng *rand.Rand, c *Config) { c.Routes[rng.IntN(len(c.Routes))].Name = oneOf(rng, someNames) },
	func(rng *rand.Rand, c *Config) { c.Routes[rng.IntN(len(c.Routes))].Host = oneOf(rng, someHosts) },
	func(rng *rand.Rand, c *Config) { c.Routes[rng.IntN(len(c.Routes))].Prefix = oneOf(rng, somePrefixes) },
	func(rng *rand.Rand, c *Config) { c.Routes[rng.IntN(len(c.Routes))].Split = anyRoute(rng).Split },
	func(rng *rand.Rand, c *Config) { // two trade what they are, but for their names
		a, b := &c.Routes[rng.IntN(len(c.Routes))], &c.Routes[rng.IntN(len(c.Routes))]
		*a, *b = *b, *a
		a.Name, b.Name = b.Name, a.Name
	},
	func(rng *rand.Rand, c *Config) { // one becomes what another was, which changes
		a, b := &c.Routes[rng.IntN(len(c.Routes))], &c.Routes[rng.IntN(len(c.Routes))]
		*a = *b
		b.Split = anyRoute(rng).Split
	},
	func(rng *rand.Rand, c *Config) { // a service changes, or their order
		c.Services[rng.IntN(len(c.Services))].MaxConns = rng.IntN(3)
		rng.Shuffle(len(c.Services), func(i, j int) { c.Services[i], c.Services[j] = c.Services[j], c.Services[i] })
	},
}

// changed returns a configuration that an operator made of another one.
func changed(rng *rand.Rand, c *Config) *Config {
	next := &Config{Version: c.Version + 1 + rng.Uint64N(3), Routes: slices.Clone(c.Routes), Services: slices.Clone(c.Services), Limits: c.Limits}
	for range 1 + rng.IntN(3) {
		if len(next.Routes) == 0 {
			next.Routes = append(next.Routes, anyRoute(rng))
		}
		oneOf(rng, changes)(rng, next)
	}
	return next
}

// sent returns a difference as the other host reads it.
func sent(t *testing.T, d Delta) (out Delta) {
	t.Helper()
	raw, err := msgpack.Marshal(d)
	assert.NilError(t, err)
	assert.NilError(t, msgpack.Unmarshal(raw, &out))
	return out
}

// found is what a table says of all hosts and paths.
func found(c *Config) (out []string) {
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

// A caller's request goes to one service at one host and to another, or to none, at the
// next: one host read the operator's document, the other took differences, some of them
// made by a host that took differences itself. All must find the same, whatever way led
// each of them there.
func TestHostsFindTheSameWhateverWayTheConfigurationCame(t *testing.T) {
	const seeds, versions = 3000, 5
	failed := 0
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 3))
		whole := anyConfig(rng, 1)
		always, mixed := whole, whole
		for range versions {
			next := changed(rng, whole)
			assert.NilError(t, next.Check())
			sender := oneOf(rng, []*Config{whole, always, mixed})
			d := sent(t, Diff(sender, next))
			var err error
			always, err = always.Apply(d)
			assert.NilError(t, err, "seed %d", seed)
			if rng.IntN(3) == 0 {
				mixed = next
			} else {
				mixed, err = mixed.Apply(d)
				assert.NilError(t, err, "seed %d", seed)
			}
			whole = next
			want := found(whole)
			if !slices.Equal(found(always), want) || !slices.Equal(found(mixed), want) {
				failed++
				t.Logf("seed %d: hosts differ in version %d", seed, next.Version)
				break
			}
		}
	}
	assert.Equal(t, failed, 0, "of %d seeds", seeds)
}

// A document that lists the same routes in another order says the same: which route takes
// a request must not change with it.
func TestOrderOfTheDocumentDoesNotMatter(t *testing.T) {
	for seed := range uint64(1000) {
		rng := rand.New(rand.NewPCG(seed, 4))
		c := anyConfig(rng, 1)
		want := found(c)
		rng.Shuffle(len(c.Routes), func(i, j int) { c.Routes[i], c.Routes[j] = c.Routes[j], c.Routes[i] })
		assert.DeepEqual(t, found(c), want)
	}
}

func route(name, host, prefix, service string) Route {
	return Route{
		Name: name, Host: host, Prefix: prefix, Kind: Safe,
		Timeout: time.Second, MaxAttempts: 1, Split: to(service),
	}
}

// The cases that the random histories are made of, each by itself. A caller is told 404,
// or is served by an old service, at hosts that took the difference: a route that the
// operator's document lists did not travel, or went with another one of its name.
func TestHostsFindTheSame(t *testing.T) {
	one, other := route("r", "h", "/a/", "a"), route("r", "g", "/a/", "b")
	twin := route("r", "h", "/a/", "b")
	x, y := route("x", "h", "/a/", "a"), route("y", "h", "/a/", "b")
	for name, tc := range map[string]struct{ from, to []Route }{
		"two of one name, other host, unchanged":     {[]Route{one, other}, []Route{one, other}},
		"two of one name, first changed":             {[]Route{one, other}, []Route{twin, other}},
		"two of one name, second changed":            {[]Route{one, other}, []Route{one, route("r", "g", "/a/", "c")}},
		"two of one name, in another order":          {[]Route{one, other}, []Route{other, one}},
		"two of one name, first dropped":             {[]Route{one, other}, []Route{other}},
		"two of one name, second dropped":            {[]Route{one, other}, []Route{one}},
		"second of one name comes":                   {[]Route{one}, []Route{one, other}},
		"one changed into what the other was":        {[]Route{one, other}, []Route{other, route("r", "g", "/c/", "a")}},
		"two of one name and host, in another order": {[]Route{one, twin}, []Route{twin, one}},
		"two of one host and prefix, first changed":  {[]Route{x, y}, []Route{route("x", "h", "/a/", "c"), y}},
		"two of one host and prefix, order":          {[]Route{x, y}, []Route{y, x}},
		"renamed beside one of its host and prefix":  {[]Route{x, y}, []Route{route("z", "h", "/a/", "a"), y}},
		"renamed":                          {[]Route{x}, []Route{route("z", "h", "/a/", "a")}},
		"moved to a host in another case":  {[]Route{one}, []Route{route("r", "H", "/a/", "a")}},
		"empty names, one more":            {[]Route{route("", "h", "/", "a")}, []Route{route("", "h", "/", "a"), route("", "g", "/", "b")}},
		"empty names, one less":            {[]Route{route("", "h", "/", "a"), route("", "g", "/", "b")}, []Route{route("", "g", "/", "b")}},
		"all gone":                         {[]Route{one, twin, other}, nil},
		"the same one twice, one dropped":  {[]Route{one, one}, []Route{one}},
		"the same one twice, both dropped": {[]Route{one, one, x}, []Route{x}},
	} {
		t.Run(name, func(t *testing.T) {
			services := []Service{{Name: "a"}, {Name: "b"}, {Name: "c"}}
			from := &Config{Version: 1, Routes: tc.from, Services: services}
			next := &Config{Version: 2, Routes: tc.to, Services: services}
			got, err := from.Apply(sent(t, Diff(from, next)))
			assert.NilError(t, err)
			assert.DeepEqual(t, found(got), found(next))
		})
	}
}

// A route whose only change is in one field must travel. Whoever adds a field to a route
// and forgets to compare it has hosts that never hear of its change.
func TestAChangeOfAnyFieldOfARouteTravels(t *testing.T) {
	base := &Config{Version: 1, Routes: []Route{route("r", "h", "/", "a")}, Services: []Service{{Name: "a"}}}
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
		got, err := base.Apply(sent(t, Diff(base, next)))
		assert.NilError(t, err)
		assert.DeepEqual(t, got.Routes, next.Routes)
	}
}
