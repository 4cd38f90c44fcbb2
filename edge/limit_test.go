package edge_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// within returns the most moments within any span of a length.
func within(span time.Duration, at []time.Time) (most int) {
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

// Guards against hosts that send a target more than the limit it names to all of them together.
func TestTargetsGetNoMoreThanTheLimitThatTheyName(t *testing.T) {
	t.Parallel()
	const (
		limit   = 2.0 // requests a second that each of three targets names
		allowed = 17  // in 4 s: half as many again, and 5
		every   = 40 * time.Millisecond
		span    = 4 * time.Second
		stable  = time.Second // all hosts have heard of the limit
	)
	l := newLab(t, 3)
	for i := range 3 {
		l.targets[[]string{"lots-0", "lots-1", "lots-2"}[i]].Limit = func() (float64, bool) { return limit, true }
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	served, refused, silent := 0, 0, 0
	begin := time.Now()
	for i := 0; time.Since(begin) < stable+span+time.Second; i++ {
		l.ids++
		id := "limit-" + time.Since(begin).String()
		wg.Go(func() {
			a := l.sendAs(id, l.daemons[i%3], http.MethodGet, "/lots/7", "")
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.status == http.StatusOK:
				served++
			case a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") != "":
				refused++
			default:
				silent++
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
		got := within(span, later)
		t.Logf("%s: %d in 4 s", id, got)
		assert.Check(t, got <= allowed, "%s: %d", id, got)
	}
	assert.Equal(t, silent, 0, "everybody else is told to come back")
	// Most of what the targets take is used.
	assert.Check(t, float64(served) > 0.7*3*limit*span.Seconds(), "only %d served", served)
}
