package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/platform"
	"github.com/cactusproxy/cactusproxy/platform/standin"
)

// The machine of a host that a crowd presses, and what its configuration allows clients. All are smaller than in use, so
// that a small crowd is enough.
const (
	crowdMemoryMB    = 96
	crowdDescriptors = 768
	crowdHeaderBytes = 16384
	crowdBodyBytes   = 1 << 20
	crowdHostName    = "auction.example"
	// servedWithin and stoppedWithin tell a host that hangs from one that is slow.
	servedWithin  = time.Minute
	stoppedWithin = 30 * time.Second
)

// envDescriptors limits the descriptors of a program that the test binary runs.
const envDescriptors = "CACTUSPROXYD_TEST_DESCRIPTORS"

// limitDescriptors applies envDescriptors to this process.
func limitDescriptors() {
	n, err := strconv.ParseUint(os.Getenv(envDescriptors), 10, 64)
	if err != nil {
		return
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n}); err != nil {
		panic(err)
	}
}

// crowdHost is a host in a process of its own, with a platform and targets in this one.
type crowdHost struct {
	t *testing.T
	// addrs holds the addresses of the listeners.
	addrs  map[listener]string
	cmd    *exec.Cmd
	log    bytes.Buffer
	exited chan struct{}
	client *http.Client

	mu sync.Mutex
	// descriptors is the largest number seen open at the same time.
	descriptors int
}

func startCrowdHost(t *testing.T) *crowdHost {
	h := &crowdHost{t: t, exited: make(chan struct{}), client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}}
	store := standin.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.CloseClientConnections)
	store.Put("op", "config", crowdConfig())
	for _, service := range []string{"lots", "bids", "files"} {
		for i := range 2 {
			tg := &standin.Target{ID: fmt.Sprint(service, i), Slots: 400, Queue: 400, Work: time.Millisecond, Intercept: crowdTarget}
			s := httptest.NewServer(tg)
			t.Cleanup(s.CloseClientConnections)
			store.Put("servers", tg.ID, tg.Entry(service, s.Listener.Addr().String(), "a", "ready"))
		}
	}
	h.addrs = map[listener]string{forCallers: freeAddr(t), forBalancer: freeAddr(t), forOperators: freeAddr(t)}
	file := filepath.Join(t.TempDir(), "settings.jsonc")
	assert.NilError(t, os.WriteFile(file, fmt.Appendf(nil, `{
		"host": {"id": "h", "zone": "a"},
		"callers": {"addr": %q}, "readiness": {"addr": %q}, "operators": {"addr": %q}, "peers": {"addr": %q},
		"directory": {"store": %q, "firstStart": true},
		"retries": {"ratio": 0.2, "window": "10s", "reserve": 60},
		"measuring": {"perTarget": 60},
		"memoryMB": %d,
		"drain": {"notice": "200ms", "limit": "2s"},
	}`, h.addrs[forCallers], h.addrs[forBalancer], h.addrs[forOperators], freeAddr(t), server.Listener.Addr(), crowdMemoryMB), 0o600))
	h.cmd = exec.Command(os.Args[0], "serve", file)
	h.cmd.Env = append(os.Environ(), envRun+"=1", fmt.Sprint(envDescriptors, "=", crowdDescriptors))
	h.cmd.Stdout, h.cmd.Stderr = &h.log, &h.log
	assert.NilError(t, h.cmd.Start())
	go func() {
		_ = h.cmd.Wait()
		close(h.exited)
	}()
	t.Cleanup(h.end)
	go h.watchDescriptors()
	h.assertServes("before the crowd comes")
	return h
}

// crowdConfig returns a configuration with a route of each type and the limits of this test.
func crowdConfig() []byte {
	var routes []standin.Route
	for service, kind := range map[string]string{"lots": "safe", "bids": "mutating", "files": "upload"} {
		routes = append(routes, standin.Route{
			Name: service, Host: crowdHostName, Prefix: "/" + service + "/", Type: kind, Service: service, Timeout: "10s", MaxAttempts: 2,
		})
	}
	c := standin.Config(1, routes...)
	return bytes.Replace(c, []byte(`"max_body_bytes":67108864`), fmt.Appendf(nil, `"max_body_bytes":%d`, crowdBodyBytes), 1)
}

// crowdTarget serves paths that end with /hold, until the caller has left, and /big, with a large response.
func crowdTarget(w http.ResponseWriter, r *http.Request, id string) bool {
	switch {
	case strings.HasSuffix(r.URL.Path, "/hold"):
		<-r.Context().Done()
		return true
	case strings.HasSuffix(r.URL.Path, "/big"):
		w.Header().Set(standin.HeaderSeal, "seal-"+id)
		_, _ = w.Write(make([]byte, 200<<10))
		return true
	}
	return false
}

