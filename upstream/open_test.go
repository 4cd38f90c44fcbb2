package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/policy/directpath"
	"github.com/cactusproxy/cactusproxy/ports"
)

// fakePaths are the paths to a target over in-memory connections: this host's own and those
// through other hosts.
type fakePaths struct {
	mu sync.Mutex
	// own is how the own path behaves, hosts how those through other hosts do.
	own   func(ctx context.Context) error
	hosts map[ports.HostID]func(ctx context.Context) error
	order []ports.HostID
	// asked counts the calls of Hosts, opened connections by host; the own path has no name.
	asked  int
	opened map[ports.HostID]int
	// mute is set if targets do not respond.
	mute    bool
	serving sync.WaitGroup
}

func well(context.Context) error { return nil }

func silent(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

func refused(context.Context) error { return syscall.ECONNREFUSED }

func after(d time.Duration) func(context.Context) error {
	return func(ctx context.Context) error {
		time.Sleep(d)
		return ctx.Err()
	}
}

func newFakePaths(t *testing.T, own func(context.Context) error, hosts ...func(context.Context) error) (*Pools, *fakePaths) {
	f := &fakePaths{own: own, hosts: make(map[ports.HostID]func(context.Context) error), opened: make(map[ports.HostID]int)}
	for i, behave := range hosts {
		id := ports.HostID(rune('a' + i))
		f.hosts[id] = behave
		f.order = append(f.order, id)
	}
	p := New(Options{DialTimeout: 250 * time.Millisecond, Relay: f, Dial: func(ctx context.Context, _ string) (net.Conn, error) {
		f.mu.Lock()
		behave := f.own
		f.mu.Unlock()
		return f.open(ctx, "", behave)
	}})
	p.noteReach("another", syscall.ECONNREFUSED) // so that one more failure counts as a cut
	t.Cleanup(func() {
		time.Sleep(directpath.CarriedDials * p.opts.DialTimeout) // connections that are being opened end
		p.Close()
		f.serving.Wait()
	})
	return p, f
}

func (f *fakePaths) setOwn(behave func(context.Context) error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.own = behave
}

func (f *fakePaths) setHost(via ports.HostID, behave func(context.Context) error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[via] = behave
}

func (f *fakePaths) Hosts(blackboard.Target) []ports.HostID {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked++
	return f.order
}

func (f *fakePaths) Dial(ctx context.Context, via ports.HostID, _ blackboard.Target) (RelayedConn, error) {
	f.mu.Lock()
	behave := f.hosts[via]
	f.mu.Unlock()
	conn, err := f.open(ctx, via, behave)
	if err != nil {
		return nil, err
	}
	return &fakeRelayed{Conn: conn}, nil
}

// open opens a connection to a server that responds to every request.
func (f *fakePaths) open(ctx context.Context, via ports.HostID, behave func(context.Context) error) (net.Conn, error) {
	if err := behave(ctx); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.opened[via]++
	f.mu.Unlock()
	here, there := net.Pipe()
	f.serving.Go(func() {
		defer there.Close()
		buf := make([]byte, 4<<10)
		for {
			if _, err := there.Read(buf); err != nil {
				return
			}
			if f.mute {
				continue
			}
			if _, err := io.WriteString(there, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
				return
			}
		}
	})
	return here, nil
}

func (f *fakePaths) count(via ports.HostID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.opened[via]
}

type fakeRelayed struct {
	net.Conn
	onRetire func()
	retired  bool
}

func (*fakeRelayed) Announce(string) error { return nil }
func (r *fakeRelayed) Retired() bool       { return r.retired }
func (r *fakeRelayed) OnRetire(f func())   { r.onRetire = f }

var theTarget = blackboard.Target{ID: "t", Addr: "t:1"}

// send sends one request and returns its result and how long it took.
func send(p *Pools, o SendOptions) (Result, time.Duration) {
	begin := time.Now()
	req := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}, Header: http.Header{}}
	res := p.RoundTrip(req.WithContext(context.Background()), theTarget, o)
	if res.Err == nil {
		_, _ = io.Copy(io.Discard, res.Response.Body)
		_ = res.Response.Body.Close()
	}
	return res, time.Since(begin)
}

func TestOwnPathThatIsWellAsksNoOtherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f := newFakePaths(t, after(directpath.HeadStart/2), well)
		res, _ := send(p, SendOptions{})
		assert.NilError(t, res.Err)
		assert.Equal(t, res.Via, ports.HostID(""))
		assert.Equal(t, f.asked, 0)
	})
}

// Guards against requests that wait for the own path once it is known to be lost.
func TestSilentPathCostsTheFirstRequestAHeadStartAndOthersNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f := newFakePaths(t, silent, well)
		res, took := send(p, SendOptions{})
		assert.NilError(t, res.Err)
		assert.Equal(t, res.Via, ports.HostID("a"))
		assert.Equal(t, took, directpath.HeadStart)
		time.Sleep(250 * time.Millisecond) // the own connection has timed out
		res, took = send(p, SendOptions{})
		assert.NilError(t, res.Err)
		assert.Equal(t, took, time.Duration(0))
		assert.Equal(t, f.count(""), 0)
	})
}

