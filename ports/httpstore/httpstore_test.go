package httpstore_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	standin "github.com/cactusproxy/cactusproxy/internal/standin/platform"
	"github.com/cactusproxy/cactusproxy/internal/standin/store"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/ports/httpstore"
)

func insert(key string) ports.Op {
	return ports.Op{Kind: ports.OpInsert, Key: key, Value: []byte("v")}
}

func newClient(t *testing.T, c httpstore.Config) *httpstore.Client {
	t.Helper()
	cl, err := httpstore.New(c)
	assert.NilError(t, err)
	t.Cleanup(cl.Close)
	return cl
}

// startPlatform starts the platform stand-in and returns it with a client for it.
func startPlatform(t *testing.T, token string) (*standin.Server, *httpstore.Client) {
	t.Helper()
	srv := standin.New(standin.Options{Store: store.New(store.Limits{}), Token: token})
	hs := httptest.NewServer(srv.Handler())
	t.Cleanup(hs.Close)
	return srv, newClient(t, httpstore.Config{URL: hs.URL, Token: token})
}

func TestTableObjectsAndHosts(t *testing.T) {
	_, c := startPlatform(t, "secret")
	ctx := context.Background()
	res, err := c.Table().Commit(ctx, insert("a/1"), insert("a/2"))
	assert.NilError(t, err)
	assert.Check(t, res.Applied)
	res, err = c.Table().Commit(ctx, insert("a/2"))
	assert.NilError(t, err)
	assert.Check(t, !res.Applied)
	assert.Equal(t, res.Conflicts[0].Key, "a/2")
	rows, err := c.Table().Get(ctx, "a/1", "b")
	assert.NilError(t, err)
	assert.Equal(t, string(rows[0].Value), "v")
	assert.Equal(t, rows[1].Version, uint64(0))
	rows, err = c.Table().Scan(ctx, "a/", "a/1", 10)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1)

	assert.NilError(t, c.Objects().Put(ctx, "log/1 of 2", []byte("x")))
	assert.NilError(t, c.Objects().Put(ctx, "empty", nil))
	data, err := c.Objects().Get(ctx, "log/1 of 2")
	assert.NilError(t, err)
	assert.Equal(t, string(data), "x")
	data, err = c.Objects().Get(ctx, "empty")
	assert.NilError(t, err)
	assert.Check(t, data != nil && len(data) == 0)
	data, err = c.Objects().Get(ctx, "absent")
	assert.NilError(t, err)
	assert.Check(t, data == nil)

	snap, err := c.Hosts().List(ctx, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(snap.Hosts), 0)
}

func TestWrongTokenIsRefused(t *testing.T) {
	srv := standin.New(standin.Options{Store: store.New(store.Limits{}), Token: "right"})
	hs := httptest.NewServer(srv.Handler())
	defer hs.Close()
	c := newClient(t, httpstore.Config{URL: hs.URL, Token: "wrong"})
	_, err := c.Table().Commit(context.Background(), insert("a"))
	assert.Check(t, errors.Is(err, ports.ErrUnavailable))
	assert.Check(t, !errors.Is(err, ports.ErrUncertain))
}

// A connection closed after the write took effect must return ErrUncertain, an outage
// reported by the platform ErrUnavailable. Reading back must show only the first write.
func TestOutageDistinguishedFromLostReply(t *testing.T) {
	srv, c := startPlatform(t, "")
	ctx := context.Background()
	srv.SetFaults(standin.Faults{LoseReplies: 1})
	_, err := c.Table().Commit(ctx, insert("a"))
	assert.Check(t, errors.Is(err, ports.ErrUncertain))
	err = c.Objects().Put(ctx, "o", []byte("x"))
	assert.Check(t, errors.Is(err, ports.ErrUncertain))
	srv.SetFaults(standin.Faults{Down: true})
	_, err = c.Table().Commit(ctx, insert("b"))
	assert.Check(t, errors.Is(err, ports.ErrUnavailable))
	_, err = c.Table().Get(ctx, "a")
	assert.Check(t, errors.Is(err, ports.ErrUnavailable))
	srv.SetFaults(standin.Faults{})
	rows, err := c.Table().Get(ctx, "a", "b")
	assert.NilError(t, err)
	assert.Equal(t, rows[0].Version, uint64(1))
	assert.Equal(t, rows[1].Version, uint64(0))
}

