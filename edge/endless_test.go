package edge_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/internal/fakes/endless"
	"github.com/cactusproxy/cactusproxy/platform/standin"
)

const (
	// endlessDeadline is the deadline of a request whose response never ends, endlessSlack how much later
	// its caller, and its target, know that it has ended.
	endlessDeadline = 700 * time.Millisecond
	endlessSlack    = 500 * time.Millisecond
	// endlessHeap is how much the heap may grow for all of them together: the head of each is 64 KiB at most, the
	// part of a body that is buffered 256 KiB.
	endlessHeap = 64 << 20
)

// endlessBodies are responses to a request whose head is complete, by name; see also endless.Heads.
var endlessBodies = map[string]func(id string) endless.Answer{
	"body": func(id string) endless.Answer {
		return endless.Answer{Start: "HTTP/1.1 200 OK\r\n" + sealOf(id) + "\r\n", Repeat: "y"}
	},
	"unsealed body": func(string) endless.Answer { return endless.Body() },
	"failure": func(id string) endless.Answer {
		return endless.Answer{Start: "HTTP/1.1 500 Oh\r\n" + sealOf(id) + "\r\n", Repeat: "y"}
	},
	"rejection": func(string) endless.Answer {
		return endless.Answer{Start: "HTTP/1.1 503 Full\r\nX-Cactusproxy-Not-Executed: 1\r\n\r\n", Repeat: "y"}
	},
	"chunk": func(id string) endless.Answer {
		return endless.Answer{Start: "HTTP/1.1 200 OK\r\n" + sealOf(id) + "Transfer-Encoding: chunked\r\n\r\n7fffffffffffffff\r\n", Repeat: "y"}
	},
	"sealed chunk line": func(id string) endless.Answer {
		return endless.Answer{Start: "HTTP/1.1 200 OK\r\n" + sealOf(id) + "Transfer-Encoding: chunked\r\n\r\n1;", Repeat: "y"}
	},
	"trailer": func(id string) endless.Answer {
		return endless.Answer{Start: "HTTP/1.1 200 OK\r\n" + sealOf(id) + "Transfer-Encoding: chunked\r\n\r\n0\r\n", Repeat: "X: y\r\n"}
	},
}

// endlessKinds returns the names of all responses without end.
func endlessKinds() []string {
	return append(slices.Collect(maps.Keys(endless.Heads())), slices.Collect(maps.Keys(endlessBodies))...)
}

// endlessAnswer returns a response to a request by its name.
func endlessAnswer(kind, id string) endless.Answer {
	if f := endlessBodies[kind]; f != nil {
		return f(id)
	}
	return endless.Heads()[kind]
}

func sealOf(id string) string {
	return fmt.Sprintf("%s: %s\r\n%s: seal-%s\r\n", standin.HeaderRequestID, id, standin.HeaderSeal, id)
}

// endlessTarget answers as the path says: /odd/KIND or, for a byte now and then, /odd/KIND/slow.
type endlessTarget struct {
	mu sync.Mutex
	// began and closed hold when each request arrived and its connection was closed, by its ID.
	began, closed map[string]time.Time
}

func newEndlessTarget() *endlessTarget {
	return &endlessTarget{began: make(map[string]time.Time), closed: make(map[string]time.Time)}
}

