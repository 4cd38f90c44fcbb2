package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cactusproxy/cactusproxy/platform/standin"
)

// Options of a soak.
type Options struct {
	Seed uint64
	// Binary is the daemon's program.
	Binary string
	// Dir takes settings and logs.
	Dir string
	// Processes is the number of entry hosts, Callers that of callers.
	Processes int
	Callers   int
	// For is how long hosts are disturbed.
	For time.Duration
}

// Soak is one run.
type Soak struct {
	Options
	seed      uint64
	start     time.Time
	store     *standin.Store
	server    *http.Server
	processes []*process
	targets   *targets
	rotation  atomic.Pointer[[]*process]

	// restarts are the planned stops under way.
	restarts sync.WaitGroup

	mu       sync.Mutex
	findings []string
	all      []*sent
	// marks are the disturbances of processes other than their planned stops.
	marks map[*process][]time.Time
	// storeMarks are the beginnings and ends of disturbances of the store.
	storeMarks []time.Time
	// actions is what was done, for the report.
	actions []string
	version uint64
	// configuredAt is when the version was written.
	configuredAt time.Time
	// evacuations are the orders to empty the near zone so far.
	evacuations []evacuation
	// added are the routes that configurations have added so far.
	added []route
	// known is when a run of a host first served a route.
	known map[knowing]time.Time
}

// Result is what a run found.
type Result struct {
	Seed     uint64
	Requests int
	Served   int
	Findings []string
	Actions  []string
}

// calmAfter is how long callers go on after the last disturbance has ended.
const calmAfter = 4 * time.Second

// Run plays one soak.
func Run(ctx context.Context, o Options) (Result, error) {
	s := &Soak{
		Options: o,
		seed:    o.Seed,
		start:   time.Now(),
		store:   standin.NewStore(),
		marks:   make(map[*process][]time.Time),
		known:   make(map[knowing]time.Time),
	}
	s.targets = &targets{store: s.store, zones: s.seed >= firstSeedOfAll}
	if err := s.setUp(); err != nil {
		return Result{}, err
	}
	defer s.tearDown()
	work, halt := context.WithCancel(ctx)
	var wg sync.WaitGroup
	background := func(f func()) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f()
		}()
	}
	background(func() { s.balancer(work) })
	background(func() { s.watchConfig(work) })
	for n := range o.Callers {
		background(func() { s.caller(work, n) })
	}
	s.disturb(work)
	s.healAll()
	calm := time.Now().Add(calmAfter / 2)
	sleep(ctx, calmAfter)
	halt()
	wg.Wait()
	time.Sleep(deadline) // what targets still run ends
	s.checkRuns()
	s.checkDrains()
	s.checkEvacuations()
	s.checkNeeds()
	served := 0
	for _, r := range s.all {
		if r.status == http.StatusOK && r.at.After(calm) {
			served++
		}
	}
	s.checkRecovered(served)
	return s.result(), ctx.Err()
}

func (s *Soak) result() Result {
	r := Result{Seed: s.seed, Requests: len(s.all), Findings: s.findings, Actions: s.actions}
	for _, q := range s.all {
		if q.status == http.StatusOK {
			r.Served++
		}
	}
	return r
}

func (s *Soak) setUp() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.server = &http.Server{Handler: s.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }()
	s.configure()
	for _, service := range []string{"lots", "bids", "photos"} {
		for range 4 {
			if err := s.targets.add(service); err != nil {
				return err
			}
		}
	}
	var seeds []string
	addrs := newAddresses()
	for i := range s.Processes {
		p, err := newProcess(fmt.Sprintf("host-%d", i), s.Dir, s.Binary, l.Addr().String(), addrs)
		if err != nil {
			return err
		}
		s.processes = append(s.processes, p)
		if i < 3 {
			seeds = append(seeds, p.peer.Addr())
		}
	}
	for _, p := range s.processes {
		if err := errors.Join(p.writeSettings(seeds, true), p.start()); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

// configure writes the next version of the configuration. Each has a route of its
// own, by which a host shows that it has it in force, and adds one that stays.
func (s *Soak) configure() {
	s.mu.Lock()
	s.version += 1 + s.version%3
	version := s.version
	s.configuredAt = time.Now()
	s.added = append(s.added, route{name: keptRoute(version), added: s.configuredAt})
	added := slices.Clone(s.added)
	s.mu.Unlock()
	routes := []standin.Route{
		entry("lots", "safe", "lots"),
		entry("bids", "mutating", "bids"),
		entry("photos", "upload", "photos"),
		entry(ownRoute(version), "safe", "lots"),
	}
	for _, r := range added {
		routes = append(routes, entry(r.name, "safe", "lots"))
	}
	s.store.Put("op", "config", standin.Config(version, routes...))
}

// entry is a route as the configuration has it.
func entry(name, kind, service string) standin.Route {
	return standin.Route{Name: name, Host: hostName, Prefix: "/" + name + "/", Type: kind, Service: service, Timeout: "3s", MaxAttempts: 2}
}

func (s *Soak) tearDown() {
	s.restarts.Wait()
	for _, p := range s.processes {
		if p.cmd == nil {
			continue
		}
		p.signal(syscall.SIGCONT)
		p.end(syscall.SIGKILL)
		p.store.Close()
		p.peer.Close()
	}
	s.targets.close()
	_ = s.server.Close()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// isRefused reports whether a connection was refused: nobody read anything.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// rngFor returns the dice of a run's disturbances.
func (s *Soak) rngFor() *rand.Rand { return rand.New(rand.NewPCG(s.seed, 1)) }

// Build compiles the daemon into a folder and returns its path.
func Build(ctx context.Context, dir string) (string, error) {
	binary := filepath.Join(dir, "cactusproxyd")
	cmd := goBuild(ctx, binary)
	cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
	return binary, cmd.Run()
}
