package pipeline_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// The prototypes of this file are compared with the package in docs/design/pipelining.md. They serve
// only what the benchmark sends: no bodies, no limits, no cancellation, no shutdown.

// recordedResponse is an http.ResponseWriter that keeps the response in memory.
type recordedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func newRecordedResponse() *recordedResponse {
	return &recordedResponse{header: make(http.Header), status: http.StatusOK}
}

func (r *recordedResponse) Header() http.Header         { return r.header }
func (r *recordedResponse) WriteHeader(status int)      { r.status = status }
func (r *recordedResponse) Write(b []byte) (int, error) { return r.body.Write(b) }

// writeTo writes the response as net/http would.
func (r *recordedResponse) writeTo(w io.Writer, req *http.Request) error {
	delete(r.header, "Date")
	if r.header["Content-Type"] == nil {
		r.header.Set("Content-Type", http.DetectContentType(r.body.Bytes()))
	}
	resp := http.Response{
		StatusCode: r.status, ProtoMajor: 1, ProtoMinor: 1, Request: req, Header: r.header,
		ContentLength: int64(r.body.Len()), Body: io.NopCloser(&r.body),
	}
	return resp.Write(w)
}

// run serves a request in its own goroutine. The returned channel receives the response.
func run(h http.Handler, r *http.Request) <-chan *recordedResponse {
	done := make(chan *recordedResponse, 1)
	go func() {
		w := newRecordedResponse()
		h.ServeHTTP(w, r)
		done <- w
	}()
	return done
}

// hijacker takes over each connection at its first request and serves all requests of the connection
// itself, those that have arrived at the same time.
type hijacker struct{ next http.Handler }

// ServeHTTP implements http.Handler.
func (h hijacker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	nc, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer nc.Close()
	type pending struct {
		request  *http.Request
		response <-chan *recordedResponse
	}
	queue := make(chan pending, 16)
	go func() {
		defer close(queue)
		for r := r; ; {
			queue <- pending{r, run(h.next, r)}
			var err error
			if r, err = http.ReadRequest(rw.Reader); err != nil {
				return
			}
		}
	}()
	for p := range queue {
		if (<-p.response).writeTo(rw.Writer, p.request) != nil {
			return
		}
		if len(queue) == 0 && rw.Writer.Flush() != nil {
			return
		}
	}
}

// readingAhead withholds the bytes behind the first request, and hands them to the handler of that
// request, which runs them.
type readingAhead struct {
	net.Conn
	mu       sync.Mutex
	withheld []byte
	queue    []func()
}

// Read implements net.Conn.
func (c *readingAhead) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if end := bytes.Index(p[:n], []byte("\r\n\r\n")); end >= 0 && end+4 < n {
		c.mu.Lock()
		c.withheld = bytes.Clone(p[end+4 : n])
		c.mu.Unlock()
		return end + 4, err
	}
	return n, err
}

type readingAheadKey struct{}

// serve runs the withheld requests beside a first one.
func (c *readingAhead) serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	src := bufio.NewReader(bytes.NewReader(c.withheld))
	c.withheld = nil
	c.mu.Unlock()
	for {
		ahead, err := http.ReadRequest(src)
		if err != nil {
			break
		}
		response := run(next, ahead.WithContext(r.Context()))
		c.queue = append(c.queue, func() { _ = (<-response).writeTo(c.Conn, ahead) })
	}
	next.ServeHTTP(w, r)
}

// flush writes the responses to the withheld requests after that to the first.
func (c *readingAhead) flush() {
	for _, write := range c.queue {
		write()
	}
	c.queue = c.queue[:0]
}

type readingAheadListener struct{ net.Listener }

// Accept implements net.Listener.
func (l readingAheadListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	return &readingAhead{Conn: nc}, err
}

// BenchmarkAlternatives is BenchmarkServer for the ways that were not chosen.
func BenchmarkAlternatives(b *testing.B) {
	hijack := func() string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		s := &http.Server{Handler: hijacker{benchHandler}}
		b.Cleanup(func() { _ = s.Close() })
		go func() { _ = s.Serve(l) }()
		return l.Addr().String()
	}
	ahead := func() string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		s := &http.Server{
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				r.Context().Value(readingAheadKey{}).(*readingAhead).serve(benchHandler, w, r)
			}),
			ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
				return context.WithValue(ctx, readingAheadKey{}, nc)
			},
			ConnState: func(nc net.Conn, state http.ConnState) {
				if state == http.StateIdle {
					nc.(*readingAhead).flush()
				}
			},
		}
		b.Cleanup(func() { _ = s.Close() })
		go func() { _ = s.Serve(readingAheadListener{l}) }()
		return l.Addr().String()
	}
	for _, way := range []struct {
		name  string
		serve func() string
	}{{"hijack", hijack}, {"handler", ahead}} {
		b.Run("burst=1/"+way.name, func(b *testing.B) { benchBursts(b, way.serve(), 1) })
		b.Run("burst=8/"+way.name, func(b *testing.B) { benchBursts(b, way.serve(), 8) })
	}
}
