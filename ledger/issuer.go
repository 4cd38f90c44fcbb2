package ledger

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cactusproxy/cactusproxy/ledger/keys"
	"github.com/cactusproxy/cactusproxy/outcome"
)

// issuer manages the claims of the keys issued by this incarnation of the host. A
// key uses no memory until it is redeemed. This memory is the only authority over
// the keys, so they become invalid with it: if a later incarnation redeemed them, a
// key that had already run would run again.
type issuer struct {
	l      *Ledger
	start  time.Time
	serial atomic.Uint64

	mu sync.Mutex
	// redeemed holds the redeemed keys by the minute of their creation, so that
	// they can be dropped together, and then by serial.
	redeemed  map[int64]map[uint64]*redeemedKey
	responses responseQueue
}

// redeemedKey is the state of a redeemed key.
type redeemedKey struct {
	claim       claimID
	digest      Digest
	digestKnown bool
	state       state
	stamp       int64
	response    *Response
}

func newIssuer(l *Ledger) *issuer {
	return &issuer{
		l:         l,
		start:     time.Now(),
		redeemed:  make(map[int64]map[uint64]*redeemedKey),
		responses: responseQueue{limit: l.opts.ResponseMemory},
	}
}

// now returns a time that never goes backwards: a key that was dropped as expired
// must not become valid again when the machine's clock is set back.
func (b *issuer) now() time.Time { return b.start.Add(time.Since(b.start)) }

func (b *issuer) issue(bind keys.Binding) string {
	b.l.counts.Add("keys_issued", 1)
	return b.l.signer.Sign(bind, keys.ID{
		Issuer:      b.l.host,
		Incarnation: b.l.incarnation,
		Serial:      b.serial.Add(1),
		Time:        b.now(),
	})
}

// take redeems a key issued by this host.
func (b *issuer) take(_ context.Context, c *Claim) verdict {
	reply := b.redeem(newRedeemRequest(c))
	b.l.counts.Add("redeemed_here", 1)
	v := b.l.judgeReply(reply, c)
	if !v.take {
		b.l.removeActive(c)
	}
	return v
}

// settle records the end of a claim of this host.
func (b *issuer) settle(_ context.Context, c *Claim) {
	b.recordEnd(settleRequest{ID: newIssuedID(c.issued), Record: c.record()})
	c.close()
}

// redeem grants the key to the first claim that asks for it. It is idempotent per
// claim, so that a host may retry after a lost reply.
func (b *issuer) redeem(req redeemRequest) redeemReply {
	if req.ID.Incarnation != b.l.incarnation {
		return redeemReply{Status: redeemIssuerRestarted}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.expired(req.ID) {
		return redeemReply{Status: redeemExpired}
	}
	minute := b.minuteKeys(req.ID)
	rk := minute[req.ID.Serial]
	if rk == nil {
		minute[req.ID.Serial] = newRedeemedKey(req)
		return redeemReply{Status: redeemGranted}
	}
	if rk.claim == req.Claim && rk.state == stateClaimed {
		return redeemReply{Status: redeemGranted}
	}
	r := rk.record()
	if b.l.judge(r, req.key(), time.Now()).take {
		minute[req.ID.Serial] = newRedeemedKey(req)
		return redeemReply{Status: redeemGranted}
	}
	return redeemReply{Status: redeemTaken, Record: r}
}

// recordEnd records the end of a claim. This includes a claim that was given up
// before its redeem request arrived: the request may still be in transit and must
// find the key given up.
func (b *issuer) recordEnd(req settleRequest) settleReply {
	if req.ID.Incarnation != b.l.incarnation {
		return settleReply{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.expired(req.ID) {
		return settleReply{}
	}
	minute := b.minuteKeys(req.ID)
	rk := minute[req.ID.Serial]
	if rk == nil {
		rk = &redeemedKey{claim: req.Record.Claim, state: stateClaimed}
		minute[req.ID.Serial] = rk
	}
	if rk.claim == req.Record.Claim && rk.state == stateClaimed {
		rk.end(req.Record)
		b.responses.add(rk)
	}
	return settleReply{}
}

func (b *issuer) expired(id issuedID) bool {
	return b.now().UnixMilli()-id.Time > b.l.opts.IssuedWindow.Milliseconds()
}

const millisPerMinute = int64(time.Minute / time.Millisecond)

func (b *issuer) minuteKeys(id issuedID) map[uint64]*redeemedKey {
	n := id.Time / millisPerMinute
	m := b.redeemed[n]
	if m == nil {
		m = make(map[uint64]*redeemedKey)
		b.redeemed[n] = m
	}
	return m
}

// expire drops expired keys until ctx ends.
func (b *issuer) expire(ctx context.Context) error {
	tick := time.NewTicker(time.Minute)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			b.dropExpired()
		case <-ctx.Done():
			return nil
		}
	}
}

// dropExpired drops each minute whose keys have all expired.
func (b *issuer) dropExpired() {
	b.mu.Lock()
	defer b.mu.Unlock()
	oldest := b.now().UnixMilli() - b.l.opts.IssuedWindow.Milliseconds()
	for n, m := range b.redeemed {
		if (n+1)*millisPerMinute >= oldest {
			continue
		}
		for _, rk := range m {
			b.responses.remove(rk)
		}
		delete(b.redeemed, n)
	}
	b.responses.trim()
}

func newRedeemedKey(req redeemRequest) *redeemedKey {
	return &redeemedKey{
		claim:       req.Claim,
		digest:      req.Digest,
		digestKnown: req.DigestKnown,
		state:       stateClaimed,
		stamp:       time.Now().UnixNano(),
	}
}

func (k *redeemedKey) end(r record) {
	k.state = r.State
	k.stamp = r.Stamp
	k.digest = r.Digest
	k.digestKnown = r.DigestKnown
	if r.Kept {
		k.response = r.response()
	}
}

func (k *redeemedKey) record() record {
	r := record{
		State:       k.state,
		Claim:       k.claim,
		Digest:      k.digest,
		DigestKnown: k.digestKnown,
		Stamp:       k.stamp,
	}
	if k.response != nil {
		r.Kept = true
		r.Status = k.response.Status
		r.Header = k.response.Header
		r.Body = k.response.Body
	}
	return r
}

// judgeReply decides on a request by the issuer's reply.
func (l *Ledger) judgeReply(reply redeemReply, c *Claim) verdict {
	switch reply.Status {
	case redeemGranted:
		return verdict{take: true}
	case redeemIssuerRestarted:
		return resultVerdict(outcome.Uncertain(outcome.ReasonIssuerGone))
	case redeemExpired:
		return resultVerdict(outcome.Uncertain(outcome.ReasonKeyExpired))
	}
	v := l.judge(reply.Record, c.key, time.Now())
	if v.take {
		// Only the issuer can grant the key, and it did not.
		return resultVerdict(outcome.Uncertain(outcome.ReasonKeyGivenUp))
	}
	return v
}
