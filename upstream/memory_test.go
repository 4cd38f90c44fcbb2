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

// maxIdleConnBytes is the maximum memory of an idle connection to a target. The few hundred that a
// host keeps then take 5 MB, a third of what a typical host may use.
const maxIdleConnBytes = 16 << 10

// serveConn responds to each request on a connection, and closes it once hangUp is closed.
func serveConn(conn net.Conn, hangUp <-chan struct{}) {
	defer conn.Close()
	go func() {
		<-hangUp
		_ = conn.Close()
	}()
	var request [512]byte // large enough for one request
	for {
		if _, err := conn.Read(request[:]); err != nil {
			return
		}
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

func startServer(t *testing.T, hangUp <-chan struct{}) string {
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
			go serveConn(conn, hangUp)
		}
	}()
	return l.Addr().String()
}

// requestEach sends one request to each of n targets, so that each has one idle connection.
func requestEach(t *testing.T, p *Pools, addr string, n int) {
	t.Helper()
	for i := range n {
		target := blackboard.Target{ID: ports.HostID(fmt.Sprintf("t%03d", i)), Addr: addr}
		readAll(t, p.RoundTrip(request(t, context.Background(), http.MethodGet), target, SendOptions{}))
	}
}

// A host sends requests to hundreds of targets now and then and keeps an idle connection to
// each. If these used too much memory, the platform would kill the process and callers would
// lose requests.
func TestIdleConnectionsHoldLittle(t *testing.T) {
	const targets = 200
	hangUp := make(chan struct{})
	t.Cleanup(func() { close(hangUp) })
	addr := startServer(t, hangUp)
	p := New(Options{})
	defer p.Close()
	before := heapInUse()
	requestEach(t, p, addr, targets)
	each := (heapInUse() - before) / targets
	assert.Check(t, each <= maxIdleConnBytes, "an idle connection holds %d bytes, at most %d are allowed", each, maxIdleConnBytes)
	runtime.KeepAlive(p)
}

// Targets close idle connections, so a host that rarely sends requests to hundreds of targets
// holds mostly such connections. If they were kept, their buffers would use memory and they
// would count against this host's share of the target's connections, although none can be used
// again.
func TestConnectionsClosedByTargetsAreDropped(t *testing.T) {
	const targets = 20
	hangUp := make(chan struct{})
	addr := startServer(t, hangUp)
	p := New(Options{})
	defer p.Close()
	requestEach(t, p, addr, targets)
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

// heapInUse returns the size of live heap objects in bytes.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC() // the first run leaves objects held by sync.Pool
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
