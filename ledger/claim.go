package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/cactusproxy/cactusproxy/ledger/keys"
	"github.com/cactusproxy/cactusproxy/outcome"
)

// claimStore is where the claims of a kind of key are kept.
type claimStore interface {
	// take tries to make c the holder of its key. If it does not, and c may yet
	// become the holder, the store gives it up by itself.
	take(ctx context.Context, c *Claim) verdict
	// settle writes down what became of c, as c.record has it, however long it
	// takes, and then has the ledger forget c. It waits until ctx ends.
	settle(ctx context.Context, c *Claim)
}

// phase is what the holder of a claim is doing.
type phase uint8

const (
	phaseTaking phase = iota
	phaseHeld
	phaseSending
	phaseSettled
)

// Claim is the right to send one call. Its holder ends it with exactly one of
// GiveUp, Finish and Undecided. It is safe for concurrent use.
type Claim struct {
	l      *Ledger
	key    Key
	id     claimID
	row    string
	issued keys.ID
	store  claimStore
	// made is the wall clock when the call began: a monotonic clock stands still
	// while its machine is suspended, the table's sweep does not.
	made    time.Time
	maxHold time.Duration
	// retention is how long the key is remembered after it ran.
	retention time.Duration

	mu    sync.Mutex
	phase phase
	// owned is set once the store has confirmed that the key is this claim's.
	owned  bool
	state  state
	stamp  time.Time
	answer *Response
	// version is the version of the claim's row in the table.
	version uint64
}

// record returns the claim as its store keeps it.
func (c *Claim) record() record {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := record{
		State:       c.state,
		Claim:       c.id,
		Digest:      c.key.Digest,
		DigestKnown: c.key.DigestKnown,
		Stamp:       c.stamp.UnixNano(),
	}
	if c.issued.Issuer == "" {
		r.Caller = callerDigest(c.key.Caller)
	}
	if c.answer != nil {
		r.Kept = true
		r.Status = c.answer.Status
		r.Header = c.answer.Header
		r.Body = c.answer.Body
	}
	return r
}

func (c *Claim) own(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owned = true
	c.phase = p
}

func (c *Claim) isOwned() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owned
}

// BeginAttempt is called right before the first byte may leave, and records that it
// may have. If it returns false nothing may be sent: an attempt is under way or
// has run, the claim has ended, or it is so old that its row may be gone.
func (c *Claim) BeginAttempt() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseHeld || c.tooOld() {
		return false
	}
	c.l.runs.start(c.row, c.id, c.retention)
	c.phase = phaseSending
	return true
}

func (c *Claim) tooOld() bool { return time.Now().Round(0).Sub(c.made) > c.maxHold }

// AttemptRefused says that the target refused the attempt before it ran it, so that
// another may be made under the same claim.
func (c *Claim) AttemptRefused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseSending {
		return
	}
	c.l.runs.refused(c.row, c.id)
	c.phase = phaseHeld
}

// GiveUp ends a claim under which nothing ran, and frees the key for later
// sends. It waits a little for the mark to be written, at most until ctx ends.
//
// The result is not-run: the key was this claim's alone, so no other send ran
// it, and none will until the mark is there, which shuts out every send that
// has arrived so far. It is unknown if an attempt may have run, or if this
// host was held up for so long that a later send may have taken the key.
func (c *Claim) GiveUp(ctx context.Context) outcome.Result {
	if !c.end(phaseHeld, stateGivenUp, nil) {
		c.MarkUndecided()
		return c.l.told(outcome.Uncertain(outcome.ReasonKeyUndecided))
	}
	ctx, cancel := context.WithTimeout(ctx, c.l.opts.tellWithin()/2)
	defer cancel()
	if c.tooOld() {
		c.close()
		return c.l.told(outcome.Uncertain(outcome.ReasonClaimUnknown))
	}
	c.store.settle(ctx, c)
	if time.Now().Round(0).Sub(c.marked()) >= c.l.opts.tellWithin() {
		return c.l.told(outcome.Uncertain(outcome.ReasonKeyGivenUp))
	}
	return c.l.told(outcome.Refuse(outcome.ReasonKeyGivenUp))
}

func (c *Claim) marked() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stamp
}

// Finish ends a claim with the target's whole answer, which later sends of the
// same request get. It does not wait for the table; an answer that is too large,
// or for which there is no memory meanwhile, is not kept. The answer must not be
// changed afterwards.
func (c *Claim) Finish(_ context.Context, a *Response) {
	kept := c.l.reserve(a)
	if !c.end(phaseSending, stateDone, kept) {
		c.l.release(kept)
		return
	}
	if kept == nil {
		c.l.counts.Add("answers_not_kept", 1)
	}
	c.settleLater()
}

// MarkUndecided ends a claim under which the request may have run. It stays, and
// later sends are told unknown. A claim under which nothing was sent may be ended
// so too; only its key is lost.
func (c *Claim) MarkUndecided() {
	if c.end(phaseSending, stateUndecided, nil) || c.end(phaseHeld, stateUndecided, nil) {
		c.settleLater()
	}
}

// settleLater has the store write the claim down without waiting for it.
func (c *Claim) settleLater() {
	if c.tooOld() {
		c.close()
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.store.settle(ctx, c)
}

// close ends the host's interest in a claim: what became of it is written down
// or can not be any more.
func (c *Claim) close() {
	c.l.forget(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.l.release(c.answer)
	c.answer = nil
}

func (c *Claim) end(from phase, to state, a *Response) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != from {
		return false
	}
	c.phase = phaseSettled
	c.state = to
	c.stamp = time.Now().Round(0)
	c.answer = a
	return true
}
