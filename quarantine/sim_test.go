package quarantine

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/internal/fakes/peernet"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/policy/suspicion"
	"github.com/cactusproxy/cactusproxy/ports"
)

// simTarget models a target. All its runs lose their connections when it crashes.
type simTarget struct {
	id        ports.HostID
	runs      int
	exclusive bool
	up        bool
	lost      chan struct{}
}

// sim is a cluster of hosts that run the real Quarantine over simulated targets.
type sim struct {
	hosts []*Quarantine
	stop  context.CancelFunc

	mu      sync.Mutex
	rng     *rand.Rand
	targets []*simTarget
	// crashed counts the targets that each poison request crashed, refused the
	// refused attempts of innocent requests.
	crashed map[uint64]int
	refused int
	sends   int
	// messages counts the messages between hosts.
	messages int
}

// newSim returns a cluster of simHosts hosts.
func newSim(seed uint64) *sim { return newSimWithHosts(seed, simHosts) }

// newSimWithHosts returns a cluster of the given number of hosts.
func newSimWithHosts(seed uint64, hosts int) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 0)), crashed: make(map[uint64]int)}
	net := peernet.New()
	net.Delay = s.delay
	var ids []ports.HostID
	for i := range hosts {
		ids = append(ids, ports.HostID(fmt.Sprintf("h%02d", i)))
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	for _, id := range ids {
		q := New(Deps{
			Link:    net.Join(id),
			Members: func() []ports.HostID { return ids },
			Metrics: metrics.New(),
			Log:     zap.NewNop(),
		})
		s.hosts = append(s.hosts, q)
		go func() { _ = q.Run(ctx) }()
	}
	for i := range simTargets {
		id := ports.HostID(fmt.Sprintf("t%02d", i))
		s.targets = append(s.targets, &simTarget{id: id, up: true, lost: make(chan struct{})})
	}
	return s
}

// close stops the hosts and waits until no message is in transit.
func (s *sim) close() {
	s.stop()
	time.Sleep(10 * time.Millisecond)
}

// delay returns a random one-way network delay and counts the message.
func (s *sim) delay(_, _ ports.HostID) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.messages++
	return 100*time.Microsecond + time.Duration(s.rng.Int64N(int64(900*time.Microsecond)))
}

func (s *sim) host() *Quarantine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts[s.rng.IntN(len(s.hosts))]
}

// acquireSlot waits for a free slot; with exclusive set, for a target without other runs.
func (s *sim) acquireSlot(exclusive bool) *simTarget {
	for {
		if t := s.tryAcquireSlot(exclusive); t != nil {
			return t
		}
		time.Sleep(200 * time.Microsecond)
	}
}

func (s *sim) tryAcquireSlot(exclusive bool) *simTarget {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.rng.IntN(len(s.targets))
	for i := range s.targets {
		t := s.targets[(first+i)%len(s.targets)]
		free := t.up && !t.exclusive && t.runs < simSlots
		if free && (!exclusive || t.runs == 0) {
			t.runs++
			t.exclusive = exclusive
			return t
		}
	}
	return nil
}

// crash crashes targets and restarts them after simRestart.
func (s *sim) crash(targets ...*simTarget) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range targets {
		if !t.up {
			continue
		}
		t.up = false
		close(t.lost)
		go s.reportUnreachable(ports.RunID(t.id))
		time.AfterFunc(simRestart, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			t.up, t.runs, t.exclusive, t.lost = true, 0, false, make(chan struct{})
		})
	}
}

// reportUnreachable reports from a random host that no connection to the target can be made.
func (s *sim) reportUnreachable(id ports.RunID) {
	time.Sleep(simRoundTrip)
	a, _ := s.host().Admit(context.Background(), suspicion.ID{Request: 1})
	a.ConnectFailed(id)
	a.Close()
}

// run runs one admitted attempt on a target. It returns false if the connection was
// lost.
func (s *sim) run(a *Attempt, digest uint64, exclusive, poison bool, work time.Duration) bool {
	t := s.acquireSlot(exclusive)
	lost := t.lost
	a.Started(ports.RunID(t.id))
	select {
	case <-time.After(work):
	case <-lost:
		a.BrokeOff()
		return false
	}
	if poison {
		s.mu.Lock()
		s.crashed[digest]++
		s.mu.Unlock()
		s.crash(t)
		a.BrokeOff()
		return false
	}
	a.Completed()
	s.mu.Lock()
	defer s.mu.Unlock()
	if lost == t.lost && t.up {
		t.runs--
		t.exclusive = false
	}
	return true
}

// send sends a request until it is answered, at most n times, each time to a random
// host.
func (s *sim) send(digest uint64, poison bool, n int) {
	for range n {
		ctx, cancel := context.WithTimeout(context.Background(), simAdmitTimeout)
		a, d := s.host().Admit(ctx, suspicion.ID{Request: digest})
		cancel()
		s.mu.Lock()
		s.sends++
		if d.Refuse && !poison {
			s.refused++
		}
		s.mu.Unlock()
		if !d.Refuse && s.run(a, digest, d.Exclusive, poison, s.work()) {
			return
		}
		time.Sleep(simRoundTrip)
	}
}

func (s *sim) work() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.rng.ExpFloat64() * float64(simService))
}

// sendInnocent sends n requests at intervals, a fifth of which are the same request.
func (s *sim) sendInnocent(wg *sync.WaitGroup, n int, every time.Duration) {
	wg.Go(func() {
		for i := range n {
			digest := uint64(1_000_000 + i)
			if i%5 == 0 {
				digest = 999
			}
			wg.Go(func() { s.send(digest, false, 10) })
			time.Sleep(every)
		}
	})
}

// sendPoison sends each of these requests from one caller and, once its first target is
// lost and the hosts have exchanged notifications, from the other callers.
func (s *sim) sendPoison(wg *sync.WaitGroup, callers int, digests ...uint64) {
	for _, d := range digests {
		for i := range callers {
			wg.Go(func() {
				time.Sleep(100 * time.Millisecond)
				for i > 0 && s.targetsCrashed(d) == 0 {
					time.Sleep(simRoundTrip)
				}
				time.Sleep(simRoundTrip)
				s.send(d, true, 300)
			})
		}
	}
}

func (s *sim) targetsCrashed(digest uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashed[digest]
}

// maxCrashed returns the largest number of targets that one poison request crashed.
func (s *sim) maxCrashed() int {
	maxCrashed := 0
	for _, n := range s.crashed {
		maxCrashed = max(maxCrashed, n)
	}
	return maxCrashed
}

// total returns the sum of a counter over all hosts.
func (s *sim) total(name string) int64 {
	var n int64
	for _, q := range s.hosts {
		if v, ok := q.count.Get(name).(interface{ Value() int64 }); ok {
			n += v.Value()
		}
	}
	return n
}

// simSeeds is the number of seeds that each scenario runs with.
var simSeeds = flag.Int("seeds", 20, "number of runs of each scenario")
