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

// Timeouts and backoff of calls to an issuer.
const (
	// issuerCallTimeout limits one call, after which it is retried.
	issuerCallTimeout = 250 * time.Millisecond
	// settleTimeout limits the time spent on reporting the end of a claim to its
	// issuer.
	settleTimeout    = time.Minute
	minIssuerBackoff = 10 * time.Millisecond
	maxIssuerBackoff = time.Second
)

// remoteStore redeems keys that were issued by other hosts.
type remoteStore struct {
	l    *Ledger
	link peer.Link
	// baseCtx ends when run stops; mu prevents a message from being started after
	// that.
	baseCtx context.Context
	cancel  context.CancelFunc
	mu      sync.Mutex
	wg      sync.WaitGroup
}

func newRemoteStore(l *Ledger, link peer.Link) *remoteStore {
	base, stop := context.WithCancel(context.Background())
	return &remoteStore{l: l, link: link, baseCtx: base, cancel: stop}
}

// run cancels the messages to issuers when ctx ends, and waits for them.
func (b *remoteStore) run(ctx context.Context) error {
	<-ctx.Done()
	b.mu.Lock()
	b.cancel()
	b.mu.Unlock()
	b.wg.Wait()
	return nil
}

// take asks the issuer for the claim, and retries until it gets a reply or the time
// is up.
//
// If a reply may have been lost, the issuer may have granted the key to this claim.
// Nothing was or will be sent under the claim, but an earlier request may have run,
// which only the issuer knows. So the result is unknown, and the claim is reported
// as given up to the issuer as soon as it can be reached.
func (b *remoteStore) take(ctx context.Context, c *Claim) verdict {
	ctx, cancel := context.WithTimeout(ctx, b.l.opts.IssuerTimeout)
	defer cancel()
	req := newRedeemRequest(c)
	maybeReceived := false
	backoff := minIssuerBackoff
	for {
		reply, err := callIssuer[redeemReply](ctx, b, c, kindRedeem, req)
		if err == nil {
			return b.handleReply(reply, c)
		}
		maybeReceived = maybeReceived || !errors.Is(err, peer.ErrNotSent)
		if !ctxtime.Sleep(ctx, backoff) {
			return b.handleNoReply(c, maybeReceived)
		}
		backoff = min(2*backoff, maxIssuerBackoff)
	}
}

func (b *remoteStore) handleReply(reply redeemReply, c *Claim) verdict {
	b.l.counts.Add("redeemed_at_peer", 1)
	v := b.l.judgeReply(reply, c)
	if !v.take {
		b.l.removeActive(c)
	}
	return v
}

func (b *remoteStore) handleNoReply(c *Claim, maybeReceived bool) verdict {
	if !maybeReceived {
		b.l.removeActive(c)
		return resultVerdict(outcome.Uncertain(outcome.ReasonIssuerGone))
	}
	b.l.counts.Add("redeem_replies_lost", 1)
	c.end(phaseClaiming, stateGivenUp, nil)
	c.settleLater()
	return resultVerdict(outcome.Uncertain(outcome.ReasonClaimUnknown))
}

func callIssuer[Resp, Req any](
	ctx context.Context, b *remoteStore, c *Claim, kind peer.Kind, req Req,
) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, issuerCallTimeout)
	defer cancel()
	return peer.Call[Resp](ctx, b.link, c.issued.Issuer, kind, req)
}

// settle reports the end of a claim to the issuer, and waits for the confirmation
// until ctx ends.
func (b *remoteStore) settle(ctx context.Context, c *Claim) {
	done := make(chan struct{})
	if !b.goUntilStopped(func() {
		defer close(done)
		b.notifyIssuer(c)
	}) {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (b *remoteStore) goUntilStopped(f func()) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.baseCtx.Err() != nil {
		return false
	}
	b.wg.Go(f)
	return true
}

func (b *remoteStore) notifyIssuer(c *Claim) {
	ctx, cancel := context.WithTimeout(b.baseCtx, settleTimeout)
	defer cancel()
	defer c.close()
	req := settleRequest{ID: newIssuedID(c.issued), Record: c.record()}
	for backoff := minIssuerBackoff; ; backoff = min(2*backoff, maxIssuerBackoff) {
		_, err := callIssuer[settleReply](ctx, b, c, kindSettle, req)
		if err == nil {
			return
		}
		if !ctxtime.Sleep(ctx, backoff) {
			b.l.counts.Add("settles_lost", 1)
			b.l.log.Warn("failed to report the end of a claim to its issuer",
				zap.String("claim", c.id.String()), zap.String("issuer", string(c.issued.Issuer)))
			return
		}
	}
}
