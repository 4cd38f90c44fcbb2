package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/targetapi"
)

// call passes a request to the handler. aborted is true if the connection was aborted.
func call(h http.Handler, r *http.Request) (rec *httptest.ResponseRecorder, aborted bool) {
	rec = httptest.NewRecorder()
	defer func() {
		if v := recover(); v != nil {
			aborted = true
		}
	}()
	h.ServeHTTP(rec, r)
	return rec, false
}

func get(path string, headers ...string) *http.Request {
	r := httptest.NewRequest(http.MethodGet, path, nil)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return r
}

func TestAnswerEchoesItsRequest(t *testing.T) {
	tg := New(Options{ID: "t1"})
	body := bytes.Repeat([]byte("x"), 3<<20)
	r := httptest.NewRequest(http.MethodPost, "/lots", bytes.NewReader(body))
	r.Header.Set(HeaderRequestID, "r7")
	r.Header.Set(HeaderKey, "k1")
	rec, aborted := call(tg.Handler(), r)
	assert.Check(t, !aborted)
	var a Answer
	assert.NilError(t, json.Unmarshal(rec.Body.Bytes(), &a))
	assert.Equal(t, a.RequestID, "r7")
	assert.Equal(t, a.BodyBytes, int64(3<<20))
	runs := tg.Runs()
	assert.Equal(t, len(runs), 1)
	assert.Equal(t, runs[0].State, RunDone)
	assert.Equal(t, runs[0].Key, "k1")
	assert.Equal(t, runs[0].BodyDigest, a.BodyDigest)
	assert.Equal(t, rec.Header().Get(targetapi.HeaderLoad), "0")
}

// Guards against running a call that was shed. With one call running and one queued, the third
// is rejected at once and leaves no run, so its caller may retry on another target.
func TestFullQueueSheds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tg := New(Options{Slots: 1, Queue: 1, Behaviour: Behaviour{ServiceMean: time.Second}})
		h := tg.Handler()
		done := make(chan int, 2)
		for range 2 {
			go func() {
				rec, _ := call(h, get("/"))
				done <- rec.Code
			}()
		}
		synctest.Wait()
		rec, _ := call(h, get("/"))
		assert.Check(t, targetapi.IsShed(rec.Code, rec.Header()))
		assert.Equal(t, targetapi.LoadOf(rec.Header()), 2)
		assert.Equal(t, <-done, 200)
		assert.Equal(t, <-done, 200)
		assert.Equal(t, len(tg.Runs()), 2)
	})
}

// Guards against a drain that drops calls. During the grace period a draining target accepts
// calls and announces that it is leaving; then it sheds. The call in flight is completed.
func TestDrainFinishesWhatItHas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tg := New(Options{Slots: 2, Behaviour: Behaviour{ServiceMean: 5 * time.Second}})
		h := tg.Handler()
		long := make(chan *httptest.ResponseRecorder, 1)
		go func() {
			rec, _ := call(h, get("/"))
			long <- rec
		}()
		synctest.Wait()
		tg.Drain(2 * time.Second)
		rec, _ := call(h, get("/", HeaderRunFor, "1ms"))
		assert.Equal(t, rec.Code, 200)
		assert.Check(t, targetapi.IsLeaving(rec.Header()))
		time.Sleep(2 * time.Second)
		rec, _ = call(h, get("/"))
		assert.Check(t, targetapi.IsShed(rec.Code, rec.Header()))
		rec, _ = call(h, get(DefaultHealthPath))
		assert.Equal(t, rec.Code, 503)
		last := <-long
		assert.Equal(t, last.Code, 200)
		assert.Check(t, targetapi.IsLeaving(last.Header()))
	})
}

// Guards against a crash that affects only the request that caused it: a concurrent call is
// aborted too, and nothing is served until the restart.
func TestMarkedRequestCrashesTheTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tg := New(Options{Slots: 2, Behaviour: Behaviour{ServiceMean: time.Second}})
		h := tg.Handler()
		other := make(chan bool, 1)
		go func() {
			_, aborted := call(h, get("/"))
			other <- aborted
		}()
		synctest.Wait()
		_, aborted := call(h, get("/", HeaderCrash, "1"))
		assert.Check(t, aborted)
		assert.Check(t, <-other)
		_, aborted = call(h, get("/"))
		assert.Check(t, aborted)
		assert.NilError(t, tg.Restart())
		rec, aborted := call(h, get("/"))
		assert.Check(t, !aborted && rec.Code == 200)
		assert.Equal(t, tg.Runs()[0].State, RunCrashed)
		assert.Equal(t, tg.Status().Crashes, 1)
		assert.Equal(t, tg.Status().Load, 0)
	})
}

