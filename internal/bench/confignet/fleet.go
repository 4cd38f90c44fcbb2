// Package confignet benchmarks configuration distribution: how fast a change takes
// effect on a fleet of hosts, and what it costs in traffic and CPU time. Fleet is
// also used by the tests of the configuration controller.
//
// The hosts run the production controllers; the platform and the network between
// hosts are in-memory fakes with fault injection. In a synctest bubble all times
// are virtual.
package confignet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/controller/config"
	"github.com/cactusproxy/cactusproxy/internal/fakes/peernet"
	"github.com/cactusproxy/cactusproxy/internal/standin/store"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Fleet is a set of hosts in one process.
type Fleet struct {
	Net   *peernet.Network
	Store *store.Store
	// Configure, if set, is called with each controller before it runs.
	Configure func(*config.Controller)
	// Seed makes the random choices of the hosts reproducible.
	Seed uint64

	mu        sync.Mutex
	hosts     []*Host
	sendDelay map[ports.HostID]time.Duration
	cuts      map[link]bool
	started   atomic.Uint64
	sent      atomic.Uint64
}

// link is a directed link between two hosts.
type link struct{ from, to ports.HostID }

// Host is a host of a fleet.
type Host struct {
	ID         ports.HostID
	Zone       string
	Board      *blackboard.Board
	Metrics    *metrics.Set
	Controller *config.Controller

	platform *faultyPlatform
	offset   atomic.Int64
	cancel   context.CancelFunc
	done     chan error
}

// zones is the number of availability zones of a fleet.
const zones = 3

// NewFleet starts a fleet of hosts, spread over three availability zones.
func NewFleet(hosts int) *Fleet {
	f := NewEmptyFleet()
	f.StartAll(hosts)
	return f
}

// NewEmptyFleet returns a fleet without hosts, so that its fields can be set before
// hosts are started.
func NewEmptyFleet() *Fleet {
	f := &Fleet{
		Net:       peernet.New(),
		Store:     store.New(store.Limits{}),
		sendDelay: make(map[ports.HostID]time.Duration),
		cuts:      make(map[link]bool),
	}
	f.Net.Delay = f.delay
	return f
}

// StartAll starts the given number of hosts.
func (f *Fleet) StartAll(hosts int) {
	for range hosts {
		f.Start()
	}
}

// delay returns the current latency of a message between two hosts.
func (f *Fleet) delay(from, to ports.HostID) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return oneWay(from, to) + f.sendDelay[from]
}

// SlowDown adds a delay to all messages that a host sends, until Heal.
func (f *Fleet) SlowDown(h *Host, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sendDelay[h.ID] = d
}

// oneWay returns the network latency between two hosts, whose IDs end with the
// letter of their zone.
func oneWay(from, to ports.HostID) time.Duration {
	if from[len(from)-1] == to[len(to)-1] {
		return 100 * time.Microsecond
	}
	return 500 * time.Microsecond
}

// Start adds a new host without any configuration and runs its controller.
func (f *Fleet) Start() *Host {
	n := f.started.Add(1)
	zone := string(rune('a' + n%zones))
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{
		ID:       ports.HostID(fmt.Sprintf("h%03d-%s", n, zone)),
		Zone:     zone,
		Board:    blackboard.New(),
		Metrics:  metrics.New(),
		platform: &faultyPlatform{table: f.Store, objects: f.Store.Objects()},
		cancel:   cancel,
		done:     make(chan error, 1),
	}
	link := &countingLink{Link: f.Net.Join(h.ID), sent: &f.sent}
	h.Controller = config.New(config.Deps{
		Board: h.Board, Table: h.platform, Objects: faultyObjects{h.platform}, Link: link,
		Metrics: h.Metrics, Log: zap.NewNop(), Now: h.now, Rand: rand.New(rand.NewPCG(f.Seed, n)),
	})
	if f.Configure != nil {
		f.Configure(h.Controller)
	}
	f.mu.Lock()
	f.hosts = append(f.hosts, h)
	f.mu.Unlock()
	f.publishMembers()
	go func() { h.done <- h.Controller.Run(ctx) }()
	return h
}

