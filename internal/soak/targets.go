package soak

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cactusproxy/cactusproxy/platform/standin"
)

// backend is a target behind a wire.
type backend struct {
	*standin.Target
	service string
	zone    string
	server  *http.Server
	wire    *Wire
	gone    bool
	needs   needs
	// drainAt is when the store was told that the target drains; zero if not.
	drainAt time.Time
}

// targets are all targets of a run, those that are gone included.
type targets struct {
	store *standin.Store
	// zones has some of the targets in the far zone.
	zones bool

	mu   sync.Mutex
	list []*backend
	next int
}

// Figures of the targets.
const (
	targetSlots = 4
	targetQueue = 8
	targetWork  = 15 * time.Millisecond
)

// add starts a target and lists it.
func (t *targets) add(service string) error {
	t.mu.Lock()
	t.next++
	id, zone := fmt.Sprintf("%s-%d", service, t.next), nearZone
	if t.zones && t.next%farEach == 0 {
		zone = farZone
	}
	t.mu.Unlock()
	return t.begin(id, service, zone)
}

// begin starts a run of a target and lists it.
func (t *targets) begin(id, service, zone string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	wire, err := NewWire(l.Addr().String())
	if err != nil {
		return err
	}
	b := &backend{
		Target:  &standin.Target{ID: id, StartMillis: time.Now().UnixMilli(), Slots: targetSlots, Queue: targetQueue, Work: targetWork},
		service: service,
		zone:    zone,
		wire:    wire,
	}
	b.LoseResponse, b.CorruptStatus = b.losing, spoiling
	b.Limit, b.BackOff, b.Leaving = b.needs.namedLimit, b.needs.askedRest, b.needs.saysLeaving
	b.server = &http.Server{Handler: b.Target, ReadHeaderTimeout: time.Minute}
	t.mu.Lock()
	t.list = append(t.list, b)
	t.mu.Unlock()
	go func() { _ = b.server.Serve(l) }()
	t.register(b, "ready")
	return nil
}

// losing tells of one run in fifty that its answer is lost.
func (b *backend) losing(id string) bool { return digest(id)%50 == 0 }

// spoilt are the statuses of answers that no target vouches for.
var spoilt = []int{301, 400, 404, 413, 431}

// spoiling has an answer that no target vouches for stand in the place of one in a hundred.
func spoiling(id string) int {
	sum := digest(id)
	if sum%50 != 1 { // never so for the half of the digests below zero
		return 0
	}
	return spoilt[sum/50%len(spoilt)]
}

// digest tells requests apart by their IDs, the same way in each run of a seed.
func digest(id string) int {
	sum := 0
	for _, c := range id {
		sum = sum*31 + int(c)
	}
	return sum
}

func (t *targets) register(b *backend, state string) {
	t.store.Put("servers", b.ID, b.Entry(b.service, b.wire.Addr(), b.zone, state))
}

// live returns the targets that are not gone.
func (t *targets) live() []*backend {
	return slices.DeleteFunc(t.all(), func(b *backend) bool { return b.gone })
}

func (t *targets) all() []*backend {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.list)
}

// replace has a target drain and leave; another one takes its place first.
func (t *targets) replace(b *backend) error {
	if err := t.add(b.service); err != nil {
		return err
	}
	b.gone = true
	t.register(b, "draining")
	b.drainAt = time.Now()
	time.AfterFunc(4*time.Second, func() {
		t.store.Remove("servers", b.ID)
		_ = b.server.Close()
	})
	return nil
}

// crash ends a target without a word; its entry lapses later.
func (t *targets) crash(b *backend) error {
	if err := t.add(b.service); err != nil {
		return err
	}
	b.gone = true
	_ = b.server.Close()
	time.AfterFunc(2*time.Second, func() { t.store.Remove("servers", b.ID) })
	return nil
}

// startAgain ends a run of a target without a word; the next begins under its name, at
// another address, and a last write of the former run arrives after that.
func (t *targets) startAgain(b *backend) error {
	b.gone = true
	_ = b.server.Close()
	time.Sleep(2 * time.Millisecond) // the next run's start is another millisecond
	if err := t.begin(b.ID, b.service, b.zone); err != nil {
		return err
	}
	t.register(b, "draining")
	time.AfterFunc(500*time.Millisecond, func() { t.renew(b.ID) })
	return nil
}

// renew has the present run of a target write its entry once more, as all do now and then.
func (t *targets) renew(id string) {
	for _, b := range t.live() {
		if b.ID == id && b.drainAt.IsZero() {
			t.register(b, "ready")
		}
	}
}

// scribble puts an entry that no target wrote: in the place of one that is there, until
// that renews it, or beside the others.
func (t *targets) scribble(b *backend, text string, over bool) {
	if !over {
		t.store.Put("servers", "scribble", []byte(text))
		return
	}
	t.store.Put("servers", b.ID, []byte(text))
	time.AfterFunc(500*time.Millisecond, func() { t.renew(b.ID) })
}

func (t *targets) close() {
	for _, b := range t.all() {
		_ = b.server.Close()
		b.wire.Close()
	}
}
