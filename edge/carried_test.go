package edge_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/platform/standin"
)

// Guards against a second run of a request whose answer was lost behind another host.
func TestLostAnswerBehindAnotherHostIsNotRepeated(t *testing.T) {
	t.Parallel()
	l, cut := newCutCluster(t, 2)
	for _, tg := range l.targets {
		tg.LoseResponse = func(id string) bool { return strings.HasSuffix(id, "-lost") && l.runs(id) == 1 }
	}
	for i := range 3 { // as many retries as the budget allows
		a := l.sendWithID(fmt.Sprintf("bid%d-lost", i), cut, http.MethodPost, "/bids/7", "")
		assert.Equal(t, a.status, http.StatusBadGateway)
		assert.Equal(t, l.runs(a.id), 1)
		b := l.sendWithID(fmt.Sprintf("read%d-lost", i), cut, http.MethodGet, "/lots/7", "")
		assert.Equal(t, b.status, http.StatusOK)
		assert.Equal(t, l.runs(b.id), 2)
	}
}

// Guards against a target that works on for a caller who has left a host that is cut off.
func TestCallersLeavingReachesTheTargetBehindAnotherHost(t *testing.T) {
	t.Parallel()
	l, cut := newCutCluster(t, 2)
	var mu sync.Mutex
	var left []time.Duration
	l.addRoute("slow", "mutating", func(_ http.ResponseWriter, r *http.Request) {
		begin := time.Now()
		select {
		case <-r.Context().Done():
		case <-time.After(5 * time.Second):
		}
		mu.Lock()
		defer mu.Unlock()
		left = append(left, time.Since(begin))
	})
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+cut.CallersAddr()+"/slow/", nil)
	assert.NilError(t, err)
	req.Host = hostName
	req.Header.Set(standin.HeaderRequestID, "leaver")
	_, err = l.client.Do(req)
	assert.Check(t, err != nil)
	l.await("the target notices", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(left) > 0
	})
	mu.Lock()
	defer mu.Unlock()
	for _, d := range left {
		assert.Check(t, d < 700*time.Millisecond, "the target worked on for %s", d)
	}
}

// Guards against changed or truncated uploads, and memory that grows with them.
func TestLargeUploadsPassThroughAnotherHostUnchanged(t *testing.T) {
	t.Parallel()
	l, cut := newCutCluster(t, 2)
	got := make(chan []byte, 1)
	paths := make(chan string, 1)
	l.addRoute("sink", "upload", func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(standin.HeaderRequestID)
		body, err := io.ReadAll(r.Body)
		assert.Check(t, err)
		paths <- r.URL.RequestURI()
		got <- body
		w.Header().Set(standin.HeaderRequestID, id)
		w.Header().Set(standin.HeaderSeal, "seal-"+id)
		_, _ = w.Write(body[:1<<20])
	})
	body := bytes.Repeat([]byte("0123456789abcdef"), 8<<16) // 8 MiB
	a := l.sendWithID("big", cut, http.MethodPost, "/sink/lot%207?x=%2F1&y", string(body))
	assert.Equal(t, a.status, http.StatusOK)
	assert.Check(t, bytes.Equal(<-got, body))
	assert.Equal(t, <-paths, "/sink/lot%207?x=%2F1&y")
	assert.Check(t, a.body == string(body[:1<<20]))
	assert.Equal(t, a.header.Get(standin.HeaderSeal), "seal-big")
}

// Guards against an answer without a length that is cut off behind another host and looks whole.
func TestAnswerThatATargetBreaksOffBehindAnotherHostIsNotWhole(t *testing.T) {
	t.Parallel()
	l, cut := newCutCluster(t, 2)
	l.addRoute("odd", "mutating", func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		assert.Check(t, err)
		defer conn.Close()
		id := r.Header.Get(standin.HeaderRequestID)
		// 400 kB are more than is buffered, so that the answer has begun when it ends.
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nConnection: close\r\n\r\n%s",
			standin.HeaderRequestID, id, standin.HeaderSeal, id, strings.Repeat("x", 400_000))
		if id == "reset" {
			time.Sleep(50 * time.Millisecond)
			_ = conn.(interface{ SetLinger(int) error }).SetLinger(0)
		}
	})
	whole := l.sendWithID("whole", cut, http.MethodPost, "/odd/", "")
	assert.NilError(t, whole.err)
	assert.Equal(t, len(whole.body), 400_000)
	broken := l.sendWithID("reset", cut, http.MethodPost, "/odd/", "")
	assert.Check(t, broken.err != nil, "status %d, %d bytes", broken.status, len(broken.body))
}

// Guards against requests to a target that left, on a connection that another host carries.
func TestTargetThatLeavesGetsNothingNewThroughAnotherHost(t *testing.T) {
	t.Parallel()
	l, cut := newCutCluster(t, 2)
	leaving := l.targets["bids-1"]
	l.list(leaving, "draining")
	time.Sleep(time.Second)
	mark := time.Now()
	l.assertServed(l.cutTraffic([]*daemon{cut}, 0, time.Second))
	assert.Check(t, leaving.LastRun().Before(mark))
}

// Guards against a host that is cut off and sends requests to more targets, or retries more of
// them, than one that is not.
func TestRetriesOfACutOffHostStayWithinTheirLimits(t *testing.T) {
	t.Parallel()
	const requests, maxAttempts, ratio, reserve = 120, 2, 0.2, 60 // as routes and settings say
	l, cut := newCutCluster(t, 2)
	for _, tg := range l.targets {
		tg.CorruptStatus = func(string) int { return http.StatusInternalServerError }
	}
	var wg sync.WaitGroup
	for worker := range 6 {
		wg.Go(func() {
			for i := range requests / 6 {
				l.sendWithID(fmt.Sprintf("retried-%d-%d", worker, i), cut, http.MethodGet, fmt.Sprintf("/lots/%d-%d", worker, i), "")
			}
		})
	}
	wg.Wait()
	arrived := make(map[string]int)
	for _, tg := range l.targets {
		for _, a := range tg.Arrivals() {
			if strings.HasPrefix(a.ID, "retried-") {
				arrived[a.ID]++
			}
		}
	}
	retries := 0
	for id, n := range arrived {
		assert.Check(t, n <= maxAttempts, "%s was sent %d times", id, n)
		retries += n - 1
	}
	assert.Check(t, retries > 0)
	assert.Check(t, float64(retries) <= ratio*requests+reserve, "%d retries", retries)
}

// Guards against requests to an evacuated zone, on connections that another host carries.
func TestEvacuatedZoneGetsNothingThroughAnotherHost(t *testing.T) {
	t.Parallel()
	l, cut := newCutCluster(t, 2)
	l.setZone("b", "bids-1", "bids-2")
	l.store.Put("op", "evacuate/b", []byte("{}"))
	l.await("the order has reached both hosts", func() bool {
		return strings.Contains(l.logs[0].String(), `msg="zone evacuated"`) && strings.Contains(l.logs[1].String(), `msg="zone evacuated"`)
	})
	l.await("the zone is idle", func() bool {
		mark := time.Now()
		l.assertServed(l.cutTraffic([]*daemon{cut}, 0, 200*time.Millisecond))
		return l.targets["bids-1"].LastRun().Before(mark) && l.targets["bids-2"].LastRun().Before(mark)
	})
	mark := time.Now()
	l.assertServed(l.cutTraffic([]*daemon{cut}, 0, time.Second))
	for _, id := range []string{"bids-1", "bids-2"} {
		assert.Check(t, l.targets[id].LastRun().Before(mark), "%s got a request", id)
	}
}
