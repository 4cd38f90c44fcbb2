package ledger

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cactusproxy/cactusproxy/ledger/keys"
	"github.com/cactusproxy/cactusproxy/outcome"
)

// issuer keeps the claims of the keys that this incarnation of the host issued.
// A key costs nothing until it is redeemed. The memory is the only authority
// over these keys, so they die with it: were a later incarnation to redeem
// them, a key that had run would run again.
type issuer struct {
	l      *Ledger
	start  time.Time
	serial atomic.Uint64

	mu sync.Mutex
	// spent holds the redeemed keys by the minute they were made, so that they
	// can be dropped together.
	spent   map[int64]map[uint64]*spentKey
	answers answerQueue
}

// spentKey is what is known of a redeemed key.
type spentKey struct {
	claim       claimID
	digest      Digest
	digestKnown bool
	state       state
	stamp       int64
	answer      *Response
}

func newIssuer(l *Ledger) *issuer {
	return &issuer{
		l:       l,
		start:   time.Now(),
		spent:   make(map[int64]map[uint64]*spentKey),
		answers: answerQueue{limit: l.opts.AnswerMemory},
	}
}

// now is a clock that never goes back: a key that was dropped as expired must
// not come into its window again when the machine's clock is set back.
func (b *issuer) now() time.Time { return b.start.Add(time.Since(b.start)) }

func (b *issuer) issue(bind keys.Binding) string {
	b.l.counts.Add("keys_issued", 1)
	return b.l.sealer.Seal(bind, keys.ID{
		Issuer:      b.l.host,
		Incarnation: b.l.incarnation,
		Serial:      b.serial.Add(1),
		Time:        b.now(),
	})
}

// take redeems a key of this host.
func (b *issuer) take(_ context.Context, c *Claim) verdict {
	reply := b.redeem(newRedeemRequest(c))
	b.l.counts.Add("redeemed_here", 1)
	v := b.l.judgeReply(reply, c)
	if !v.take {
		b.l.forget(c)
	}
	return v
}

// settle writes down what became of a claim of this host.
func (b *issuer) settle(_ context.Context, c *Claim) {
	b.record(settleRequest{ID: newIssuedID(c.issued), Record: c.record()})
	c.close()
}

// redeem gives the key to the first claim that asks. Asking again for the same
// claim gives the same reply, so a lost reply can be asked for.
func (b *issuer) redeem(req redeemRequest) redeemReply {
	if req.ID.Incarnation != b.l.incarnation {
		return redeemReply{Status: redeemGone}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.expired(req.ID) {
		return redeemReply{Status: redeemExpired}
	}
	minute := b.minute(req.ID)
	sk := minute[req.ID.Serial]
	if sk == nil {
		minute[req.ID.Serial] = newSpentKey(req)
		return redeemReply{Status: redeemHeld}
	}
	if sk.claim == req.Claim && sk.state == stateClaimed {
		return redeemReply{Status: redeemHeld}
	}
	r := sk.record()
	if b.l.judge(r, req.key(), time.Now()).take {
		minute[req.ID.Serial] = newSpentKey(req)
		return redeemReply{Status: redeemHeld}
	}
	return redeemReply{Status: redeemTold, Record: r}
}

// record writes down what became of a claim. A claim that was given up before
// the issuer was asked for it is written down too: its request may be on the
// way still and must find the key given up.
func (b *issuer) record(req settleRequest) settleReply {
	if req.ID.Incarnation != b.l.incarnation {
		return settleReply{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.expired(req.ID) {
		return settleReply{}
	}
	minute := b.minute(req.ID)
	sk := minute[req.ID.Serial]
	if sk == nil {
		sk = &spentKey{claim: req.Record.Claim, state: stateClaimed}
		minute[req.ID.Serial] = sk
	}
	if sk.claim == req.Record.Claim && sk.state == stateClaimed {
		sk.end(req.Record)
		b.answers.add(sk)
	}
	return settleReply{}
}

func (b *issuer) expired(id issuedID) bool {
	return b.now().UnixMilli()-id.Time > b.l.opts.IssuedWindow.Milliseconds()
}

const minuteMilli = int64(time.Minute / time.Millisecond)

func (b *issuer) minute(id issuedID) map[uint64]*spentKey {
	n := id.Time / minuteMilli
	m := b.spent[n]
	if m == nil {
		m = make(map[uint64]*spentKey)
		b.spent[n] = m
	}
	return m
}

// expire drops the keys past their window until ctx ends.
func (b *issuer) expire(ctx context.Context) error {
	tick := time.NewTicker(time.Minute)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			b.drop()
		case <-ctx.Done():
			return nil
		}
	}
}

// drop forgets whole minutes in which every key is expired.
func (b *issuer) drop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	oldest := b.now().UnixMilli() - b.l.opts.IssuedWindow.Milliseconds()
	for n, m := range b.spent {
		if (n+1)*minuteMilli >= oldest {
			continue
		}
		for _, sk := range m {
			b.answers.remove(sk)
		}
		delete(b.spent, n)
	}
	b.answers.trim()
}

func newSpentKey(req redeemRequest) *spentKey {
	return &spentKey{
		claim:       req.Claim,
		digest:      req.Digest,
		digestKnown: req.DigestKnown,
		state:       stateClaimed,
		stamp:       time.Now().UnixNano(),
	}
}

func (k *spentKey) end(r record) {
	k.state = r.State
	k.stamp = r.Stamp
	k.digest = r.Digest
	k.digestKnown = r.DigestKnown
	if r.Kept {
		k.answer = r.answer()
	}
}

func (k *spentKey) record() record {
	r := record{
		State:       k.state,
		Claim:       k.claim,
		Digest:      k.digest,
		DigestKnown: k.digestKnown,
		Stamp:       k.stamp,
	}
	if k.answer != nil {
		r.Kept = true
		r.Status = k.answer.Status
		r.Header = k.answer.Header
		r.Body = k.answer.Body
	}
	return r
}

// judgeReply says what an issuer's reply means for a send.
func (l *Ledger) judgeReply(reply redeemReply, c *Claim) verdict {
	switch reply.Status {
	case redeemHeld:
		return verdict{take: true}
	case redeemGone:
		return tell(outcome.Uncertain(outcome.ReasonIssuerGone))
	case redeemExpired:
		return tell(outcome.Uncertain(outcome.ReasonKeyExpired))
	}
	v := l.judge(reply.Record, c.key, time.Now())
	if v.take {
		// Only the issuer gives a key away, and it did not.
		return tell(outcome.Uncertain(outcome.ReasonKeyGivenUp))
	}
	return v
}
