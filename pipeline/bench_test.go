package pipeline_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/pipeline"
)

// benchHandler responds with a few bytes.
var benchHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
	pipeline.AllowOvertaking(r)
	w.Header()["Date"] = nil
	_, _ = io.WriteString(w, "done")
})

// benchServer starts a server that responds with a few bytes, with or without a Pipeline, and returns
// its address.
func benchServer(b *testing.B, piped bool) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	s := &http.Server{Handler: benchHandler}
	b.Cleanup(func() { _ = s.Close() })
	if !piped {
		go func() { _ = s.Serve(l) }()
		return l.Addr().String()
	}
	p := pipeline.New(pipeline.Options{
		MayRunAhead: func(*http.Request) bool { return true },
		Memory:      semaphore.NewWeighted(64 << 20),
		Metrics:     metrics.New(),
	})
	p.Attach(s)
	go func() { _ = s.Serve(p.Listener(l)) }()
	go func() { _ = s.Serve(p.Ahead(l.Addr())) }()
	return l.Addr().String()
}

// benchRequest has the header of a usual request.
const benchRequest = "GET /lots/7?x=1 HTTP/1.1\r\nHost: auction.example\r\nUser-Agent: bench\r\nAccept: */*\r\n" +
	"X-Cactusproxy-Request-Id: 0123456789abcdef\r\nX-Cactusproxy-Request-Deadline: 4000\r\n" +
	"X-Cactusproxy-Credential: 0123456789abcdef0123456789abcdef\r\nAccept-Encoding: gzip\r\n\r\n"

// BenchmarkServer sends bursts of requests on one connection and reads the responses. A burst of one
// is a keep-alive client without pipelining.
func BenchmarkServer(b *testing.B) {
	for _, burst := range []int{1, 8} {
		for _, piped := range []bool{false, true} {
			b.Run(fmt.Sprintf("burst=%d/pipeline=%v", burst, piped), func(b *testing.B) {
				benchBursts(b, benchServer(b, piped), burst)
			})
		}
	}
}

func benchBursts(b *testing.B, addr string, burst int) {
	nc, err := net.Dial("tcp", addr)
	assert.NilError(b, err)
	defer nc.Close()
	requests := []byte(strings.Repeat(benchRequest, burst))
	reader := bufio.NewReader(nc)
	_, err = nc.Write([]byte(benchRequest))
	assert.NilError(b, err)
	resp, err := http.ReadResponse(reader, nil)
	assert.NilError(b, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(b, err)
	const response = len("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Type: text/plain; charset=utf-8\r\n\r\ndone")
	b.ReportAllocs()
	b.ResetTimer()
	begin := processorTime()
	for n := 0; n < b.N; n += burst {
		if _, err := nc.Write(requests); err != nil {
			b.Fatal(err)
		}
		if _, err := reader.Discard(burst * response); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64((processorTime()-begin).Nanoseconds())/float64(b.N), "cpu-ns/op")
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
