// Package confignet measures how fast a configuration change is in force on a
// fleet of hosts, and what it costs. The hosts run the real controllers; the
// platform and the network between hosts are in-memory fakes. In a synctest
// bubble all times are virtual.
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

// Fleet is a number of hosts in one process.
type Fleet struct {
	Net   *peernet.Network
	Store *store.Store
	// Configure, if set, changes a controller before it runs.
	Configure func(*config.Controller)
	// Seed makes the hosts' random choices repeatable.
	Seed uint64

	mu    sync.Mutex
	hosts []*Host
	slow  map[ports.HostID]time.Duration
	cuts  map[pair]bool
	all   atomic.Uint64
	sent  atomic.Uint64
}

// pair is a direction between two hosts.
type pair struct{ from, to ports.HostID }

// Host is one host of a fleet.
type Host struct {
	ID         ports.HostID
	Zone       string
	Board      *blackboard.Board
	Metrics    *metrics.Set
	Controller *config.Controller

	platform *gate
	offset   atomic.Int64
	cancel   context.CancelFunc
	done     chan error
}

// zones is the number of availability zones that hosts are spread over.
const zones = 3

// NewFleet starts hosts in three availability zones.
func NewFleet(hosts int) *Fleet {
	f := Empty()
	f.StartAll(hosts)
	return f
}

// Empty returns a fleet that can still be configured.
func Empty() *Fleet {
	f := &Fleet{
		Net:   peernet.New(),
		Store: store.New(store.Limits{}),
		slow:  make(map[ports.HostID]time.Duration),
		cuts:  make(map[pair]bool),
	}
	f.Net.Delay = f.delay
	return f
}

// StartAll adds several hosts.
func (f *Fleet) StartAll(hosts int) {
	for range hosts {
		f.Start()
	}
}

// delay is the time of a message between two hosts.
func (f *Fleet) delay(from, to ports.HostID) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return oneWay(from, to) + f.slow[from]
}

// SlowDown delays all that a host sends from now on.
func (f *Fleet) SlowDown(h *Host, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slow[h.ID] = d
}

// oneWay is the delay between two hosts, whose IDs end with their zone.
func oneWay(from, to ports.HostID) time.Duration {
	if from[len(from)-1] == to[len(to)-1] {
		return 100 * time.Microsecond
	}
	return 500 * time.Microsecond
}

// Start adds a new host, which knows nothing yet.
func (f *Fleet) Start() *Host {
	n := f.all.Add(1)
	zone := string(rune('a' + n%zones))
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{
		ID:       ports.HostID(fmt.Sprintf("h%03d-%s", n, zone)),
		Zone:     zone,
		Board:    blackboard.New(),
		Metrics:  metrics.New(),
		platform: &gate{table: f.Store, objects: f.Store.Objects()},
		cancel:   cancel,
		done:     make(chan error, 1),
	}
	link := &countingLink{Link: f.Net.Join(h.ID), sent: &f.sent}
	h.Controller = config.New(config.Deps{
		Board: h.Board, Table: h.platform, Objects: gateObjects{h.platform}, Link: link,
		Metrics: h.Metrics, Log: zap.NewNop(), Now: h.now, Rand: rand.New(rand.NewPCG(f.Seed, n)),
	})
	if f.Configure != nil {
		f.Configure(h.Controller)
	}
	f.mu.Lock()
	f.hosts = append(f.hosts, h)
	f.mu.Unlock()
	f.shareMembers()
	go func() { h.done <- h.Controller.Run(ctx) }()
	return h
}

// Stop ends a host and takes it off the others' lists.
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
	f.shareMembers()
}

// Close ends all hosts.
func (f *Fleet) Close() {
	for _, h := range f.Hosts() {
		f.Stop(h)
	}
}

// Hosts returns the hosts that run.
func (f *Fleet) Hosts() []*Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Host(nil), f.hosts...)
}

// shareMembers tells every host of all others. Heartbeats are not modelled:
// hosts learn of each other's sequence by the controller's own messages.
func (f *Fleet) shareMembers() {
	hosts := f.Hosts()
	members := make([]blackboard.Member, len(hosts))
	for i, h := range hosts {
		members[i] = blackboard.Member{Host: ports.Host{ID: h.ID, Zone: h.Zone}, State: blackboard.MemberLive}
	}
	for _, h := range hosts {
		h.Board.Members.Store(&blackboard.Members{Self: h.ID, Members: members})
	}
}

// Isolate cuts the host off from all others and from the platform.
func (f *Fleet) Isolate(h *Host) {
	f.CutPeers(h)
	h.CutPlatform()
}

// CutPeers cuts the host off from all others.
func (f *Fleet) CutPeers(h *Host) {
	for _, other := range f.Hosts() {
		f.CutLink(h, other)
		f.CutLink(other, h)
	}
}

// CutLink drops what one host sends to another.
func (f *Fleet) CutLink(from, to *Host) {
	f.Net.Block(from.ID, to.ID)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts[pair{from.ID, to.ID}] = true
}

// Heal ends all cuts.
func (f *Fleet) Heal() {
	f.Net.UnblockAll()
	f.mu.Lock()
	clear(f.slow)
	clear(f.cuts)
	f.mu.Unlock()
	for _, h := range f.Hosts() {
		h.platform.cut.Store(false)
	}
}

// Linked reports whether two hosts reach each other without delay.
func (f *Fleet) Linked(a, b *Host) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.slow[a.ID]+f.slow[b.ID] == 0 && !f.cuts[pair{a.ID, b.ID}] && !f.cuts[pair{b.ID, a.ID}]
}

// Severed reports whether no message passes between two hosts and back.
func (f *Fleet) Severed(a, b *Host) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cuts[pair{a.ID, b.ID}] || f.cuts[pair{b.ID, a.ID}]
}

// SentBytes returns the bytes of all message bodies so far.
func (f *Fleet) SentBytes() uint64 { return f.sent.Load() }

// CutPlatform makes the platform's answers to this host hang.
func (h *Host) CutPlatform() { h.platform.cut.Store(true) }

// RestorePlatform ends CutPlatform; what hangs goes on hanging.
func (h *Host) RestorePlatform() { h.platform.cut.Store(false) }

// DelayCommit loses the answer to the host's next commit, which takes effect
// only after d.
func (h *Host) DelayCommit(d time.Duration) { h.platform.late.Store(int64(d)) }

// PlatformCut reports whether the platform's answers to this host hang.
func (h *Host) PlatformCut() bool { return h.platform.cut.Load() }

// Jump moves the host's clock on, as it looks after a pause.
func (h *Host) Jump(d time.Duration) { h.offset.Add(int64(d)) }

func (h *Host) now() time.Time { return time.Now().Add(time.Duration(h.offset.Load())) }

// Sequence returns the sequence in force on the host.
func (h *Host) Sequence() uint64 { return h.Board.Config.Load().Sequence }

// Ready reports whether the host takes calls.
func (h *Host) Ready() bool { return h.Board.Status.Load().Ready() }

// Reads returns the operations that the host's platform took.
func (h *Host) Reads() uint64 { return h.platform.reads.Load() }
