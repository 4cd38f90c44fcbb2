package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// loserGrace is how long the attempt that lost a race may go on. A target that refuses a request
// takes about a round trip to say so, and says with it how long it wants to rest: canceled at
// once, this host would send it the next request all the same.
const loserGrace = 50 * time.Millisecond

// hedgeRace is the race between an attempt and its hedge. The first one with a successful response
// wins and the other is canceled. Exactly one wins, so that the success of one never cuts off the
// response of the other.
type hedgeRace struct {
	d     *Dispatcher
	ctx   context.Context
	call  *Call
	first *racer
	// done receives the hedge, or nil if none was sent. hedgeWon is closed once the hedge has won.
	done     chan *attempt
	hedgeWon chan struct{}

	mu    sync.Mutex
	won   bool
	hedge *racer
}

// racer is one attempt of a race. Its context ends with that of the call, unless the attempt has
// lost: the call then ends with the winner.
type racer struct {
	permit permit
	start  time.Time
	ctx    context.Context
	cancel context.CancelFunc
	// detach keeps the end of the call from ending the attempt.
	detach func() bool
	done   chan *attempt
}

func newRacer(ctx context.Context, p permit) *racer {
	r := &racer{permit: p, start: time.Now(), done: make(chan *attempt, 1)}
	r.ctx, r.cancel = withoutParent(ctx)
	r.detach = context.AfterFunc(ctx, func() {
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) { // r.ctx has the same deadline
			r.cancel()
		}
	})
	return r
}

// withoutParent returns a context with the values and the deadline of another one, but that the
// other one does not cancel.
func withoutParent(ctx context.Context) (context.Context, context.CancelFunc) {
	detached := context.WithoutCancel(ctx)
	if at, ok := ctx.Deadline(); ok {
		return context.WithDeadline(detached, at)
	}
	return context.WithCancel(detached)
}

// run makes the attempt.
func (r *racer) run(d *Dispatcher, c *Call) *attempt {
	a := d.attempt(r.ctx, c, r.permit)
	a.addCancel(func() {
		r.detach()
		r.cancel()
	})
	return a
}

// lose cancels an attempt that lost once loserGrace has passed, and discards its response.
func (r *racer) lose(done <-chan *attempt) {
	r.detach()
	timer := time.AfterFunc(loserGrace, r.cancel)
	go func() {
		defer timer.Stop()
		if a := <-done; a != nil {
			a.abandon()
		}
	}()
}

// sendHedge sends the hedge.
func (r *hedgeRace) sendHedge() {
	p := r.d.prepareHedge(r.ctx, r.call, r.first.permit.grant)
	if p == nil {
		r.done <- nil
		return
	}
	hedge := newRacer(r.ctx, *p)
	r.mu.Lock()
	r.hedge = hedge
	lost := r.won
	r.mu.Unlock()
	if lost {
		hedge.cancel()
	}
	r.d.metrics.Retries.Add("hedge", 1)
	a := hedge.run(r.d, r.call)
	won := a.succeeded() && r.win()
	r.done <- a
	if won {
		close(r.hedgeWon)
	}
}

// win reports whether the calling attempt is the first with a successful response.
func (r *hedgeRace) win() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.won {
		return false
	}
	r.won = true
	return true
}

// resolve returns the attempt to continue with, once the first one has failed or has received
// its response header.
func (r *hedgeRace) resolve(h *history, first *attempt) *attempt {
	if first.succeeded() && r.win() {
		r.discardHedge(h)
		return first
	}
	hedge := <-r.done
	if hedge == nil {
		return first
	}
	h.add(hedge)
	if hedge.hasResponse() || !first.hasResponse() {
		first.abandon()
		return hedge
	}
	hedge.abandon()
	return first
}

// discardHedge cancels the hedge and discards its response when it arrives. The hedge may have
// run, which is safe because the call is idempotent.
func (r *hedgeRace) discardHedge(h *history) {
	h.mayHaveRun = true
	r.mu.Lock()
	hedge := r.hedge
	r.mu.Unlock()
	if hedge != nil {
		hedge.lose(r.done)
		return
	}
	go func() { // the hedge is being prepared, and is canceled when it is sent
		if a := <-r.done; a != nil {
			a.abandon()
		}
	}()
}

// discardFirst returns the hedge, which has won, and cancels the first attempt, which may have
// run.
func (r *hedgeRace) discardFirst(h *history) *attempt {
	h.addUnfinished(r.first)
	hedge := <-r.done
	h.add(hedge)
	r.first.lose(r.first.done)
	return hedge
}
