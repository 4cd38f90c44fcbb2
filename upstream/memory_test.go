package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/ports"
)

// maxRestingConn is the most that an idle connection to a target may hold, in bytes. The
// few hundred that a host keeps then take 5 MB, a third of what a common host may use.
const maxRestingConn = 16 << 10

// answerOnce answers each request on a connection, and closes it once hangUp is closed.
func answerOnce(conn net.Conn, hangUp <-chan struct{}) {
	defer conn.Close()
	go func() {
		<-hangUp
		_ = conn.Close()
	}()
	var request [512]byte // holds all of one
	for {
		if _, err := conn.Read(request[:]); err != nil {
			return
		}
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

func listenAnswering(t *testing.T, hangUp <-chan struct{}) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go answerOnce(conn, hangUp)
		}
	}()
	return l.Addr().String()
}

// askMany asks each of n targets once, so that each has one idle connection.
func askMany(t *testing.T, p *Pools, addr string, n int) {
	t.Helper()
	for i := range n {
		target := blackboard.Target{ID: ports.HostID(fmt.Sprintf("t%03d", i)), Addr: addr}
		readAll(t, p.RoundTrip(request(t, context.Background(), http.MethodGet), target, SendOptions{}))
	}
}

// The platform ends a host's process for its memory, and its callers lose their requests.
// A host asks each of hundreds of targets now and then: what an idle connection keeps is
// held once for each of them.
func TestIdleConnectionsHoldLittle(t *testing.T) {
	const targets = 200
	hangUp := make(chan struct{})
	t.Cleanup(func() { close(hangUp) })
	addr := listenAnswering(t, hangUp)
	p := New(Options{})
	defer p.Close()
	before := heapInUse()
	askMany(t, p, addr, targets)
	each := (heapInUse() - before) / targets
	assert.Check(t, each <= maxRestingConn, "an idle connection holds %d bytes, at most %d are allowed", each, maxRestingConn)
	runtime.KeepAlive(p)
}

// A target closes what is idle for longer than it likes, and a host that asks hundreds of
// targets now and then holds mostly such connections: it keeps their buffers, and counts
// them against its part of the target's connections, though none can be used again.
func TestConnectionsThatTargetsClosedAreLetGo(t *testing.T) {
	const targets = 20
	hangUp := make(chan struct{})
	addr := listenAnswering(t, hangUp)
	p := New(Options{})
	defer p.Close()
	askMany(t, p, addr, targets)
	close(hangUp)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		p.Retain(func(ports.HostID) bool { return true })
		if n := openConns(p); n > 0 {
			return poll.Continue("%d connections are counted as open", n)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
}

func openConns(p *Pools) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, pl := range p.pools {
		pl.mu.Lock()
		n += pl.open
		pl.mu.Unlock()
	}
	return n
}

// heapInUse returns the bytes of live objects.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC() // the first leaves what pools hold
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