func (e *endlessTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	id := r.Header.Get(standin.HeaderRequestID)
	e.mu.Lock()
	e.began[id] = time.Now()
	e.mu.Unlock()
	kind, speed, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/odd/"), "/")
	if kind == "after" {
		endless.Answer{Start: "HTTP/1.1 200 OK\r\n" + sealOf(id) + "Content-Length: 2\r\n\r\nok", Repeat: "y"}.WriteTo(conn)
	} else {
		a := endlessAnswer(kind, id)
		if a.Pause = time.Millisecond; speed == "slow" {
			a.Pause = 20 * time.Millisecond
		} else {
			a.Repeat = strings.Repeat(a.Repeat, 4<<10)
		}
		a.WriteTo(conn)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed[id] = time.Now()
}

func (e *endlessTarget) closedAt(id string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.closed[id]
}

func (e *endlessTarget) reached(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.began[id].IsZero()
}

// sendUntilReached is sendEndless for a request that is sent until it reaches the target, which hosts avoid for a
// moment after others have failed there. It returns the ID that arrived, and when its request was sent.
func (l *localCluster) sendUntilReached(d *daemon, target *endlessTarget, name, path string, size int) (id string, begin time.Time, status int, whole bool) {
	for i := range 20 {
		id, begin = fmt.Sprint(name, "-", i), time.Now()
		status, whole = l.sendEndless(d, id, path, size)
		if target.reached(id) {
			return id, begin, status, whole
		}
		time.Sleep(100 * time.Millisecond)
	}
	assert.Check(l.t, false, "%s never reaches its target", name)
	return id, begin, status, whole
}

// sendEndless sends a request with a body of the given size and reads what comes. It returns the status, and whether the response looked whole.
func (l *localCluster) sendEndless(d *daemon, id, path string, size int) (status int, whole bool) {
	req, err := http.NewRequest(http.MethodPost, "http://"+d.CallersAddr()+path, bytes.NewReader(make([]byte, size)))
	assert.Check(l.t, err)
	req.Host = hostName
	req.Header.Set(standin.HeaderRequestID, id)
	req.Header.Set(standin.HeaderDeadline, fmt.Sprint(endlessDeadline.Milliseconds()))
	resp, err := l.client.Do(req)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err == nil
}

// peakHeap returns a function that ends the measurement and returns by how much the heap grew at most.
func peakHeap() (grown func() int64) {
	heap := func() int64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	runtime.GC()
	before, peak := heap(), int64(0)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			peak = max(peak, heap()-before)
			time.Sleep(50 * time.Millisecond)
		}
	}()
	return func() int64 {
		cancel()
		<-done
		return peak
	}
}

// Guards against responses without end that fill a host's memory, look whole, keep their callers or targets
// waiting beyond the deadline, or take the host from other callers; also behind another host.
func TestResponsesWithoutEnd(t *testing.T) {
	l, cut := newCutCluster(t, 2)
	direct := l.daemons[0]
	if direct == cut {
		direct = l.daemons[1]
	}
	target := newEndlessTarget()
	l.addRoute("odd", "mutating", target.ServeHTTP)
	grown := peakHeap()
	stopOthers := make(chan struct{})
	var others, wg sync.WaitGroup
	others.Go(func() {
		for {
			select {
			case <-stopOthers:
				return
			default:
			}
			a := l.send(direct, http.MethodGet, "/lots/7", "")
			assert.Check(t, a.status == http.StatusOK && a.took < 500*time.Millisecond, "another caller: %d after %s", a.status, a.took)
		}
	})
	slots := make(chan struct{}, 4) // as many as the target has
	for _, kind := range endlessKinds() {
		for _, speed := range []string{"", "/slow"} {
			for name, d := range map[string]*daemon{"direct": direct, "carried": cut} {
				wg.Go(func() {
					slots <- struct{}{}
					defer func() { <-slots }()
					path := "/odd/" + strings.ReplaceAll(kind, " ", "%20") + speed
					id, begin, status, whole := l.sendUntilReached(d, target, strings.ReplaceAll(kind, " ", "-")+speed+"-"+name, path, 0)
					ended := time.Now()
					assert.Check(t, status != http.StatusOK || !whole, "%s looks whole", id)
					assert.Check(t, ended.Sub(begin) <= endlessDeadline+endlessSlack, "%s ended after %s", id, ended.Sub(begin))
					l.await(id+": the target's connection closes", func() bool { return !target.closedAt(id).IsZero() })
					assert.Check(t, target.closedAt(id).Sub(ended) <= endlessSlack, "%s: closed %s after the end", id, target.closedAt(id).Sub(ended))
				})
			}
		}
	}
	wg.Wait()
	close(stopOthers)
	others.Wait()
	assert.Check(t, grown() <= endlessHeap, "the heap grew by %d bytes", grown())
}

