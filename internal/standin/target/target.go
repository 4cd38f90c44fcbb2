// Package target is a small stand-in for a target: slots with a bounded queue
// behind them, a limit of connections, random service times, and the ways in
// which targets misbehave, all of which can be switched while it runs. It keeps
// a record of each run, by which tests see what really happened.
package target

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Status is the state of the target at one moment, told truthfully.
type Status struct {
	// Load is the number of calls in flight and queued.
	Load    int  `json:"load"`
	Leaving bool `json:"leaving"`
	Down    bool `json:"down"`
	// Conns is the number of open connections, PeakConns the most there were.
	Conns     int `json:"conns"`
	PeakConns int `json:"peakConns"`
	// ConnsRefused, ShedCalls, Crashes and Probes count since the start.
	ConnsRefused int `json:"connsRefused"`
	ShedCalls    int `json:"shedCalls"`
	Crashes      int `json:"crashes"`
	Probes       int `json:"probes"`
}

// Target is one stand-in. All methods are safe for concurrent use.
type Target struct {
	opts   Options
	slots  chan struct{}
	record record

	mu        sync.Mutex
	behaviour Behaviour
	times     *times
	reports   history
	status    Status
	// refuseFrom is when a draining target starts to refuse.
	refuseFrom time.Time
	// down is closed when the target crashes and made anew when it restarts.
	down chan struct{}

	addr     string
	life     life
	restarts chan life
	closed   chan struct{}
}

// life is what listens from one start to the next crash.
type life struct {
	listener net.Listener
	server   *http.Server
}

// end closes the listener and all connections. The server goes first: a listener
// that is closed under it looks like a fault. The second Close is for a life that
// ended before Serve came to it. Errors say only that they
// were closed before. The caller must not hold the target's lock, which each
// connection takes to be counted out.
func (l life) end() {
	if l.server == nil {
		return
	}
	_ = l.server.Close()
	_ = l.listener.Close()
}

// New returns a target that is up but listens nowhere; see Handler and Serve.
func New(o Options) *Target {
	if o.Slots == 0 {
		o.Slots = 1
	}
	if o.HealthPath == "" {
		o.HealthPath = DefaultHealthPath
	}
	return &Target{
		opts:      o,
		slots:     make(chan struct{}, o.Slots),
		behaviour: o.Behaviour,
		times:     newTimes(o.Seed, time.Now()),
		down:      make(chan struct{}),
		restarts:  make(chan life, 1),
		closed:    make(chan struct{}),
	}
}

// SetBehaviour replaces the behaviour; calls that run already are not affected.
func (t *Target) SetBehaviour(b Behaviour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behaviour = b
}

// Behaviour returns the present behaviour.
func (t *Target) Behaviour() Behaviour {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.behaviour
}

// Runs returns the record of all runs, in the order in which they started.
func (t *Target) Runs() []Run { return t.record.all() }

// Status returns the true state.
func (t *Target) Status() Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.status
}

// Drain makes each answer say that the target is leaving; after the grace new
// calls are refused as shed. What is in flight or queued is finished.
func (t *Target) Drain(grace time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.status.Leaving {
		return
	}
	t.status.Leaving = true
	t.refuseFrom = time.Now().Add(grace)
	t.note()
}

// Crash ends the target as a killed process would: all calls and connections
// are cut off, and new connections are refused until Restart.
func (t *Target) Crash() {
	t.mu.Lock()
	if t.status.Down {
		t.mu.Unlock()
		return
	}
	t.status.Down = true
	t.status.Crashes++
	close(t.down)
	ended := t.life
	t.mu.Unlock()
	ended.end()
}

// Restart starts a crashed target again on its old address, cold. Connections
// are taken from when it returns.
func (t *Target) Restart() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.status.Down {
		return nil
	}
	if t.addr != "" {
		l, err := net.Listen("tcp", t.addr)
		if err != nil {
			return errors.Wrapf(err, "restart target %s", t.opts.ID)
		}
		t.start(l)
	}
	t.status.Down = false
	t.status.Leaving = false
	t.down = make(chan struct{})
	t.times = newTimes(t.opts.Seed+uint64(t.status.Crashes), time.Now())
	return nil
}

// start hands a new life to Serve, in place of one that ended before Serve came
// to it. The caller holds the lock.
func (t *Target) start(l net.Listener) {
	t.addr = l.Addr().String()
	t.life = life{
		listener: l,
		server:   &http.Server{Handler: t.Handler(), ReadHeaderTimeout: time.Minute},
	}
	select {
	case <-t.restarts:
	default:
	}
	t.restarts <- t.life
}

// Serve takes connections from the listener, and after a crash and restart from
// one on the same address, until Close or Shutdown. Call it once.
func (t *Target) Serve(l net.Listener) error {
	t.mu.Lock()
	t.start(l)
	t.mu.Unlock()
	for {
		select {
		case <-t.closed:
			return nil
		case cur := <-t.restarts:
			err := cur.server.Serve(&limitListener{Listener: cur.listener, t: t})
			if !errors.Is(err, http.ErrServerClosed) {
				return err
			}
		}
	}
}

// Close ends the target at once.
func (t *Target) Close() {
	t.markClosed().end()
}

// Shutdown ends the target after it has finished what it has, or with ctx.
func (t *Target) Shutdown(ctx context.Context) error {
	last := t.markClosed()
	if last.server == nil {
		return nil
	}
	return last.server.Shutdown(ctx)
}

// markClosed lets Serve return and gives the last life to be ended.
func (t *Target) markClosed() life {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-t.closed:
	default:
		close(t.closed)
	}
	return t.life
}
