package pipeline_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/pipeline"
)

// recorder is a handler that records what it gets, by caller.
type recorder struct {
	mu   sync.Mutex
	seen map[string][]string
}

// workTime is how long a request runs, so that those behind it arrive meanwhile.
const workTime = time.Millisecond

// ServeHTTP implements http.Handler. The response names the request.
func (rec *recorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	text := fmt.Sprintf("%s %q %q %s %q err=%v", r.Method, r.RequestURI, r.Host, r.Proto, body, err != nil)
	for _, name := range slices.Sorted(func(yield func(string) bool) {
		for name := range r.Header {
			if !yield(name) {
				return
			}
		}
	}) {
		text += fmt.Sprintf(" %q=%q", name, r.Header[name])
	}
	time.Sleep(workTime)
	rec.mu.Lock()
	rec.seen[r.RemoteAddr] = append(rec.seen[r.RemoteAddr], text)
	rec.mu.Unlock()
	w.Header().Set("Content-Type", "text/plain")
	_, _ = io.WriteString(w, text)
}

// take returns the requests of a caller in sorted order and forgets them.
func (rec *recorder) take(addr string) []string {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	list := rec.seen[addr]
	delete(rec.seen, addr)
	slices.Sort(list)
	return list
}

// drainingListener returns connections that read what is left before they close. Otherwise a reset
// could destroy responses that the caller hasn't read.
type drainingListener struct{ net.Listener }

func (l drainingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return drainingConn{nc.(*net.TCPConn)}, nil
}

type drainingConn struct{ *net.TCPConn }

func (c drainingConn) Close() error {
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	_, _ = io.Copy(io.Discard, c.TCPConn)
	return c.TCPConn.Close()
}

// comparison runs the same bytes through net/http alone and through a Pipeline.
type comparison struct {
	plain, piped         *recorder
	plainAddr, pipedAddr string
	metrics              *metrics.Set
}

func newComparison(tb testing.TB) *comparison {
	c := &comparison{plain: newRecorder(), piped: newRecorder(), metrics: metrics.New()}
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(tb, err)
		return l
	}
	plainListener, l := listen(), listen()
	c.plainAddr, c.pipedAddr = plainListener.Addr().String(), l.Addr().String()
	plain := &http.Server{Handler: c.plain}
	go func() { _ = plain.Serve(drainingListener{plainListener}) }()
	may := func(r *http.Request) bool { return !strings.HasPrefix(r.URL.Path, "/alone") }
	p := pipeline.New(pipeline.Options{MayRunAhead: may, PerConnection: 3, Memory: semaphore.NewWeighted(64 << 20), Metrics: c.metrics})
	piped := &http.Server{Handler: overtakable(may, c.piped)}
	p.Attach(piped)
	go func() { _ = piped.Serve(p.Listener(drainingListener{l})) }()
	go func() { _ = piped.Serve(p.Ahead(l.Addr())) }()
	tb.Cleanup(func() {
		_ = plain.Close()
		_ = piped.Close()
	})
	return c
}

func newRecorder() *recorder { return &recorder{seen: make(map[string][]string)} }

var dateLine = regexp.MustCompile(`Date: [^\r]*\r\n`)

// exchange sends bytes in the given parts, closes its side, and returns all responses and the
// requests that the handler got.
func exchange(t *testing.T, addr string, rec *recorder, parts []string) (responses string, requests []string) {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer nc.Close()
	assert.NilError(t, nc.SetDeadline(time.Now().Add(20*time.Second)))
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, part := range parts {
			if _, err := io.WriteString(nc, part); err != nil {
				break
			}
		}
		_ = nc.(*net.TCPConn).CloseWrite()
	}()
	all, err := io.ReadAll(nc)
	assert.NilError(t, err)
	<-done
	return dateLine.ReplaceAllString(string(all), ""), rec.take(nc.LocalAddr().String())
}

// compare checks that both servers give the same responses in the same order, and run the same
// requests.
func (c *comparison) compare(t *testing.T, parts []string) {
	t.Helper()
	want, wantRequests := exchange(t, c.plainAddr, c.plain, parts)
	got, gotRequests := exchange(t, c.pipedAddr, c.piped, parts)
	assert.Equal(t, got, want, "%q", parts)
	assert.DeepEqual(t, gotRequests, wantRequests)
}