// Stop stops a host and removes it from the members of the others.
func (f *Fleet) Stop(h *Host) {
	f.Net.Leave(h.ID)
	h.cancel()
	<-h.done
	_ = h.Board.Close()
	f.mu.Lock()
	for i := range f.hosts {
		if f.hosts[i] == h {
			f.hosts = append(f.hosts[:i:i], f.hosts[i+1:]...)
			break
		}
	}
	f.mu.Unlock()
	f.publishMembers()
}

// Close stops all hosts.
func (f *Fleet) Close() {
	for _, h := range f.Hosts() {
		f.Stop(h)
	}
}

// Hosts returns the running hosts.
func (f *Fleet) Hosts() []*Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Host(nil), f.hosts...)
}

// publishMembers publishes the current members to every host. Heartbeats are not
// simulated: hosts learn each other's sequence from the controller's messages.
func (f *Fleet) publishMembers() {
	hosts := f.Hosts()
	members := make([]blackboard.Member, len(hosts))
	for i, h := range hosts {
		members[i] = blackboard.Member{Host: ports.Host{ID: h.ID, Zone: h.Zone}, State: blackboard.MemberLive}
	}
	for _, h := range hosts {
		h.Board.Members.Store(&blackboard.Members{Self: h.ID, Members: members})
	}
}

// Isolate disconnects a host from all others and from the platform.
func (f *Fleet) Isolate(h *Host) {
	f.CutPeers(h)
	h.CutPlatform()
}

// CutPeers disconnects a host from all others.
func (f *Fleet) CutPeers(h *Host) {
	for _, other := range f.Hosts() {
		f.CutLink(h, other)
		f.CutLink(other, h)
	}
}

// CutLink drops all messages from one host to another.
func (f *Fleet) CutLink(from, to *Host) {
	f.Net.Block(from.ID, to.ID)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts[link{from.ID, to.ID}] = true
}

// Heal restores all links, including those to the platform, and removes the delays
// set by SlowDown.
func (f *Fleet) Heal() {
	f.Net.UnblockAll()
	f.mu.Lock()
	clear(f.sendDelay)
	clear(f.cuts)
	f.mu.Unlock()
	for _, h := range f.Hosts() {
		h.platform.cut.Store(false)
	}
}

// Linked reports whether two hosts are connected in both directions, with no delay
// set by SlowDown.
func (f *Fleet) Linked(a, b *Host) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sendDelay[a.ID]+f.sendDelay[b.ID] == 0 &&
		!f.cuts[link{a.ID, b.ID}] && !f.cuts[link{b.ID, a.ID}]
}

// Disconnected reports whether the link between two hosts is cut in at least one
// direction, so that no round trip is possible.
func (f *Fleet) Disconnected(a, b *Host) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cuts[link{a.ID, b.ID}] || f.cuts[link{b.ID, a.ID}]
}

// SentBytes returns the total size of the message bodies sent between hosts so
// far, replies included.
func (f *Fleet) SentBytes() uint64 { return f.sent.Load() }

// CutPlatform makes the host's platform operations hang until their context is
// done.
func (h *Host) CutPlatform() { h.platform.cut.Store(true) }

// RestorePlatform ends CutPlatform. Operations that already hang continue to do so.
func (h *Host) RestorePlatform() { h.platform.cut.Store(false) }

// DelayCommit makes the host's next commit return an uncertain result and take
// effect only after d.
func (h *Host) DelayCommit(d time.Duration) { h.platform.commitDelay.Store(int64(d)) }

// PlatformCut reports whether the host is disconnected from the platform.
func (h *Host) PlatformCut() bool { return h.platform.cut.Load() }

// AdvanceClock moves the host's clock forward, as if the host had been paused.
func (h *Host) AdvanceClock(d time.Duration) { h.offset.Add(int64(d)) }

func (h *Host) now() time.Time { return time.Now().Add(time.Duration(h.offset.Load())) }

// Sequence returns the configuration sequence in force on the host.
func (h *Host) Sequence() uint64 { return h.Board.Config.Load().Sequence }

// Ready reports whether the host is ready to serve calls.
func (h *Host) Ready() bool { return h.Board.Status.Load().Ready() }

// Reads returns the number of read operations that the host sent to the platform.
func (h *Host) Reads() uint64 { return h.platform.reads.Load() }
