package edge_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/internal/fakes/faultypath"
)

// maxInSpan returns the largest number of the given times in any interval of length span.
func maxInSpan(span time.Duration, at []time.Time) (most int) {
	for i := range at {
		n := 0
		for _, other := range at[i:] {
			if other.Sub(at[i]) < span {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against hosts exceeding together the request rate that a target announces as its limit
// for all of them.
func TestTargetsGetNoMoreThanTheLimitThatTheyName(t *testing.T) {
	t.Parallel()
	newLocalCluster(t, 3).assertLimitHolds()
}

// Guards against hosts that are cut off from all targets and exceed the limit with the others.
func TestTargetsGetNoMoreThanTheirLimitFromHostsCutOffFromThem(t *testing.T) {
	t.Parallel()
	l, _ := newCutCluster(t, 3)
	l.daemons[1].path.Cut(faultypath.Silent)
	l.cutTraffic(l.daemons[1:2], 0, 1500*time.Millisecond)
	l.assertLimitHolds()
}

// assertLimitHolds lets targets name a limit and sends more through all hosts.
func (l *localCluster) assertLimitHolds() {
	t := l.t
	const (
		limit   = 2.0 // requests per second that each of three targets announces
		allowed = 17  // in 4 s: 1.5 times the limit, plus 5
		every   = 40 * time.Millisecond
		span    = 4 * time.Second
		stable  = time.Second // by then all hosts know the limit
	)
	for i := range 3 {
		l.targets[[]string{"lots-0", "lots-1", "lots-2"}[i]].Limit = func() (float64, bool) { return limit, true }
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	served, refused, unexpected := 0, 0, 0
	begin := time.Now()
	for i := 0; time.Since(begin) < stable+span+time.Second; i++ {
		l.ids++
		id := "limit-" + time.Since(begin).String()
		wg.Go(func() {
			a := l.sendWithID(id, l.daemons[i%3], http.MethodGet, "/lots/7", "")
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.status == http.StatusOK:
				served++
			case a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") != "":
				refused++
			default:
				unexpected++
			}
		})
		time.Sleep(every)
	}
	wg.Wait()
	t.Logf("served %d, refused %d", served, refused)
	for _, id := range []string{"lots-0", "lots-1", "lots-2"} {
		var later []time.Time
		for _, a := range l.targets[id].Arrivals() {
			if a.At.Sub(begin) > stable {
				later = append(later, a.At)
			}
		}
		got := maxInSpan(span, later)
		t.Logf("%s: %d in 4 s", id, got)
		assert.Check(t, got <= allowed, "%s: %d", id, got)
	}
	assert.Equal(t, unexpected, 0, "rejected without Retry-After")
	// Most of the targets' capacity must be used.
	assert.Check(t, float64(served) > 0.7*3*limit*span.Seconds(), "only %d served", served)
}
