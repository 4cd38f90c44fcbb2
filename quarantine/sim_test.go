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
	"github.com/cactusproxy/cactusproxy/ports"
)

// simTarget is a model of a target: a set of runs that all break off when it
// is lost.
type simTarget struct {
	id    ports.HostID
	runs  int
	alone bool
	up    bool
	lost  chan struct{}
}

// sim is a fleet of hosts with the real Quarantine, over model targets.
type sim struct {
	hosts []*Quarantine
	stop  context.CancelFunc

	mu      sync.Mutex
	rng     *rand.Rand
	targets []*simTarget
	// killed counts targets lost to each poison request, refused the attempts
	// refused of innocent ones.
	killed  map[uint64]int
	refused int
	sends   int
	// messages counts those between hosts.
	messages int
}

// newSim returns a fleet of the usual size.
func newSim(seed uint64) *sim { return newSimOf(seed, simHosts) }

// newSimOf returns a fleet of some size.
func newSimOf(seed uint64, hosts int) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 0)), killed: make(map[uint64]int)}
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

// delay is one way between two hosts, with some scatter.
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

// take waits for a slot, alone on its target if asked.
func (s *sim) take(alone bool) *simTarget {
	for {
		if t := s.tryTake(alone); t != nil {
			return t
		}
		time.Sleep(200 * time.Microsecond)
	}
}

func (s *sim) tryTake(alone bool) *simTarget {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.rng.IntN(len(s.targets))
	for i := range s.targets {
		t := s.targets[(first+i)%len(s.targets)]
		free := t.up && !t.alone && t.runs < simSlots
		if free && (!alone || t.runs == 0) {
			t.runs++
			t.alone = alone
			return t
		}
	}
	return nil
}

// lose takes targets down, and up again later.
func (s *sim) lose(targets ...*simTarget) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range targets {
		if !t.up {
			continue
		}
		t.up = false
		close(t.lost)
		go s.noticeLoss(ports.RunID(t.id))
		time.AfterFunc(simRestart, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			t.up, t.runs, t.alone, t.lost = true, 0, false, make(chan struct{})
		})
	}
}

// noticeLoss is an attempt of some host that finds the target gone.
func (s *sim) noticeLoss(id ports.RunID) {
	time.Sleep(simTrip)
	a, _ := s.host().Admit(context.Background(), 1)
	a.NotReached(id)
	a.Close()
}

// run takes one admitted attempt through a target; false if it broke off.
func (s *sim) run(a *Attempt, digest uint64, alone, poison bool, work time.Duration) bool {
	t := s.take(alone)
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
		s.killed[digest]++
		s.mu.Unlock()
		s.lose(t)
		a.BrokeOff()
		return false
	}
	a.Completed()
	s.mu.Lock()
	defer s.mu.Unlock()
	if lost == t.lost && t.up {
		t.runs--
		t.alone = false
	}
	return true
}

// send sends a request until it is answered, at most n times, each time to some
// host.
func (s *sim) send(digest uint64, poison bool, n int) {
	for range n {
		ctx, cancel := context.WithTimeout(context.Background(), simGiveUp)
		a, d := s.host().Admit(ctx, digest)
		cancel()
		s.mu.Lock()
		s.sends++
		if d.Refuse && !poison {
			s.refused++
		}
		s.mu.Unlock()
		if !d.Refuse && s.run(a, digest, d.Alone, poison, s.work()) {
			return
		}
		time.Sleep(simTrip)
	}
}

func (s *sim) work() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.rng.ExpFloat64() * float64(simService))
}

// innocents sends n requests at intervals, a fifth of them one common request.
func (s *sim) innocents(wg *sync.WaitGroup, n int, every time.Duration) {
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

// poisons sends each of these requests from one caller and, once its first
// target is lost and the news has gone round, from more callers.
func (s *sim) poisons(wg *sync.WaitGroup, callers int, digests ...uint64) {
	for _, d := range digests {
		for i := range callers {
			wg.Go(func() {
				time.Sleep(100 * time.Millisecond)
				for i > 0 && s.kills(d) == 0 {
					time.Sleep(simTrip)
				}
				time.Sleep(simTrip)
				s.send(d, true, 300)
			})
		}
	}
}

func (s *sim) kills(digest uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.killed[digest]
}

// worst returns the most targets lost to one poison request.
func (s *sim) worst() int {
	worst := 0
	for _, n := range s.killed {
		worst = max(worst, n)
	}
	return worst
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

// simSeeds is the number of runs of each scenario; longer ones are for trials.
var simSeeds = flag.Int("seeds", 20, "runs of each scenario")
