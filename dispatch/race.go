package dispatch

import (
	"context"
	"sync"

	"github.com/cactusproxy/cactusproxy/pick"
)

// hedgeRace is a call whose first answer is late. The attempt that has a good
// answer first wins, and the other one is canceled: exactly one wins, so that
// the winner's answer is never cut off by the loser's success.
type hedgeRace struct {
	d           *Dispatcher
	ctx         context.Context
	call        *Call
	first       pick.Grant
	cancelFirst context.CancelFunc
	// done gets the second attempt, or nil if there was none.
	done chan *attempt

	mu           sync.Mutex
	won          bool
	cancelSecond context.CancelFunc
}

// second makes the second attempt.
func (r *hedgeRace) second() {
	s := r.d.hedgeSend(r.ctx, r.call, r.first)
	if s == nil {
		r.done <- nil
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	r.mu.Lock()
	r.cancelSecond = cancel
	late := r.won
	r.mu.Unlock()
	if late {
		cancel()
	}
	r.d.metrics.Retries.Add("hedge", 1)
	a := r.d.attempt(ctx, r.call, *s)
	a.addCancel(cancel)
	if a.good() && r.win() {
		r.cancelFirst()
	}
	r.done <- a
}

// win reports whether the caller's attempt is the first with a good answer.
func (r *hedgeRace) win() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.won {
		return false
	}
	r.won = true
	return true
}

// settle returns the attempt to go on with, once the first one has ended or has
// the head of its answer.
func (r *hedgeRace) settle(h *history, first *attempt) *attempt {
	if first.good() && r.win() {
		r.dropSecond(h)
		return first
	}
	second := <-r.done
	if second == nil {
		return first
	}
	h.add(second)
	if second.answered() || !first.answered() {
		first.throwAway()
		return second
	}
	second.throwAway()
	return first
}

// dropSecond cancels the second attempt and throws its answer away where it
// arrives. It may have run: the call is idempotent.
func (r *hedgeRace) dropSecond(h *history) {
	h.mayHaveRun = true
	r.mu.Lock()
	cancel := r.cancelSecond
	r.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	go func() {
		if a := <-r.done; a != nil {
			a.throwAway()
		}
	}()
}
