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

// Ledger decides which host sends the call of an idempotency key;
// ledger.Ledger is one.
type Ledger interface {
	Begin(ctx context.Context, k ledger.Key) (*ledger.Claim, *ledger.Response, outcome.Result)
}

// doKeyed carries out an at-most-once call under the claim of its key.
func (d *Dispatcher) doKeyed(ctx context.Context, c *Call) *Reply {
	claim, stored, res := d.ledger.Begin(ctx, ledgerKey(c))
	if stored != nil {
		return memoryReply(stored.Status, stored.Header, stored.Body, outcome.ReasonStored)
	}
	if claim == nil {
		return &Reply{Result: res, Status: res.Status()}
	}
	h := &history{once: true, claim: claim}
	r := d.run(ctx, c, h)
	switch {
	case r.Body != nil:
		keepAnswer(claim, r)
		return r
	case r.Result.Outcome == outcome.NotRun:
		return giveUp(ctx, claim, r)
	default:
		claim.MarkUndecided()
		return r
	}
}

// giveUp ends a claim under which nothing was sent. What the caller is told is
// the ledger's word if that is the weaker one: not-run speaks of the key over
// all hosts.
func giveUp(ctx context.Context, claim *ledger.Claim, r *Reply) *Reply {
	res := claim.GiveUp(ctx)
	if res.Outcome == outcome.NotRun {
		return r
	}
	return &Reply{Result: res, Status: res.Status()}
}

// ledgerKey returns the key of a call with the digest of what it asks for.
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
	sum := sha256.New()
	for _, part := range []string{c.Method, c.URL.RequestURI()} {
		_, _ = io.WriteString(sum, part)
		_, _ = sum.Write([]byte{0})
	}
	_, _ = sum.Write(body)
	copy(k.Digest[:], sum.Sum(nil))
	return k
}

// maxStoredAnswer bounds the copy of an answer that is made for the ledger, in
// bytes. The ledger has a smaller limit of its own.
const maxStoredAnswer = 64 << 10

// keepAnswer has the ledger keep the answer once the caller has read it whole.
// One that breaks off leaves the claim undecided: the call may have run.
func keepAnswer(claim *ledger.Claim, r *Reply) {
	kept := &answerCopy{ReadCloser: r.Body}
	status, header := r.Status, r.Header.Clone()
	r.Body = NewReplyBody(kept, func(class pick.Class) {
		if class != pick.OK {
			claim.MarkUndecided()
			return
		}
		claim.Finish(context.Background(), kept.answer(status, header))
	})
}

// answerCopy copies what is read from it, up to maxStoredAnswer.
type answerCopy struct {
	io.ReadCloser
	buf      bytes.Buffer
	overflow bool
}

func (a *answerCopy) Read(p []byte) (int, error) {
	n, err := a.ReadCloser.Read(p)
	if a.buf.Len()+n > maxStoredAnswer {
		a.overflow = true
		a.buf = bytes.Buffer{}
	}
	if !a.overflow {
		a.buf.Write(p[:n])
	}
	return n, err
}

// answer returns the copy, or nil if the answer was too large: the ledger then
// notes that the call ran, without its answer.
func (a *answerCopy) answer(status int, h http.Header) *ledger.Response {
	if a.overflow {
		return nil
	}
	return &ledger.Response{Status: status, Header: h, Body: a.buf.Bytes()}
}
