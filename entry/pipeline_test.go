package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pipeline"
	"github.com/cactusproxy/cactusproxy/routing"
)

// kindsConfig returns a configuration with a route of each kind, whose prefix is the kind's name.
func kindsConfig(version uint64) *routing.Config {
	c := &routing.Config{Version: version, Services: []routing.Service{{Name: "lots"}}}
	for _, k := range []routing.Kind{routing.Safe, routing.Mutating, routing.Upload, routing.Download} {
		c.Routes = append(c.Routes, routing.Route{
			Name: k.String(), Host: "auction.example", Prefix: "/" + k.String() + "/", Kind: k,
			Timeout: time.Second, MaxAttempts: 1, Split: []routing.WeightedService{{Service: "lots", Weight: 1}},
		})
	}
	return c
}

// Guards against requests that run ahead although they may not run twice, or whose responses are too
// large to be buffered until their turn.
func TestOnlySafeRoutesMayRunAhead(t *testing.T) {
	k := newKeyedServer(t, kindsConfig(1))
	may := func(path string) bool {
		r, err := http.NewRequest(http.MethodGet, "http://auction.example"+path, nil)
		assert.NilError(t, err)
		return k.MayRunAhead(r)
	}
	assert.Check(t, may("/safe/1"))
	for _, path := range []string{"/mutating/1", "/upload/1", "/download/1", "/other/1"} {
		assert.Check(t, !may(path), path)
	}
	status := k.board.Status.Load()
	status.Leaving = true
	k.board.Status.Store(status)
	assert.Check(t, !may("/safe/1"), "a leaving host starts requests ahead")
}

// Guards against running a mutating request before its turn when the route changed after it was
// started: it must be refused as not run.
func TestMutatingRequestThatRanAheadIsRefused(t *testing.T) {
	k := newKeyedServer(t, kindsConfig(1))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := pipeline.New(pipeline.Options{
		MayRunAhead: func(*http.Request) bool { return true }, // as if the route had been safe
		Memory:      semaphore.NewWeighted(1 << 20),
		Metrics:     metrics.New(),
	})
	started := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/safe/1" {
			pipeline.AllowOvertaking(r)
			<-started
		} else {
			defer close(started)
		}
		k.ProxyHandler().ServeHTTP(w, r)
	})}
	p.Attach(server)
	go func() { _ = server.Serve(p.Listener(l)) }()
	go func() { _ = server.Serve(p.Ahead(l.Addr())) }()
	defer server.Close()
	nc, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer nc.Close()
	for _, path := range []string{"/safe/1", "/mutating/2"} {
		_, err = fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: auction.example\r\n\r\n", path)
		assert.NilError(t, err)
	}
	reader := bufio.NewReader(nc)
	for _, reason := range []outcome.Reason{outcome.ReasonNoTarget, outcome.ReasonNotInTurn} {
		resp, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, resp.Header.Get(outcome.HeaderReason), string(reason))
		assert.Equal(t, resp.Header.Get(outcome.HeaderOutcome), outcome.NotRun.String())
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.Check(t, resp.Header.Get("Retry-After") != "")
	}
	assert.Equal(t, k.sent.call.URL.Path, "/safe/1", "the mutating request was made")
}
