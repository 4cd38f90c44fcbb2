package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cactusproxy/cactusproxy/platform/standin"
)

const (
	headerInstance    = "X-Cactusproxy-Instance-Id"
	headerTarget      = "X-Cactusproxy-Target-Instance"
	headerLoad        = "X-Cactusproxy-Backend-Load"
	headerNotExecuted = "X-Cactusproxy-Not-Executed"
)

// backend is a sound backend after the users' pages. It begins to work on a request once its body
// has arrived.
type backend struct {
	d           *deployment
	id, service string
	addr, zone  string
	server      *http.Server
	slots       int
	queue       int
	work        time.Duration
	free        chan struct{}

	mu               sync.Mutex
	running, waiting int
	startedAt        map[string]time.Time
}

// firstBackendHost is the last part of the address of the first backend.
const firstBackendHost = 100

// startBackend starts a backend and registers it.
func (d *deployment) startBackend(n int, service, zone string, slots, queue int, work time.Duration) (*backend, error) {
	b := &backend{
		d: d, id: fmt.Sprintf("i-%s-%d", service, n), service: service, slots: slots, queue: queue, work: work,
		free: make(chan struct{}, slots), startedAt: make(map[string]time.Time),
	}
	b.addr, b.zone = d.addr(firstBackendHost+n, "8500"), zone
	return b, b.start()
}

// start listens and registers.
func (b *backend) start() error {
	l, err := net.Listen("tcp", b.addr)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: b}
	go func() { _ = s.Serve(l) }()
	b.server = s
	b.d.store.Put("servers", b.id, b.entry("ready"))
	return nil
}

const (
	// poisonMark begins the body of a request that crashes each backend that begins to run it.
	poisonMark = "poison"
	// crashDown is how long a crashed backend is down, entryLapse how long its entry stays.
	crashDown  = 3 * time.Second
	entryLapse = 4500 * time.Millisecond
)

// crash ends the backend without notice. Its next incarnation has the same address and another ID.
func (b *backend) crash() {
	b.d.mu.Lock()
	b.d.crashes++
	n := b.d.crashes
	b.d.mu.Unlock()
	b.d.record("%s crashes", b.id)
	_ = b.server.Close()
	time.AfterFunc(entryLapse, func() { b.d.store.Remove("servers", b.id) })
	time.AfterFunc(crashDown, func() {
		next := &backend{
			d: b.d, id: fmt.Sprintf("%s-%d", b.id, n), service: b.service, slots: b.slots, queue: b.queue, work: b.work,
			addr: b.addr, zone: b.zone, free: make(chan struct{}, b.slots), startedAt: make(map[string]time.Time),
		}
		if err := next.start(); err != nil {
			b.d.record("%s did not start again: %v", next.id, err)
		}
	})
}

func (d *deployment) crashCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashes
}

func (b *backend) entry(state string) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","capacity":%d,"state":%q,"warmup_left":"0ms","seq":1}`,
		b.service, b.addr, b.zone, b.slots, state)
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set(headerInstance, b.id)
	b.mu.Lock()
	h.Set(headerLoad, fmt.Sprintf("%d,%d,%d,100", b.running, b.waiting, b.slots))
	b.mu.Unlock()
	if r.URL.Path == standin.HealthPath {
		return
	}
	id := r.Header.Get(standin.HeaderRequestID)
	h.Set(standin.HeaderRequestID, id)
	if want := r.Header.Get(headerTarget); want != "" && want != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !b.enqueue() {
		h.Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	mark := make([]byte, len(poisonMark))
	m, _ := io.ReadFull(r.Body, mark)
	n, err := io.Copy(io.Discard, r.Body)
	n += int64(m)
	if err != nil {
		b.dequeue()
		b.d.record("%s got a request that broke off: %s after %d bytes: %v", b.id, id, n, err)
		return
	}
	select {
	case b.free <- struct{}{}:
	case <-r.Context().Done():
		b.dequeue()
		return
	}
	b.dequeue()
	defer func() { <-b.free }()
	b.begin(id)
	defer b.finish()
	if string(mark) == poisonMark || isPoisonCaller(r) {
		b.crash()
		return
	}
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		return
	}
	answer := standin.ResponseBody(id, int(n))
	h.Set(standin.HeaderSeal, "seal-"+id)
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// isPoisonCaller reports whether a request is one of poisonCaller.
func isPoisonCaller(r *http.Request) bool {
	return r.Header.Get(standin.HeaderTenant) == poisonCaller || r.Header.Get("Authorization") == keyOf(poisonCaller)
}

func (b *backend) enqueue() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiting >= b.queue {
		return false
	}
	b.waiting++
	return true
}

func (b *backend) dequeue() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting--
}

func (b *backend) begin(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running++
	b.startedAt[id] = time.Now()
	b.d.record("%s runs %s", b.id, id)
}

func (b *backend) finish() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}
