package upstream

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/policy/directpath"
	"github.com/cactusproxy/cactusproxy/ports"
)

// late opens a connection after d.
func late(d time.Duration) func(context.Context) error {
	return func(ctx context.Context) error {
		select {
		case <-time.After(d):
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Guards against a host that is cut off and serves nothing, because connections through other hosts
// take longer than a request waits and each request begins anew.
func TestConnectionThatOpensTooLateServesTheNextRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f := newFakePaths(t, silent, late(500*time.Millisecond), silent)
		res, took := send(p, SendOptions{})
		assert.Check(t, res.Err != nil && !res.Sent)
		assert.Equal(t, took, p.opts.DialTimeout)
		time.Sleep(directpath.CarriedDials * p.opts.DialTimeout)
		assert.Check(t, p.pool(theTarget).pathLost())
		res, took = send(p, SendOptions{})
		assert.NilError(t, res.Err)
		assert.Equal(t, res.Via, ports.HostID("a"))
		assert.Equal(t, took, time.Duration(0))
		assert.Equal(t, f.count("a"), 1)
	})
}

// Guards against a connection through another host that is kept, or a path that counts as lost, once
// this host's own connection was opened late.
func TestOwnConnectionThatOpensTooLateIsPreferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f := newFakePaths(t, well)
		pl := p.pool(theTarget)
		o := &opening{pool: pl, ownStarted: true, stop: func() {}, done: make(chan opened, 3)}
		r := o.newRemainder()
		carried, err := pl.dial(t.Context(), "")
		assert.NilError(t, err)
		own, err := pl.dial(t.Context(), "")
		assert.NilError(t, err)
		for _, e := range []opened{{via: "a", conn: carried}, {conn: own}} {
			r.add(e)
			r.settle()
		}
		assert.Check(t, !pl.pathLost())
		assert.Equal(t, len(pl.idle), 1)
		assert.Equal(t, pl.idle[0], own)
		assert.Equal(t, f.count(""), 2)
		carried.close()
	})
}

// Guards against a host that is cut off and gives up on hosts that are short of processor time, although
// its request has time left.
func TestHostThatIsCutOffWaitsForOtherHosts(t *testing.T) {
	for _, cut := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			p, f := newFakePaths(t, well, well)
			loseOwnPath(t, p, f)
			p.noteReach("another", nil)
			if cut {
				p.noteReach("another", context.DeadlineExceeded)
				p.noteReach("a third", context.DeadlineExceeded)
			}
			f.setHost("a", late(500*time.Millisecond))
			res, took := send(p, SendOptions{})
			if cut {
				assert.NilError(t, res.Err)
				assert.Equal(t, took, 500*time.Millisecond)
				return
			}
			assert.Check(t, res.Err != nil && !res.Sent)
			assert.Equal(t, took, p.opts.DialTimeout)
		})
	}
}

// Guards against a host that is short of processor time and opens several connections through other
// hosts for each of many requests that have stopped waiting.
func TestOneOpeningForATargetGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f := newFakePaths(t, silent, late(500*time.Millisecond))
		for range 20 {
			go send(p, SendOptions{})
		}
		time.Sleep(directpath.CarriedDials * p.opts.DialTimeout)
		assert.Equal(t, f.count("a"), 1)
		assert.Check(t, p.pool(theTarget).pathLost())
		res, _ := send(p, SendOptions{})
		assert.Equal(t, res.Via, ports.HostID("a"))
	})
}