// freeAddr returns an address to listen on that no other test takes.
func freeAddr(t *testing.T) string {
	pid := os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+pid>>16&0x3f, pid>>8&0xff, 1+pid&0x7f))
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// end ends the process, and shows its log if the test has failed.
func (h *crowdHost) end() {
	_ = h.cmd.Process.Kill() // it may have ended
	<-h.exited
	if h.t.Failed() {
		text := h.log.String()
		h.t.Logf("%s; end of the log:\n%s", h.cmd.ProcessState, text[max(0, len(text)-2000):])
	}
}

// running reports whether the process lives.
func (h *crowdHost) running() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// watchDescriptors counts open descriptors until the process ends.
func (h *crowdHost) watchDescriptors() {
	for h.running() {
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.cmd.Process.Pid))
		if err == nil {
			h.mu.Lock()
			h.descriptors = max(h.descriptors, len(open))
			h.mu.Unlock()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// assertServes fails the test unless the host is ready and answers an ordinary request, which is repeated as clients
// do.
func (h *crowdHost) assertServes(when string) {
	h.t.Helper()
	h.eventually("ready "+when, func() bool {
		return h.get("http://"+h.addrs[forBalancer]+platform.ReadyPath) == http.StatusOK
	})
	h.eventually("ordinary request served "+when, func() bool {
		return h.get("http://"+h.addrs[forCallers]+"/lots/ordinary") == http.StatusOK
	})
}

// get returns the status of an ordinary request, or 0 if it isn't answered.
func (h *crowdHost) get(url string) int {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	assert.NilError(h.t, err)
	req.Host = crowdHostName
	req.Header.Set(standin.HeaderRequestID, "ordinary")
	resp, err := h.client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

func (h *crowdHost) eventually(what string, ok func() bool) {
	h.t.Helper()
	for end := time.Now().Add(servedWithin); !ok(); time.Sleep(50 * time.Millisecond) {
		assert.Assert(h.t, h.running(), "the process has ended: %s", what)
		assert.Assert(h.t, time.Now().Before(end), "not %s", what)
	}
}

// assertServed fails the test unless the host answers one request that is written as given.
func (h *crowdHost) assertServed(what, request string) {
	h.t.Helper()
	conn, err := net.Dial("tcp", h.addrs[forCallers])
	assert.NilError(h.t, err)
	defer conn.Close()
	assert.NilError(h.t, conn.SetDeadline(time.Now().Add(servedWithin)))
	go func() { _, _ = io.WriteString(conn, request) }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(h.t, err, what)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(h.t, err, what)
	assert.Check(h.t, resp.StatusCode == http.StatusOK, "%s: %s", what, resp.Status)
}

// assertBounds fails the test if the process has left the memory of its machine or run out of descriptors.
func (h *crowdHost) assertBounds() {
	h.t.Helper()
	peak := h.peakMemory()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.t.Logf("peak of memory %d kB, of descriptors %d", peak>>10, h.descriptors)
	assert.Check(h.t, peak <= crowdMemoryMB<<20, "peak of memory %d MB, the machine has %d", peak>>20, crowdMemoryMB)
	assert.Check(h.t, h.descriptors < crowdDescriptors, "%d descriptors open, as many as there are", h.descriptors)
}

// peakMemory returns the largest resident size of the process so far, in bytes.
func (h *crowdHost) peakMemory() int64 {
	h.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	assert.NilError(h.t, err)
	_, after, _ := strings.Cut(string(status), "VmHWM:")
	var kB int64
	_, err = fmt.Sscan(after, &kB)
	assert.NilError(h.t, err)
	return kB << 10
}

// assertStops fails the test if the process hangs when it is asked to stop.
func (h *crowdHost) assertStops() {
	h.t.Helper()
	assert.NilError(h.t, h.cmd.Process.Signal(syscall.SIGTERM))
	select {
	case <-h.exited:
	case <-time.After(stoppedWithin):
		assert.Assert(h.t, false, "the process doesn't stop")
	}
}

// closedByServer reports whether the other side has closed a connection on which unread bytes may wait.
func closedByServer(raw syscall.RawConn) bool {
	closed := false
	err := raw.Control(func(fd uintptr) {
		closed = closedSocket(int(fd))
	})
	return err != nil || closed
}

// closedSocket reads the state of a TCP connection from the kernel.
func closedSocket(fd int) bool {
	state, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_INFO)
	if errors.Is(err, syscall.EBADF) {
		return true
	}
	const established = 1
	return err != nil || state&0xff != established
}
