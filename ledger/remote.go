package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/internal/ctxtime"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/peer"
)

// Times of the calls to an issuer.
const (
	// askTimeout bounds one call; then the issuer is asked again.
	askTimeout = 250 * time.Millisecond
	// settlePatience bounds the attempts to tell an issuer what became of a
	// claim.
	settlePatience = time.Minute
	firstAskPause  = 10 * time.Millisecond
	lastAskPause   = time.Second
)

// remoteStore redeems keys that other hosts issued.
type remoteStore struct {
	l    *Ledger
	link peer.Link
	// base ends with run; mu keeps a message from starting after that.
	base context.Context
	stop context.CancelFunc
	mu   sync.Mutex
	wg   sync.WaitGroup
}

func newRemoteStore(l *Ledger, link peer.Link) *remoteStore {
	base, stop := context.WithCancel(context.Background())
	return &remoteStore{l: l, link: link, base: base, stop: stop}
}

// run ends the messages to issuers when ctx ends.
func (b *remoteStore) run(ctx context.Context) error {
	<-ctx.Done()
	b.mu.Lock()
	b.stop()
	b.mu.Unlock()
	b.wg.Wait()
	return nil
}

// take asks the issuer for the claim, again and again until a reply comes.
//
// A lost reply may mean that the key is held for this claim. Nothing was sent
// under it and nothing will be, but an earlier send may have run, which only
// the issuer could tell: so the caller is told unknown, and the issuer, once it
// can be reached, that the claim is given up.
func (b *remoteStore) take(ctx context.Context, c *Claim) verdict {
	ctx, cancel := context.WithTimeout(ctx, b.l.opts.IssuerPatience)
	defer cancel()
	req := newRedeemRequest(c)
	asked := false
	pause := firstAskPause
	for {
		reply, err := ask[redeemReply](ctx, b, c, kindRedeem, req)
		if err == nil {
			return b.replied(reply, c)
		}
		asked = asked || !errors.Is(err, peer.ErrNotSent)
		if !ctxtime.Sleep(ctx, pause) {
			return b.noReply(c, asked)
		}
		pause = min(2*pause, lastAskPause)
	}
}

func (b *remoteStore) replied(reply redeemReply, c *Claim) verdict {
	b.l.counts.Add("redeemed_at_peer", 1)
	v := b.l.judgeReply(reply, c)
	if !v.take {
		b.l.forget(c)
	}
	return v
}

func (b *remoteStore) noReply(c *Claim, asked bool) verdict {
	if !asked {
		b.l.forget(c)
		return tell(outcome.Uncertain(outcome.ReasonIssuerGone))
	}
	b.l.counts.Add("redeem_replies_lost", 1)
	c.end(phaseTaking, stateGivenUp, nil)
	c.settleLater()
	return tell(outcome.Uncertain(outcome.ReasonClaimUnknown))
}

func ask[Resp, Req any](ctx context.Context, b *remoteStore, c *Claim, kind peer.Kind, req Req) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return peer.Call[Resp](ctx, b.link, c.issued.Issuer, kind, req)
}

// settle tells the issuer what became of a claim, and waits for its word until
// ctx ends.
func (b *remoteStore) settle(ctx context.Context, c *Claim) {
	done := make(chan struct{})
	if !b.start(func() {
		defer close(done)
		b.tellIssuer(c)
	}) {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (b *remoteStore) start(f func()) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.base.Err() != nil {
		return false
	}
	b.wg.Go(f)
	return true
}

func (b *remoteStore) tellIssuer(c *Claim) {
	ctx, cancel := context.WithTimeout(b.base, settlePatience)
	defer cancel()
	defer c.close()
	req := settleRequest{ID: newIssuedID(c.issued), Record: c.record()}
	for pause := firstAskPause; ; pause = min(2*pause, lastAskPause) {
		_, err := ask[settleReply](ctx, b, c, kindSettle, req)
		if err == nil {
			return
		}
		if !ctxtime.Sleep(ctx, pause) {
			b.l.counts.Add("settles_lost", 1)
			b.l.log.Warn("issuer not told of a claim's end",
				zap.String("claim", c.id.String()), zap.String("issuer", string(c.issued.Issuer)))
			return
		}
	}
}
