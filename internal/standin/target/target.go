// Package target implements a simulated target for tests and demos: an HTTP server with
// concurrency slots, a bounded queue, a connection limit and random service times. Faults such
// as shedding, stragglers, false health reports and crashes can be switched on while it runs. It
// records each run, so that tests can check which calls were executed and how often.
package target

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Status is the true state of the target at one point in time.
type Status struct {
	// Load is the number of calls in flight and queued.
	Load    int  `json:"load"`
	Leaving bool `json:"leaving"`
	Down    bool `json:"down"`
	// Conns is the number of open connections and PeakConns its maximum so far.
	Conns     int `json:"conns"`
	PeakConns int `json:"peakConns"`
	// ConnsRefused, ShedCalls, Crashes and Probes are totals that survive restarts.
	ConnsRefused int `json:"connsRefused"`
	ShedCalls    int `json:"shedCalls"`
	Crashes      int `json:"crashes"`
	Probes       int `json:"probes"`
}

// Target is a simulated target. All methods are safe for concurrent use.
type Target struct {
	opts  Options
	slots chan struct{}
	runs  runLog

	mu        sync.Mutex
	behaviour Behaviour
	times     *serviceTimes
	history   history
	status    Status
	// refuseFrom is when a draining target starts to shed calls.
	refuseFrom time.Time
	// down is closed when the target crashes, and replaced when it restarts.
	down chan struct{}

	addr     string
	current  httpInstance
	restarts chan httpInstance
	closed   chan struct{}
}

// httpInstance is the listener and HTTP server between a start and the next crash.
type httpInstance struct {
	listener net.Listener
	server   *http.Server
}

// close closes the server with its connections, then the listener. The server goes first
// because Serve reports an error if its listener is closed under it. The listener is closed
// separately for an instance that crashed before Serve picked it up. The errors are ignored:
// they only say that something was closed already. The caller must not hold the target's lock,
// which each connection takes when it closes.
func (i httpInstance) close() {
	if i.server == nil {
		return
	}
	_ = i.server.Close()
	_ = i.listener.Close()
}

// New returns a target that is up but has no listener; see Handler and Serve.
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
		times:     newServiceTimes(o.Seed, time.Now()),
		down:      make(chan struct{}),
		restarts:  make(chan httpInstance, 1),
		closed:    make(chan struct{}),
	}
}

// SetBehaviour replaces the behaviour. Calls that already run are not affected.
func (t *Target) SetBehaviour(b Behaviour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behaviour = b
}

// Behaviour returns the current behaviour.
func (t *Target) Behaviour() Behaviour {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.behaviour
}

// Runs returns all runs in the order in which they started.
func (t *Target) Runs() []Run { return t.runs.all() }

// Status returns the true state, whatever the target reports.
func (t *Target) Status() Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.status
}

// Drain announces in each response that the target is leaving, and sheds new calls once the
// grace period is over. Calls in flight or queued are finished.
func (t *Target) Drain(grace time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.status.Leaving {
		return
	}
	t.status.Leaving = true
	t.refuseFrom = time.Now().Add(grace)
	t.recordReport()
}

// Crash simulates a killed process: all calls and connections are aborted, and new connections
// are refused until Restart.
func (t *Target) Crash() {
	t.mu.Lock()
	if t.status.Down {
		t.mu.Unlock()
		return
	}
	t.status.Down = true
	t.status.Crashes++
	close(t.down)
	crashed := t.current
	t.mu.Unlock()
	crashed.close()
}

// Restart restarts a crashed target on its old address, with a cold start. When it returns, the
// target accepts connections.
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
	t.times = newServiceTimes(t.opts.Seed+uint64(t.status.Crashes), time.Now())
	return nil
}

// start passes a new instance to Serve. It replaces one that crashed before Serve picked it up.
// The caller holds the lock.
func (t *Target) start(l net.Listener) {
	t.addr = l.Addr().String()
	t.current = httpInstance{
		listener: l,
		server:   &http.Server{Handler: t.Handler(), ReadHeaderTimeout: time.Minute},
	}
	select {
	case <-t.restarts:
	default:
	}
	t.restarts <- t.current
}

// Serve accepts connections from the listener, and after a restart from a new one on the same
// address, until Close or Shutdown. Call it once.
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

// Close stops the target at once and aborts its calls.
func (t *Target) Close() {
	t.markClosed().close()
}

// Shutdown stops the target once its calls have finished, or when ctx ends.
func (t *Target) Shutdown(ctx context.Context) error {
	last := t.markClosed()
	if last.server == nil {
		return nil
	}
	return last.server.Shutdown(ctx)
}

// markClosed makes Serve return and returns the current instance for the caller to close.
func (t *Target) markClosed() httpInstance {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-t.closed:
	default:
		close(t.closed)
	}
	return t.current
}
