package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/ports"
)

// stallingTargets answer on connections that can be made to carry nothing any more.
type stallingTargets struct {
	mu      sync.Mutex
	opened  int
	stalled chan struct{}
	serving sync.WaitGroup
}

func (s *stallingTargets) dial(context.Context, string) (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opened++
	stalled := s.stalled
	here, there := net.Pipe()
	s.serving.Go(func() {
		defer there.Close()
		buf := make([]byte, 4<<10)
		for {
			if _, err := there.Read(buf); err != nil {
				return
			}
			select {
			case <-stalled:
				continue
			default:
			}
			if _, err := io.WriteString(there, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
				return
			}
		}
	})
	return here, nil
}

// stall lets all established connections carry nothing any more.
func (s *stallingTargets) stall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.stalled)
	s.stalled = make(chan struct{})
}

// ask sends a request that may take 250 ms to a target, and reports whether it was answered.
func ask(p *Pools, id ports.HostID) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 250*time.Millisecond)
	defer cancel()
	req := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}, Header: http.Header{}}
	res := p.RoundTrip(req.WithContext(ctx), blackboard.Target{ID: id, Addr: string(id) + ":1"}, SendOptions{})
	if res.Err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, res.Response.Body)
	_ = res.Response.Body.Close()
	return true
}

// Guards against stalled idle connections that cost a request each: several to each of some targets.
func TestStalledConnectionsCostFewRequests(t *testing.T) {
	const targets, idle = 6, 5
	synctest.Test(t, func(t *testing.T) {
		s := &stallingTargets{stalled: make(chan struct{})}
		p := New(Options{Dial: s.dial})
		defer s.serving.Wait()
		defer p.Close()
		id := func(i int) ports.HostID { return ports.HostID(rune('a' + i%targets)) }
		for round := range 2 {
			var wg sync.WaitGroup
			for i := range targets * idle {
				wg.Go(func() { assert.Check(t, ask(p, id(i))) })
			}
			wg.Wait()
			time.Sleep(time.Millisecond)
			s.stall()
			lost := 0
			for i := range targets * idle {
				if !ask(p, id(i)) {
					lost++
				}
			}
			assert.Equal(t, lost, 2, "round %d: the second target tells that all are concerned", round)
		}
	})
}

// Guards against stalled connections to one target that cost a request each, while others answer.
func TestStalledConnectionsToOneTargetCostFewRequests(t *testing.T) {
	const idle = 5
	synctest.Test(t, func(t *testing.T) {
		s, other := &stallingTargets{stalled: make(chan struct{})}, &stallingTargets{stalled: make(chan struct{})}
		p := New(Options{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			if addr == "other:1" {
				return other.dial(ctx, addr)
			}
			return s.dial(ctx, addr)
		}})
		defer other.serving.Wait()
		defer s.serving.Wait()
		defer p.Close()
		var wg sync.WaitGroup
		for range idle {
			wg.Go(func() { assert.Check(t, ask(p, "stalled")) })
		}
		wg.Wait()
		assert.Check(t, ask(p, "other"))
		s.stall()
		lost := 0
		for range idle {
			time.Sleep(time.Millisecond)
			assert.Check(t, ask(p, "other"))
			if !ask(p, "stalled") {
				lost++
			}
		}
		assert.Equal(t, lost, maxUnansweredOnUsed)
	})
}

// Guards against closing idle connections because a target is slow: others, or other connections to
// it, answer.
func TestSlowAnswersCloseNoConnectionsThatAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &stallingTargets{stalled: make(chan struct{})}
		p := New(Options{Dial: s.dial})
		defer s.serving.Wait()
		defer p.Close()
		for _, id := range []ports.HostID{"slow", "other"} {
			assert.Check(t, ask(p, id))
			assert.Check(t, ask(p, id))
		}
		opened := s.opened
		begun := time.Now()
		time.Sleep(time.Millisecond)
		assert.Check(t, ask(p, "slow")) // on a connection that has answered since
		for range maxUnansweredOnUsed {
			p.existingPool("slow").noteStalled(begun)
		}
		assert.Check(t, ask(p, "slow"))
		assert.Check(t, ask(p, "other"))
		assert.Equal(t, s.opened, opened)
	})
}
