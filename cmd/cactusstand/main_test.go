package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/ports/httpstore"
)

// program is one run of the command. Its log lines can be awaited.
type program struct {
	lines  chan string
	stop   context.CancelFunc
	status chan int
}

// Write receives one log line.
func (p *program) Write(b []byte) (int, error) {
	p.lines <- string(b)
	return len(b), nil
}

func startProgram(line ...string) *program {
	ctx, cancel := context.WithCancel(context.Background())
	p := &program{lines: make(chan string, 100), stop: cancel, status: make(chan int, 1)}
	go func() {
		p.status <- run(ctx, line, p, io.Discard)
		close(p.lines)
	}()
	return p
}

// addr waits for a log line with the next address that the program listens on.
func (p *program) addr(t *testing.T) string {
	t.Helper()
	for line := range p.lines {
		if m := regexp.MustCompile(`addr=(\S+)`).FindStringSubmatch(line); m != nil {
			return m[1]
		}
	}
	t.Fatal("the program ended before it logged an address")
	return ""
}

func TestHelpVersionAndUsage(t *testing.T) {
	for _, c := range []struct {
		line   string
		status int
		want   string
	}{
		{"--help", exitOK, "platform"},
		{"target --help", exitOK, "--service-mean"},
		{"--version", exitOK, "cactusstand "},
		{"target", exitUsage, "ID is required"},
		{"nonsense", exitUsage, "invalid subcommand"},
	} {
		var out bytes.Buffer
		got := run(context.Background(), strings.Fields(c.line), &out, &out)
		assert.Check(t, got == c.status, "%q: status %d", c.line, got)
		assert.Check(t, strings.Contains(out.String(), c.want), "%q: %s", c.line, out.String())
	}
}

// Guards against a target that drops requests or stays listed when it is stopped: it is
// stopped during a request, which must be answered, its entry must be removed, and both
// programs must exit with status 0.
func TestTargetRegistersAndLeavesCleanly(t *testing.T) {
	plat := startProgram("platform", "--listen", "127.0.0.1:0", "--host-lag", "0s", "--token", "s")
	platform := "http://" + plat.addr(t)
	tg := startProgram("target", "--id", "t1", "--register", platform, "--token", "s",
		"--workspace", "w", "--service", "s", "--grace", "0s", "--admin", "127.0.0.1:0")
	addr := tg.addr(t)
	admin := tg.addr(t)

	c, err := httpstore.New(httpstore.Config{URL: platform, Token: "s"})
	assert.NilError(t, err)
	defer c.Close()
	for listed(t, c) == nil {
	}
	assert.Equal(t, listed(t, c)[0].Addr, addr)
	assert.Equal(t, listed(t, c)[0].State, ports.HostLive)

	answered := make(chan int, 1)
	go func() {
		req, _ := http.NewRequest(http.MethodGet, "http://"+addr+"/", nil)
		req.Header.Set("X-Run-For", "300ms")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			answered <- 0
			return
		}
		_ = resp.Body.Close()
		answered <- resp.StatusCode
	}()
	for load(t, admin) == 0 {
	}
	tg.stop()
	assert.Equal(t, <-tg.status, exitOK)
	assert.Equal(t, <-answered, 200)
	assert.Equal(t, len(listed(t, c)), 0)
	plat.stop()
	assert.Equal(t, <-plat.status, exitOK)
}

func listed(t *testing.T, c *httpstore.Client) []ports.Host {
	t.Helper()
	snap, err := c.Hosts().List(context.Background(), 0)
	assert.NilError(t, err)
	return snap.Hosts
}

func load(t *testing.T, admin string) int {
	t.Helper()
	resp, err := http.Get("http://" + admin + "/standin/status")
	assert.NilError(t, err)
	defer resp.Body.Close()
	var status struct{ Load int }
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&status))
	return status.Load
}

// Guards against a target that fails, and stays listed, because it is stopped before it has read
// that it is registered.
func TestStopDuringRegistrationIsClean(t *testing.T) {
	plat := startProgram("platform", "--listen", "127.0.0.1:0", "--host-lag", "0s", "--token", "s")
	backend, err := url.Parse("http://" + plat.addr(t))
	assert.NilError(t, err)
	registered, release := make(chan struct{}), make(chan struct{})
	var once sync.Once
	proxy := httputil.NewSingleHostReverseProxy(backend)
	proxy.ModifyResponse = func(*http.Response) error {
		once.Do(func() {
			close(registered)
			<-release
		})
		return nil
	}
	server := httptest.NewServer(proxy)
	defer server.Close()
	tg := startProgram("target", "--id", "t1", "--register", server.URL, "--token", "s",
		"--workspace", "w", "--service", "s", "--grace", "0s")
	<-registered
	tg.stop()
	time.AfterFunc(50*time.Millisecond, func() { close(release) })
	assert.Equal(t, <-tg.status, exitOK)
	c, err := httpstore.New(httpstore.Config{URL: backend.String(), Token: "s"})
	assert.NilError(t, err)
	defer c.Close()
	assert.Equal(t, len(listed(t, c)), 0)
	plat.stop()
	assert.Equal(t, <-plat.status, exitOK)
}
