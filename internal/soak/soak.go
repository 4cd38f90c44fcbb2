package soak

import (
	"context"
	"errors"
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

// Options configures a soak.
type Options struct {
	Seed uint64
	// Binary is the path of the daemon.
	Binary string
	// Dir is the folder for settings and logs.
	Dir string
	// Processes is the number of entry hosts, Callers the number of callers.
	Processes int
	Callers   int
	// For is how long disturbances are injected.
	For time.Duration
}

// Soak is the state of one run.
type Soak struct {
	Options
	seed      uint64
	start     time.Time
	store     *standin.Store
	server    *http.Server
	processes []*process
	targets   *targetSet
	rotation  atomic.Pointer[[]*process]

	// restarts waits for planned stops in progress.
	restarts sync.WaitGroup

	mu       sync.Mutex
	findings []string
	requests []*request
	// disturbedAt holds the times of disturbances of processes other than planned stops.
	disturbedAt map[*process][]time.Time
	// storeDisturbedAt holds the start and end times of disturbances of the store.
	storeDisturbedAt []time.Time
	// actions lists the disturbances, for the report.
	actions []string
	version uint64
	// configuredAt is when version was written to the store.
	configuredAt time.Time
	// replaced are the versions before that one.
	replaced []replacedVersion
	// cuts are the cuts between hosts and all targets so far.
	cuts []pathCut
	// evacuations are the orders to evacuate the near zone so far.
	evacuations []evacuation
	// mostCold is the most requests that reached a cold target within a second.
	mostCold int
	// added are the permanent routes that configurations have added so far.
	added []route
	// servedAt is when a run of a host first served a route.
	servedAt map[servedRoute]time.Time
}

// Result is the outcome of a run. Findings are the violated guarantees, Actions the
// disturbances, each with its time since the start.
type Result struct {
	Seed     uint64
	Requests int
	Served   int
	// MostCold is the most requests that reached a cold target within a second.
	MostCold int
	Findings []string
	Actions  []string
}

// recoveryTime is how long callers continue after the last disturbance has ended.
const recoveryTime = 4 * time.Second

// Run runs one soak and checks its results.
func Run(ctx context.Context, o Options) (Result, error) {
	s := &Soak{
		Options:     o,
		seed:        o.Seed,
		start:       time.Now(),
		store:       standin.NewStore(),
		disturbedAt: make(map[*process][]time.Time),
		servedAt:    make(map[servedRoute]time.Time),
	}
	s.targets = &targetSet{store: s.store, zones: s.seed >= firstSeedOfAll, coldLimits: s.seed >= firstSeedOfCold && s.seed < firstSeedOfPoison, poison: s.seed >= firstSeedOfPoison && s.seed < firstSeedOfStarved}
	if err := s.setUp(); err != nil {
		return Result{}, err
	}
	defer s.tearDown()
	s.targets.underLoad = true
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
	if s.seed >= firstSeedOfStarved {
		for _, p := range s.processes {
			background(func() { s.watchReplaced(work, p) })
		}
	}
	if s.targets.poison {
		background(func() { s.poisonCaller(work) })
	}
	s.disturb(work)
	s.healAll()
	recovered := time.Now().Add(recoveryTime / 2)
	sleep(ctx, recoveryTime)
	halt()
	wg.Wait()
	time.Sleep(deadline) // requests still running at targets end
	s.checkRuns()
	s.checkDrains()
	s.checkEvacuations()
	s.checkSignals()
	s.checkCuts()
	s.checkCold()
	s.checkPoison()
	served := 0
	for _, r := range s.requests {
		if r.status == http.StatusOK && r.at.After(recovered) {
			served++
		}
	}
	s.checkRecovered(served)
	return s.result(), ctx.Err()
}

func (s *Soak) result() Result {
	r := Result{Seed: s.seed, Requests: len(s.requests), MostCold: s.mostCold, Findings: s.findings, Actions: s.actions}
	for _, q := range s.requests {
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
		p, err := newProcess(i, s.Dir, s.Binary, l.Addr().String(), addrs)
		if err != nil {
			return err
		}
		s.processes = append(s.processes, p)
		if i < 3 {
			seeds = append(seeds, p.peerProxy.Addr())
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

// configure writes the next version of the configuration. Each version has a route that no
// other has, which shows whether a host has it in force, and adds a permanent route.
func (s *Soak) configure() {
	s.mu.Lock()
	previous := s.version
	s.version += 1 + s.version%3
	version := s.version
	s.configuredAt = time.Now()
	s.added = append(s.added, route{name: keptRoute(version), added: s.configuredAt})
	added := slices.Clone(s.added)
	s.mu.Unlock()
	routes := []standin.Route{
		configRoute("lots", "safe", "lots"),
		configRoute("bids", "mutating", "bids"),
		configRoute("photos", "upload", "photos"),
		configRoute(versionRoute(version), "safe", "lots"),
	}
	for _, r := range added {
		routes = append(routes, configRoute(r.name, "safe", "lots"))
	}
	document := standin.Config(version, routes...)
	if s.targets.coldLimits {
		document = standin.ConfigWithColdLimits(version, coldTime, coldRate, routes...)
	}
	s.store.Put("op", "config", document)
	s.mu.Lock()
	defer s.mu.Unlock()
	if previous > 0 {
		s.replaced = append(s.replaced, replacedVersion{version: previous, at: time.Now()})
	}
}

// configRoute returns a route of the configuration.
func configRoute(name, kind, service string) standin.Route {
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
		p.storeProxy.Close()
		p.peerProxy.Close()
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

// isConnRefused reports whether a connection was refused, so that no host read the request.
func isConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// disturbanceRand returns the random source of the disturbances.
func (s *Soak) disturbanceRand() *rand.Rand { return rand.New(rand.NewPCG(s.seed, 1)) }

// Build compiles the daemon into dir and returns the path of the binary.
func Build(ctx context.Context, dir string) (string, error) {
	binary := filepath.Join(dir, "cactusproxyd")
	cmd := goBuild(ctx, binary)
	cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
	return binary, cmd.Run()
}
