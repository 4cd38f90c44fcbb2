package dispatch

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"net/http"

	"github.com/cactusproxy/cactusproxy/ledger"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
)

// Ledger decides which host executes the call of an idempotency key. It is implemented by
// ledger.Ledger.
type Ledger interface {
	Begin(ctx context.Context, k ledger.Key) (*ledger.Claim, *ledger.Response, outcome.Result)
}

// doKeyed executes an at-most-once call under the claim of its idempotency key.
func (d *Dispatcher) doKeyed(ctx context.Context, c *Call) *Reply {
	claim, stored, res := d.ledger.Begin(ctx, ledgerKey(c))
	if stored != nil {
		return memoryReply(stored.Status, stored.Header, stored.Body, outcome.ReasonStored)
	}
	if claim == nil {
		return &Reply{Result: res, Status: res.Status()}
	}
	h := &history{atMostOnce: true, claim: claim}
	r := d.run(ctx, c, h)
	switch {
	case r.Body != nil:
		storeResponse(claim, r)
		return r
	case r.Result.Outcome == outcome.NotRun:
		return giveUp(ctx, claim, r)
	default:
		claim.MarkUndecided()
		return r
	}
}

// giveUp ends a claim under which no request was sent. The ledger's result replaces the reply if
// it is weaker than not-run, which has to hold for the key on all hosts.
func giveUp(ctx context.Context, claim *ledger.Claim, r *Reply) *Reply {
	res := claim.GiveUp(ctx)
	if res.Outcome == outcome.NotRun {
		return r
	}
	return &Reply{Result: res, Status: res.Status()}
}

// ledgerKey returns the ledger key of a call, with a digest of the request.
func ledgerKey(c *Call) ledger.Key {
	k := ledger.Key{
		Workspace: c.Key.Workspace,
		Service:   c.Key.Service,
		Caller:    c.Caller,
		Value:     c.IdempotencyKey,
		Arrived:   c.Arrived,
	}
	body, ok := c.Body.Bytes()
	if !ok {
		return k
	}
	k.DigestKnown = true
	hash := sha256.New()
	for _, part := range []string{c.Method, c.URL.RequestURI()} {
		_, _ = io.WriteString(hash, part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(body)
	copy(k.Digest[:], hash.Sum(nil))
	return k
}

// maxStoredResponse is the largest response, in bytes, that is copied for the ledger. The ledger
// has a smaller limit of its own.
const maxStoredResponse = 64 << 10

// storeResponse stores the response in the ledger once the caller has read all of it. A truncated
// response leaves the claim undecided, because the call may have run.
func storeResponse(claim *ledger.Claim, r *Reply) {
	cp := &responseCopy{ReadCloser: r.Body}
	status, header := r.Status, r.Header.Clone()
	r.Body = NewReplyBody(cp, func(class pick.Class) {
		if class != pick.OK {
			claim.MarkUndecided()
			return
		}
		claim.Finish(context.Background(), cp.response(status, header))
	})
}

// responseCopy copies what is read through it, up to maxStoredResponse bytes.
type responseCopy struct {
	io.ReadCloser
	buf      bytes.Buffer
	overflow bool
}

func (a *responseCopy) Read(p []byte) (int, error) {
	n, err := a.ReadCloser.Read(p)
	if a.buf.Len()+n > maxStoredResponse {
		a.overflow = true
		a.buf = bytes.Buffer{}
	}
	if !a.overflow {
		a.buf.Write(p[:n])
	}
	return n, err
}

// response returns the copy, or nil if the response was too large: the ledger then records that
// the call ran, without its response.
func (a *responseCopy) response(status int, h http.Header) *ledger.Response {
	if a.overflow {
		return nil
	}
	return &ledger.Response{Status: status, Header: h, Body: a.buf.Bytes()}
}