func TestRefusedConnectionIsUnavailable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().String()
	assert.NilError(t, l.Close())
	c := newClient(t, httpstore.Config{URL: "http://" + addr})
	_, err = c.Table().Commit(context.Background(), insert("a"))
	assert.Check(t, errors.Is(err, ports.ErrUnavailable))
	assert.Check(t, !errors.Is(err, ports.ErrUncertain))
}

// Two writers share one connection to a platform that never responds, and both are canceled.
// The one whose request was sent must get ErrUncertain; the one that waited for the
// connection must get ErrUnavailable.
func TestCancelBeforeAndAfterSending(t *testing.T) {
	arrived := make(chan struct{}, 2)
	release := make(chan struct{})
	hs := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		arrived <- struct{}{}
		<-release
	}))
	defer hs.Close()
	defer close(release)
	c := newClient(t, httpstore.Config{URL: hs.URL, MaxConns: 1})
	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan error, 1)
	go func() {
		_, err := c.Table().Commit(ctx, insert("a"))
		first <- err
	}()
	<-arrived
	waiting, stop := context.WithCancel(context.Background())
	stop()
	_, err := c.Table().Commit(waiting, insert("b"))
	assert.Check(t, errors.Is(err, ports.ErrUnavailable))
	cancel()
	assert.Check(t, errors.Is(<-first, ports.ErrUncertain))
	assert.Equal(t, len(arrived), 0)
}

// disconnectingServer handles commits on raw connections and closes each connection at a
// random point. It counts how often each key was applied.
type disconnectingServer struct {
	mu      sync.Mutex
	rng     *rand.Rand
	applied map[string]int
}

// Points at which disconnectingServer closes a connection.
const (
	closeBeforeReading = iota
	closeAfterReading
	closeAfterApplying
	answerAndClose
	answerAndKeep
	answerAndKeepAgain
	closePoints
)

func (s *disconnectingServer) randomPoint() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(closePoints)
}

func (s *disconnectingServer) apply(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applied[key]++
}

func (s *disconnectingServer) count(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applied[key]
}

func (s *disconnectingServer) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.conn(c)
	}
}

func (s *disconnectingServer) conn(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		point := s.randomPoint()
		if point == closeBeforeReading {
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		var commit httpstore.CommitRequest
		if json.NewDecoder(req.Body).Decode(&commit) != nil || point == closeAfterReading {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.apply(commit.Ops[0].Key)
		if point == closeAfterApplying {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n{\"Applied\":true}")
		if point == answerAndClose {
			return
		}
	}
}

// Keep-alive connections close at any point: before the request is read, after it is read,
// or after it took effect. net/http may retry requests after such a failure, but a commit
// must reach the platform at most once, and ErrUnavailable must mean that it had no effect.
func TestCommitIsSentOnce(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &disconnectingServer{rng: rand.New(rand.NewPCG(1, 2)), applied: make(map[string]int)}
	go s.serve(l)
	defer l.Close()
	c := newClient(t, httpstore.Config{URL: "http://" + l.Addr().String(), MaxConns: 4})
	var wg sync.WaitGroup
	for w := range 4 {
		wg.Go(func() {
			for i := range 250 {
				key := strconv.Itoa(w) + "/" + strconv.Itoa(i)
				_, err := c.Table().Commit(context.Background(), insert(key))
				n := s.count(key)
				assert.Check(t, n <= 1, "%s applied %d times", key, n)
				switch {
				case err == nil:
					assert.Check(t, n == 1, "%s committed but not applied", key)
				case errors.Is(err, ports.ErrUncertain):
				default:
					assert.Check(t, errors.Is(err, ports.ErrUnavailable))
					assert.Check(t, n == 0, "%s returned ErrUnavailable but was applied", key)
				}
			}
		})
	}
	wg.Wait()
}
