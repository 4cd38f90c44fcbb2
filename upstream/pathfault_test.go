package upstream

import (
	"context"
	"net/http"
	"net/url"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func unreachable(context.Context) error {
	return errors.Mark(errors.New("target unreachable"), ErrTargetUnreachable)
}

// loseOwnPath lets the first host carry a connection while the own path is silent.
func loseOwnPath(t *testing.T, p *Pools, f *fakePaths) {
	f.setOwn(silent)
	f.setHost("a", well)
	_, _ = send(p, SendOptions{})
	time.Sleep(p.opts.DialTimeout)
	assert.Check(t, p.pool(theTarget).pathLost())
	p.pool(theTarget).dropIdle(func(*conn) bool { return true })
}

// Guards against failures of the way to a target that are taken for failures of the target.
func TestFailuresOfPathsThroughOtherHostsSayNothingOfTheTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f := newFakePaths(t, well, well)
		for name, c := range map[string]struct {
			host  func(context.Context) error
			fault bool
		}{
			"no reply in time":                {silent, true},
			"a host that is cut off too":      {refused, true},
			"a host with paths that are well": {unreachable, false},
		} {
			loseOwnPath(t, p, f)
			f.setHost("a", c.host)
			res, _ := send(p, SendOptions{})
			assert.Check(t, res.Err != nil && !res.Sent, name)
			assert.Equal(t, errors.Is(res.Err, ErrPathFault), c.fault, name)
		}
	})
}

// Guards against a host that blames the second target for a cut, and spares the only one that fails.
func TestFailuresOfTheOwnPathTellOfTheTargetIfOthersAreReached(t *testing.T) {
	for name, own := range map[string]func(context.Context) error{"refused": refused, "silent": silent} {
		for _, cut := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				p, _ := newFakePaths(t, own, own)
				p.noteReach("another", nil)
				if cut {
					for range 2 {
						p.noteReach("another", context.DeadlineExceeded)
						p.reach.TimedOut("another")
						p.noteReach("a third", context.DeadlineExceeded)
						p.reach.TimedOut("a third")
					}
				}
				time.Sleep(time.Second)
				res, _ := send(p, SendOptions{})
				assert.Check(t, res.Err != nil)
				assert.Equal(t, errors.Is(res.Err, ErrPathFault), cut, "%s, cut=%v", name, cut)
				_, err := p.DialOwn(t.Context(), theTarget)
				assert.Equal(t, errors.Is(err, ErrPathFault), cut, "for another host: %s, cut=%v", name, cut)
			})
		}
	}
}

// Guards against a response that another host's stream delays and that counts against the target.
func TestResponseThatIsLateThroughAnotherHostSaysNothingOfTheTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f := newFakePaths(t, refused, well)
		f.mute = true
		ctx, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond)
		defer cancel()
		req := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}, Header: http.Header{}}
		res := p.RoundTrip(req.WithContext(ctx), theTarget, SendOptions{})
		assert.Check(t, res.Sent && res.Via == "a")
		assert.Check(t, errors.Is(res.Err, ErrPathFault))
		assert.Equal(t, CauseOf(res.Err), CauseTimeout)
	})
}

// Guards against marks on failures where no other host is asked.
func TestNoPathIsAtFaultWhereNoOtherHostIsAsked(t *testing.T) {
	p := New(Options{})
	for range 3 {
		p.noteReach("another", syscall.ECONNREFUSED)
		p.noteReach("a third", syscall.ECONNREFUSED)
	}
	err := p.markPathFault(ownAttempt{target: "t"}, syscall.ECONNREFUSED)
	assert.Check(t, !errors.Is(err, ErrPathFault))
}

// Guards against blaming the target for a response that a host without processor time did not read.
func TestTimeoutThatIsSeenLateSaysNothingOfTheTarget(t *testing.T) {
	for name, c := range map[string]struct {
		own   func(context.Context) error
		fault bool
	}{
		"in time":                 {silent, false},
		"after a stall of 100 ms": {after(350 * time.Millisecond), true},
	} {
		synctest.Test(t, func(t *testing.T) {
			p, _ := newFakePaths(t, c.own, silent)
			p.noteReach("another", nil)
			_, err := p.DialOwn(t.Context(), theTarget)
			assert.Equal(t, CauseOf(err), CauseTimeout)
			assert.Equal(t, errors.Is(err, ErrPathFault), c.fault, name)
		})
	}
}