func TestReportsLagAndMislead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tg := New(Options{Slots: 4, Behaviour: Behaviour{ServiceMean: time.Hour, ReportLag: time.Second}})
		h := tg.Handler()
		ctx, cancel := context.WithCancel(context.Background())
		go call(h, get("/").WithContext(ctx))
		synctest.Wait()
		load := func() int {
			rec, _ := call(h, get(DefaultHealthPath))
			return targetapi.LoadOf(rec.Header())
		}
		assert.Equal(t, load(), 0)
		time.Sleep(time.Second)
		assert.Equal(t, load(), 1)

		n, ok := 7, true
		tg.SetBehaviour(Behaviour{FalseLoad: &n, FalseHealth: &ok})
		tg.Drain(0)
		rec, _ := call(h, get(DefaultHealthPath))
		assert.Equal(t, rec.Code, 200)
		assert.Equal(t, load(), 7)
		cancel()
		synctest.Wait()
		assert.Equal(t, tg.Runs()[0].State, RunCanceled)
	})
}

func TestServiceTimesAreDrawnAsAsked(t *testing.T) {
	now := time.Now()
	s := newServiceTimes(1, now)
	b := Behaviour{ServiceMean: 5 * time.Millisecond, ServiceSigma: 0.8}
	var sum time.Duration
	const n = 50_000
	for range n {
		sum += s.draw(b, now)
	}
	mean := sum / n
	assert.Check(t, mean > 4900*time.Microsecond && mean < 5100*time.Microsecond, "mean %s", mean)

	g := Straggle{Factor: 8, Share: 0.03, Period: 100 * time.Millisecond}
	slow := 0
	for i := range n {
		if s.straggling(g, now.Add(time.Duration(i)*10*time.Millisecond)) {
			slow++
		}
	}
	share := float64(slow) / n
	assert.Check(t, share > 0.02 && share < 0.04, "share %.3f", share)

	cold := Behaviour{ServiceMean: time.Millisecond, ColdStart: 10 * time.Second, ColdFactor: 5}
	assert.Equal(t, s.draw(cold, now), 5*time.Millisecond)
	assert.Equal(t, s.draw(cold, now.Add(5*time.Second)), 3*time.Millisecond)
	assert.Equal(t, s.draw(cold, now.Add(time.Minute)), time.Millisecond)
}

// serveOnLoopback starts the target on loopback and ends it with the test.
func serveOnLoopback(t *testing.T, o Options) (*Target, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	tg := New(o)
	served := make(chan error, 1)
	go func() { served <- tg.Serve(l) }()
	t.Cleanup(func() {
		tg.Close()
		assert.NilError(t, <-served)
	})
	return tg, "http://" + l.Addr().String()
}

// Over real connections, the caller of the crashing request gets no response, later connections
// are refused, and after the restart the same address serves again.
func TestCrashAndRestartOverTCP(t *testing.T) {
	tg, url := serveOnLoopback(t, Options{ID: "t1", Slots: 2})
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, url+"/", strings.NewReader("x"))
	assert.NilError(t, err)
	req.Header.Set(HeaderCrash, "1")
	_, err = client.Do(req)
	assert.Check(t, err != nil)
	_, err = client.Get(url + "/")
	assert.Check(t, err != nil)
	assert.NilError(t, tg.Restart())
	resp, err := client.Get(url + "/")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
	_ = resp.Body.Close()
	assert.Equal(t, tg.Status().Crashes, 1)
}

func TestAdminAPIOverHTTP(t *testing.T) {
	tg, url := serveOnLoopback(t, Options{ID: "t1"})
	req, err := http.NewRequest(http.MethodPut, url+"/standin/behaviour", strings.NewReader(`{"failFast":true}`))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusNoContent)
	resp, err = http.Get(url + "/")
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, resp.StatusCode, 500)
	assert.Check(t, tg.Behaviour().FailFast)
	resp, err = http.Get(url + "/standin/runs")
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, strings.TrimSpace(string(body)), "[]")
}

// Guards against a connection limit that reads from the excess connection or affects the first:
// the second connection is closed unread and counted, and the first one still works.
func TestConnectionLimit(t *testing.T) {
	tg, url := serveOnLoopback(t, Options{MaxConns: 1})
	addr := strings.TrimPrefix(url, "http://")
	first, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	_, err = io.WriteString(first, "GET / HTTP/1.1\r\nHost: t\r\n\r\n")
	assert.NilError(t, err)
	buf := make([]byte, 12)
	_, err = io.ReadFull(first, buf)
	assert.NilError(t, err)
	assert.Equal(t, string(buf), "HTTP/1.1 200")

	second, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	_, err = second.Read(buf)
	assert.Check(t, err != nil)
	assert.Equal(t, tg.Status().ConnsRefused, 1)
	assert.NilError(t, first.Close())
	assert.NilError(t, second.Close())
}
