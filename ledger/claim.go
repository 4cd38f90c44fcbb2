package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/cactusproxy/cactusproxy/ledger/keys"
	"github.com/cactusproxy/cactusproxy/outcome"
)

// claimStore stores the claims of one kind of key.
type claimStore interface {
	// take tries to make c the holder of its key. If it fails although c may still
	// become the holder later, the store gives c up on its own.
	take(ctx context.Context, c *Claim) verdict
	// settle persists the end of c as returned by c.record, however long it takes,
	// and then removes c from the active claims. It waits for that only until ctx
	// ends.
	settle(ctx context.Context, c *Claim)
}

// phase is the progress of a claim on the host that made it.
type phase uint8

const (
	phaseClaiming phase = iota
	phaseHeld
	phaseSending
	phaseSettled
)

// Claim is the permission to send one call. Its holder must end it with exactly one
// of GiveUp, Finish and MarkUndecided. It is safe for concurrent use.
type Claim struct {
	l      *Ledger
	key    Key
	id     claimID
	row    string
	issued keys.ID
	store  claimStore
	// createdAt is the wall-clock time at which the claim was created. The
	// monotonic clock would stop while the machine is suspended, but the table's
	// sweep does not.
	createdAt time.Time
	maxHold   time.Duration
	// retention is how long the key is remembered after it ran.
	retention time.Duration

	mu    sync.Mutex
	phase phase
	// owned is set once the store has confirmed that this claim holds the key.
	owned    bool
	state    state
	stamp    time.Time
	response *Response
	// version is the version of the claim's row in the table.
	version uint64
}

// record returns the claim in its stored form.
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
	if c.response != nil {
		r.Kept = true
		r.Status = c.response.Status
		r.Header = c.response.Header
		r.Body = c.response.Body
	}
	return r
}

func (c *Claim) markOwned(p phase) {
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

// BeginAttempt must be called right before the first byte may leave, and records
// that it may have. If it returns false, nothing may be sent: an attempt is in
// progress or has run, the claim has ended, or the claim is so old that its row may
// have been deleted.
func (c *Claim) BeginAttempt() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseHeld || c.tooOld() {
		return false
	}
	c.l.runLog.start(c.row, c.id, c.retention)
	c.phase = phaseSending
	return true
}

func (c *Claim) tooOld() bool { return time.Now().Round(0).Sub(c.createdAt) > c.maxHold }

// AttemptRefused records that the target refused the attempt before running it, so
// that another attempt may be made under the same claim.
func (c *Claim) AttemptRefused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseSending {
		return
	}
	c.l.runLog.refused(c.row, c.id)
	c.phase = phaseHeld
}

// GiveUp ends a claim under which nothing ran, and releases the key for later
// requests. It waits briefly for this to be persisted, at most until ctx ends.
//
// The result is not-run: only this claim held the key, so no other request ran it,
// and none will before the given-up record is written, which excludes every request
// that has arrived so far. The result is unknown if an attempt may have run, or if
// this host was delayed for so long that a later request may have acquired the key.
func (c *Claim) GiveUp(ctx context.Context) outcome.Result {
	if !c.end(phaseHeld, stateGivenUp, nil) {
		c.MarkUndecided()
		return c.l.countResult(outcome.Uncertain(outcome.ReasonKeyUndecided))
	}
	ctx, cancel := context.WithTimeout(ctx, c.l.opts.notRunWindow()/2)
	defer cancel()
	if c.tooOld() {
		c.close()
		return c.l.countResult(outcome.Uncertain(outcome.ReasonClaimUnknown))
	}
	c.store.settle(ctx, c)
	if time.Now().Round(0).Sub(c.stamped()) >= c.l.opts.notRunWindow() {
		return c.l.countResult(outcome.Uncertain(outcome.ReasonKeyGivenUp))
	}
	return c.l.countResult(outcome.Refuse(outcome.ReasonKeyGivenUp))
}

func (c *Claim) stamped() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stamp
}

// Finish ends a claim with the target's complete response, which later requests
// with the same key and content receive. It does not wait for the response to be
// persisted. A response that is too large, or that exceeds the memory for pending
// responses, is not stored. The response must not be modified afterwards.
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

// MarkUndecided ends a claim under which the request may have run. The claim
// remains, and the result of later requests with the key is unknown. It may also be
// used if nothing was sent, at the cost of the key.
func (c *Claim) MarkUndecided() {
	if c.end(phaseSending, stateUndecided, nil) || c.end(phaseHeld, stateUndecided, nil) {
		c.settleLater()
	}
}

// settleLater has the store persist the end of the claim without waiting for it.
func (c *Claim) settleLater() {
	if c.tooOld() {
		c.close()
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.store.settle(ctx, c)
}

// close removes the claim from the host's memory, once its end is persisted or can
// not be persisted any more.
func (c *Claim) close() {
	c.l.removeActive(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.l.release(c.response)
	c.response = nil
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
	c.response = a
	return true
}