// Guards against bytes after a complete response that are taken for the next one, or read without end.
func TestBytesWithoutEndAfterAResponse(t *testing.T) {
	l, cut := newCutCluster(t, 2)
	target := newEndlessTarget()
	l.addRoute("odd", "mutating", target.ServeHTTP)
	grown := peakHeap()
	for _, d := range l.daemons {
		for i := range 5 {
			id := fmt.Sprintf("after-%t-%d", d == cut, i)
			id, _, status, whole := l.sendUntilReached(d, target, id, "/odd/after", 0)
			assert.Check(t, status == http.StatusOK && whole, "%s: %d", id, status)
			ended := time.Now()
			l.await(id+": the target's connection closes", func() bool { return !target.closedAt(id).IsZero() })
			assert.Check(t, target.closedAt(id).Sub(ended) <= endlessSlack)
		}
	}
	assert.Check(t, grown() <= endlessHeap, "the heap grew by %d bytes", grown())
}

// Guards against a caller that doesn't read a response without end, and holds memory and a target beyond the
// deadline.
func TestResponseWithoutEndToACallerThatDoesNotRead(t *testing.T) {
	l, cut := newCutCluster(t, 2)
	target := newEndlessTarget()
	l.addRoute("odd", "mutating", target.ServeHTTP)
	grown := peakHeap()
	begin := time.Now()
	for i, d := range l.daemons {
		c, err := net.Dial("tcp", d.CallersAddr())
		assert.NilError(t, err)
		defer c.Close()
		_, err = fmt.Fprintf(c, "POST /odd/body HTTP/1.1\r\nHost: %s\r\n%s: unread-%d\r\n%s: %d\r\nContent-Length: 0\r\n\r\n",
			hostName, standin.HeaderRequestID, i, standin.HeaderDeadline, endlessDeadline.Milliseconds())
		assert.NilError(t, err)
	}
	for i, d := range l.daemons {
		id := fmt.Sprintf("unread-%d", i)
		l.await(id+": the target's connection closes", func() bool { return !target.closedAt(id).IsZero() })
		took := target.closedAt(id).Sub(begin)
		assert.Check(t, took <= endlessDeadline+endlessSlack, "closed after %s, cut off: %t", took, d == cut)
	}
	assert.Check(t, grown() <= endlessHeap, "the heap grew by %d bytes", grown())
}

// Guards against an upload that is answered early by bytes without end, and waits beyond its deadline or looks
// whole.
func TestUploadAnsweredEarlyByBytesWithoutEnd(t *testing.T) {
	const size = 8 << 20 // more than is held in memory, and than sockets buffer
	l, cut := newCutCluster(t, 2)
	target := newEndlessTarget()
	l.addRoute("odd", "upload", target.ServeHTTP)
	grown := peakHeap()
	for _, d := range l.daemons {
		for _, kind := range []string{"head", "no HTTP", "body", "unsealed body", "rejection"} {
			path := "/odd/" + strings.ReplaceAll(kind, " ", "%20")
			id, begin, status, whole := l.sendUntilReached(d, target, fmt.Sprintf("upload-%s-%t", strings.ReplaceAll(kind, " ", "-"), d == cut), path, size)
			ended := time.Now()
			assert.Check(t, status != http.StatusOK || !whole, "%s looks whole", id)
			assert.Check(t, ended.Sub(begin) <= endlessDeadline+endlessSlack, "%s ended after %s", id, ended.Sub(begin))
			l.await(id+": the target's connection closes", func() bool { return !target.closedAt(id).IsZero() })
			assert.Check(t, target.closedAt(id).Sub(ended) <= endlessSlack, "%s: closed %s after the end", id, target.closedAt(id).Sub(ended))
		}
	}
	assert.Check(t, grown() <= endlessHeap, "the heap grew by %d bytes", grown())
}