// fragments are requests and parts of requests that have been used for request smuggling, and usual
// ones.
var fragments = []string{
	"GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET /b?x=1 HTTP/1.1\r\nHost: h\r\nAccept: */*\r\n\r\n",
	"HEAD /c HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET /alone HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET /d HTTP/1.1\r\nHost: h\r\nConnection: keep-alive\r\n\r\n",
	"GET /close HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
	"GET /old HTTP/1.0\r\nHost: h\r\n\r\n",
	"GET /old HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
	"GET /key HTTP/1.1\r\nHost: h\r\nIdempotency-Key: 1\r\n\r\n",
	"GET /body HTTP/1.1\r\nHost: h\r\nContent-Length: 34\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n",
	"POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 34\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n",
	"POST /short HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n",
	"POST /none HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
	"POST /two HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
	"POST /same HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
	"GET /sign HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc",
	"GET /zero HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
	"POST /chunked HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	"GET /chunked HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"POST /both HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	"POST /xchunked HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
	"GET /te HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
	"PUT /expect HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\nabc",
	"GET /expect HTTP/1.1\r\nHost: h\r\nExpect: other\r\n\r\n",
	"GET /upgrade HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n",
	"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
	"GET /lf HTTP/1.1\nHost: h\n\n",
	"GET /mixed HTTP/1.1\r\nHost: h\n\r\n",
	"GET /cr HTTP/1.1\r\nHost: h\r\nX: a\rb\r\n\r\n",
	"GET /crcr HTTP/1.1\r\nHost: h\r\n\r\r\n\r\n",
	"GET /fold HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n",
	"GET /space HTTP/1.1\r\nHost: h\r\nBad Name: 1\r\n\r\n",
	"GET /colon HTTP/1.1\r\nHost: h\r\n: 1\r\n\r\n",
	"GET /nul HTTP/1.1\r\nHost: h\r\nX: \x00\r\n\r\n",
	"GET /nohost HTTP/1.1\r\n\r\n",
	"GET /hosts HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
	"GET /badhost HTTP/1.1\r\nHost: a b\r\n\r\n",
	"GET http://other/abs HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET * HTTP/1.1\r\nHost: h\r\n\r\n",
	"OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n",
	"CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n",
	"get /lower HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET  /spaces HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET /version HTTP/1.2\r\nHost: h\r\n\r\n",
	"GET /pragma HTTP/1.1\r\nHost: h\r\nPragma: no-cache\r\n\r\n",
	"GET /trailer HTTP/1.1\r\nHost: h\r\nTrailer: X\r\n\r\n",
	"GET /long HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 5000) + "\r\n\r\n",
	"GET /longer HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 70_000) + "\r\n\r\n",
	"POST /large HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("GET / HTTP/1.1\r\n\r\n", 500),
	"GET /part HTTP/1.1\r\nHo",
	"\r\n", "\n", "\r", "x", "GET ",
}

// cut splits text into parts. Each byte of cuts is the length of a part, and 0 stands for a long one.
func cut(text string, cuts []byte) []string {
	var parts []string
	for _, n := range cuts {
		size := min(len(text), int(n))
		if n == 0 {
			size = min(len(text), 4096)
		}
		if size == 0 {
			break
		}
		parts, text = append(parts, text[:size]), text[size:]
	}
	return append(parts, text)
}

// Guards against requests that are split differently than net/http does (request smuggling), and
// against lost, doubled or reordered responses.
func TestSplittingIsThatOfNetHTTP(t *testing.T) {
	c := newComparison(t)
	rounds := 400
	if testing.Short() {
		rounds = 50
	}
	for seed := range rounds {
		random := rand.New(rand.NewPCG(uint64(seed), 1))
		var text string
		for range 1 + random.IntN(7) {
			if random.IntN(2) == 0 {
				text += fragments[random.IntN(5)] // the usual
			} else {
				text += fragments[random.IntN(len(fragments))]
			}
		}
		cuts := make([]byte, random.IntN(6))
		for i := range cuts {
			cuts[i] = byte(random.IntN(256))
		}
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { c.compare(t, cut(text, cuts)) })
	}
	assert.Check(t, c.metrics.Map("pipeline").Get("ahead").String() != "0")
}

func FuzzSplitting(f *testing.F) {
	c := newComparison(f)
	for i, fragment := range fragments {
		f.Add([]byte(fragments[0]+fragment+fragments[1]), []byte{})
		f.Add([]byte(fragment+fragments[0]+fragments[i/2]), []byte{byte(i), 40})
	}
	f.Fuzz(func(t *testing.T, text, cuts []byte) {
		if len(text) > 128<<10 || len(cuts) > 20 {
			return
		}
		c.compare(t, cut(string(text), cuts))
	})
}
