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

// testTarget is a simulated target behind a fault proxy.
type testTarget struct {
	*standin.Target
	service string
	zone    string
	server  *http.Server
	proxy   *FaultProxy
	gone    bool
	signals targetSignals
	cold    coldSpells
	// drainAt is when the target's entry was set to draining, or zero.
	drainAt time.Time
}

// targetSet holds all targets of a run, including those that are gone.
type targetSet struct {
	store *standin.Store
	// zones places some of the targets in the far zone.
	zones bool
	// coldLimits makes targets announce that they are cold.
	coldLimits bool
	// poison makes targets crash while they run the reads of one caller, and send responses without end.
	poison bool
	// underLoad is set once callers send requests. Targets that start after that are cold.
	underLoad bool

	mu   sync.Mutex
	list []*testTarget
	next int
	// unreachableFrom are the addresses whose packets all targets lose.
	unreachableFrom []net.IP
	// crashes are those by requests, in order.
	crashes []crash
}

// Capacity and service time of the targets.
const (
	targetSlots = 4
	targetQueue = 8
	targetWork  = 15 * time.Millisecond
)

// add starts a new target of a service and registers it.
func (t *targetSet) add(service string) error {
	t.mu.Lock()
	t.next++
	id, zone := fmt.Sprintf("%s-%d", service, t.next), nearZone
	if t.zones && t.next%farZoneInterval == 0 {
		zone = farZone
	}
	t.mu.Unlock()
	return t.startRun(id, service, zone)
}

// startRun starts a run of a target and registers it.
func (t *targetSet) startRun(id, service, zone string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	proxy, err := NewFaultProxy(l.Addr().String())
	if err != nil {
		return err
	}
	b := &testTarget{
		Target:  &standin.Target{ID: id, StartMillis: time.Now().UnixMilli(), Slots: targetSlots, Queue: targetQueue, Work: targetWork},
		service: service,
		zone:    zone,
		proxy:   proxy,
	}
	if t.coldLimits {
		b.Slots, b.Queue, b.Work, b.Cold = coldSlots, coldQueue, coldWork, b.cold.left
		if t.underLoad {
			b.cold.begin(time.Now())
		}
	}
	if t.poison {
		b.Intercept = func(w http.ResponseWriter, r *http.Request, id string) bool { return t.intercept(b, w, r, id) }
	}
	b.LoseResponse, b.CorruptStatus = b.losesResponse, corruptStatus
	b.Limit, b.BackOff, b.Leaving = b.signals.announcedLimit, b.signals.requestedRest, b.signals.announcesLeaving
	b.server = &http.Server{Handler: b.Target, ReadHeaderTimeout: time.Minute}
	t.mu.Lock()
	t.list = append(t.list, b)
	proxy.LoseFrom(t.unreachableFrom)
	t.mu.Unlock()
	go func() { _ = b.server.Serve(l) }()
	t.register(b, "ready")
	return nil
}

// losesResponse reports whether the response of a request is lost, which is so for one
// request in fifty.
func (b *testTarget) losesResponse(id string) bool { return hashID(id)%50 == 0 }

// corruptStatuses are the statuses of corrupt responses, which lack the target's headers.
var corruptStatuses = []int{301, 400, 404, 413, 431}

// corruptStatus returns the status of the corrupt response to a request, or 0 for a proper
// response. One response in a hundred is corrupt.
func corruptStatus(id string) int {
	sum := hashID(id)
	if sum%50 != 1 { // never true for the half of the hashes that are negative
		return 0
	}
	return corruptStatuses[sum/50%len(corruptStatuses)]
}

// hashID returns a hash of a request ID, which is the same in every run of a seed.
func hashID(id string) int {
	sum := 0
	for _, c := range id {
		sum = sum*31 + int(c)
	}
	return sum
}

func (t *targetSet) register(b *testTarget, state string) {
	t.store.Put("servers", b.ID, b.Entry(b.service, b.proxy.Addr(), b.zone, state))
}

// live returns the targets that are not gone.
func (t *targetSet) live() []*testTarget {
	return slices.DeleteFunc(t.all(), func(b *testTarget) bool { return b.gone })
}

func (t *targetSet) all() []*testTarget {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.list)
}

// replace starts a replacement for a target, then drains and removes the target.
func (t *targetSet) replace(b *testTarget) error {
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

// crash closes a target without notice and removes its entry later, as if it had expired.
func (t *targetSet) crash(b *testTarget) error {
	if err := t.add(b.service); err != nil {
		return err
	}
	b.gone = true
	_ = b.server.Close()
	time.AfterFunc(2*time.Second, func() { t.store.Remove("servers", b.ID) })
	return nil
}

// restart closes a target without notice and starts a new run with the same ID at another
// address. A last write of the previous run reaches the store after that of the new one.
func (t *targetSet) restart(b *testTarget) error {
	b.gone = true
	_ = b.server.Close()
	time.Sleep(2 * time.Millisecond) // the next run must start in another millisecond
	if err := t.startRun(b.ID, b.service, b.zone); err != nil {
		return err
	}
	t.register(b, "draining")
	time.AfterFunc(500*time.Millisecond, func() { t.renew(b.ID) })
	return nil
}

// renew rewrites the entry of the current run of a target, as targets do periodically.
func (t *targetSet) renew(id string) {
	for _, b := range t.live() {
		if b.ID == id && b.drainAt.IsZero() {
			t.register(b, "ready")
		}
	}
}

// writeForeignEntry writes an entry that no target wrote, either over the entry of a target
// until that renews it, or under an ID of its own.
func (t *targetSet) writeForeignEntry(b *testTarget, text string, over bool) {
	if !over {
		t.store.Put("servers", "scribble", []byte(text))
		return
	}
	t.store.Put("servers", b.ID, []byte(text))
	time.AfterFunc(500*time.Millisecond, func() { t.renew(b.ID) })
}

func (t *targetSet) close() {
	for _, b := range t.all() {
		_ = b.server.Close()
		b.proxy.Close()
	}
}