// Guards against an own path that is slow once and is taken for lost.
func TestOwnConnectionThatOpensLateIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f := newFakePaths(t, after(2*directpath.HeadStart), well)
		res, _ := send(p, SendOptions{})
		assert.Equal(t, res.Via, ports.HostID("a"))
		time.Sleep(time.Second)
		res, took := send(p, SendOptions{})
		assert.Equal(t, res.Via, ports.HostID(""))
		assert.Equal(t, took, time.Duration(0))
		assert.Equal(t, f.count(""), 1)
		assert.Equal(t, f.count("a"), 1)
	})
}

// Guards against a request that is given up because the first hosts asked are cut off too.
func TestHostsThatAreCutOffTooArePassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := newFakePaths(t, refused, refused, silent, well)
		res, took := send(p, SendOptions{})
		assert.NilError(t, res.Err)
		assert.Equal(t, res.Via, ports.HostID("c"))
		assert.Equal(t, took, directpath.NextStart)
	})
}

// Guards against requests that wait where no path works, and against calling them sent.
func TestRequestThatNoPathCarriesIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := newFakePaths(t, refused, refused, refused)
		res, took := send(p, SendOptions{})
		assert.Check(t, errors.Is(res.Err, syscall.ECONNREFUSED))
		assert.Check(t, !res.Sent)
		assert.Equal(t, took, time.Duration(0))
		p, _ = newFakePaths(t, silent, silent, silent)
		res, took = send(p, SendOptions{})
		assert.Check(t, res.Err != nil && !res.Sent)
		assert.Equal(t, took, 250*time.Millisecond)
		assert.Equal(t, CauseOf(res.Err), CauseTimeout)
	})
}

// Guards against detours to a target that turns a connection away because it has too many, which
// all do when all hosts start at once.
func TestTargetThatTurnsAConnectionAwayIsNoLostPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f := newFakePaths(t, refused, well)
		p.noteReach("another", nil)
		res, _ := send(p, SendOptions{})
		assert.Check(t, errors.Is(res.Err, syscall.ECONNREFUSED) && !res.Sent)
		assert.Equal(t, f.asked, 0)
		p.noteReach("another", nil)
		res, _ = send(p, SendOptions{})
		assert.NilError(t, res.Err)
		assert.Equal(t, res.Via, ports.HostID("a"), "if it does so again, the path may be cut")
	})
}

// Guards against asking other hosts for a target that has left.
func TestTargetThatLeftIsSoughtNowhereElse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f := newFakePaths(t, refused, well)
		left := false
		f.setOwn(func(context.Context) error {
			left = true
			return syscall.ECONNREFUSED
		})
		res, _ := send(p, SendOptions{Usable: func() bool { return !left }})
		assert.Check(t, res.Err != nil && !res.Sent)
		assert.Equal(t, f.asked, 0)
	})
}

// Guards against refusals after the path is back while the host that carried requests is gone.
func TestOwnPathIsTriedWhereNoOtherHostHelps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f := newFakePaths(t, refused, well)
		res, _ := send(p, SendOptions{})
		assert.Equal(t, res.Via, ports.HostID("a"))
		p.pool(theTarget).dropIdle(func(*conn) bool { return true })
		f.setOwn(well)
		f.hosts["a"] = refused
		res, _ = send(p, SendOptions{})
		assert.NilError(t, res.Err)
		assert.Equal(t, res.Via, ports.HostID(""))
	})
}

// Guards against a host that is leaving and is sent further requests.
func TestRetiredConnectionsAreNotUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f := newFakePaths(t, refused, well)
		_, _ = send(p, SendOptions{})
		idle := p.pool(theTarget).idle[0].relayed().(*fakeRelayed)
		idle.retired = true
		idle.onRetire()
		assert.Equal(t, len(p.pool(theTarget).idle), 0)
		res, _ := send(p, SendOptions{})
		assert.NilError(t, res.Err)
		assert.Equal(t, f.count("a"), 2)
	})
}

// Guards against requests that wait on connections which have fallen silent with the path.
func TestConnectionsOfASilentPathAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f := newFakePaths(t, well, well)
		_, _ = send(p, SendOptions{})
		f.setOwn(silent)
		pl := p.pool(theTarget)
		pl.suspect(time.Now().Add(time.Nanosecond), SendOptions{})
		time.Sleep(time.Second)
		res, _ := send(p, SendOptions{})
		assert.Equal(t, res.Via, ports.HostID("a"))
	})
}

// Guards against connections to targets that are merely slow, which many are when all hosts start at
// once.
func TestSlowTargetIsNotSuspectedWhileOthersAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f := newFakePaths(t, well, well)
		begin := time.Now()
		time.Sleep(time.Second)
		p.noteReach("another", nil)
		pl := p.pool(theTarget)
		for range 2 {
			pl.suspect(begin, SendOptions{})
			time.Sleep(2 * suspectEvery)
		}
		assert.Equal(t, f.count(""), 0)
		pl.suspect(begin, SendOptions{})
		synctest.Wait()
		assert.Equal(t, f.count(""), 1, "it has left three requests unanswered")
	})
}
