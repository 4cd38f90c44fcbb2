package placer

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/targetapi"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// fakeDials opens connections to targets in memory. It is the path of this host; no other host
// replies in time.
type fakeDials struct {
	mu sync.Mutex
	// fail returns the error of a connection to an address, or nil to open it.
	fail    func(ctx context.Context, addr string) error
	serving sync.WaitGroup
}

func (f *fakeDials) set(fail func(ctx context.Context, addr string) error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fail = fail
}

// Dial opens a connection to a server that responds to every request.
func (f *fakeDials) Dial(ctx context.Context, addr string) (net.Conn, error) {
	f.mu.Lock()
	fail := f.fail
	f.mu.Unlock()
	if err := fail(ctx, addr); err != nil {
		return nil, err
	}
	here, there := net.Pipe()
	f.serving.Go(func() {
		defer there.Close()
		buf := make([]byte, 4<<10)
		for {
			if _, err := there.Read(buf); err != nil {
				return
			}
			if _, err := io.WriteString(there, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
				return
			}
		}
	})
	return here, nil
}

// starvedRelay is a Relay through whose hosts no connection opens in time.
type starvedRelay struct{}

func (starvedRelay) Hosts(blackboard.Target) []ports.HostID { return []ports.HostID{"h1", "h2"} }

func (starvedRelay) Dial(ctx context.Context, _ ports.HostID, _ blackboard.Target) (upstream.RelayedConn, error) {
	return nil, silent(ctx, "")
}

// silent is a path that loses all packets.
func silent(ctx context.Context, _ string) error {
	<-ctx.Done()
	return ctx.Err()
}

func well(context.Context, string) error { return nil }

// newPathPlacer returns a placer with n targets over fake paths.
func newPathPlacer(t *testing.T, n int) (*testPlacer, *fakeDials, []*target) {
	f := &fakeDials{fail: well}
	pools := upstream.New(upstream.Options{DialTimeout: probeTimeout, Relay: starvedRelay{}, Dial: f.Dial})
	l := newTestPlacer(t)
	l.p.deps.Upstream, l.p.deps.Contract = pools, &targetapi.Contract{}
	t.Cleanup(func() {
		time.Sleep(10 * probeTimeout) // connections that are being opened end
		pools.Close()
		f.serving.Wait()
	})
	list := l.listTargets(n)
	for _, tg := range list {
		tg.info.Addr = string(tg.info.ID) + ":1"
	}
	return l, f, list
}

// probeAll probes targets at the same time and waits for the results.
func (l *testPlacer) probeAll(list []*target) {
	var wg sync.WaitGroup
	for _, tg := range list {
		tg.probeDone = make(chan struct{})
		wg.Go(func() { l.p.probeTarget(l.p.service(testKey), tg, tg.info, "/h", 0) })
	}
	wg.Wait()
}

func availableOf(list []*target) (n int) {
	for _, tg := range list {
		if tg.available(time.Now()) {
			n++
		}
	}
	return n
}

// Guards against a host that is cut off from all targets and backs off from each of them, because no
// connection through another host opens within the dial timeout.
func TestTimeoutsThroughOtherHostsBackOffFromNoTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, f, list := newPathPlacer(t, 3)
		f.set(silent)
		for range 5 {
			l.probeAll(list)
			assert.Check(t, availableOf(list) >= 2, "%d of 3 available", availableOf(list))
		}
		time.Sleep(initialBackoff)
		assert.Equal(t, availableOf(list), 3)
		assert.Equal(t, l.p.outOfReach(), 1, "the host must tell that it reaches no target")
	})
}

// Guards against a target that is down and gets calls all the same, while this host's own path
// to other targets works.
func TestTargetThatIsDownIsBackedOffWhileOthersAnswer(t *testing.T) {
	refused := func(context.Context, string) error { return syscall.ECONNREFUSED }
	for name, fault := range map[string]func(context.Context, string) error{"silent": silent, "refused": refused} {
		synctest.Test(t, func(t *testing.T) {
			l, f, list := newPathPlacer(t, 3)
			l.probeAll(list)
			f.set(func(ctx context.Context, addr string) error {
				if addr == list[0].info.Addr {
					return fault(ctx, addr)
				}
				return nil
			})
			l.p.deps.Upstream.(*upstream.Pools).Close()
			for i := range 4 {
				l.probeAll(list[1:]) // at low traffic, not while the other one is tried
				time.Sleep(time.Second)
				l.probeAll(list[:1])
				assert.Check(t, !list[0].available(time.Now()), name)
				time.Sleep(min(initialBackoff<<i, maxBackoff) - time.Millisecond)
				assert.Check(t, !list[0].available(time.Now()), "%s: failure %d", name, i)
			}
			assert.Equal(t, availableOf(list[1:]), 2)
		})
	}
}
