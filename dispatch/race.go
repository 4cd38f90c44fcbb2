package dispatch

import (
	"context"
	"sync"

	"github.com/cactusproxy/cactusproxy/pick"
)

// hedgeRace is the race between an attempt and its hedge. The first one with a successful response
// wins and the other is canceled. Exactly one wins, so that the success of one never cuts off the
// response of the other.
type hedgeRace struct {
	d           *Dispatcher
	ctx         context.Context
	call        *Call
	first       pick.Grant
	cancelFirst context.CancelFunc
	// done receives the hedge, or nil if none was sent.
	done chan *attempt

	mu          sync.Mutex
	won         bool
	cancelHedge context.CancelFunc
}

// sendHedge sends the hedge.
func (r *hedgeRace) sendHedge() {
	p := r.d.prepareHedge(r.ctx, r.call, r.first)
	if p == nil {
		r.done <- nil
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	r.mu.Lock()
	r.cancelHedge = cancel
	lost := r.won
	r.mu.Unlock()
	if lost {
		cancel()
	}
	r.d.metrics.Retries.Add("hedge", 1)
	a := r.d.attempt(ctx, r.call, *p)
	a.addCancel(cancel)
	if a.succeeded() && r.win() {
		r.cancelFirst()
	}
	r.done <- a
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
	cancel := r.cancelHedge
	r.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	go func() {
		if a := <-r.done; a != nil {
			a.abandon()
		}
	}()
}
