package config

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Result tells what became of an operator's request.
type Result string

const (
	// ResultApplied means that the change is committed. It is in force
	// everywhere once Status says so.
	ResultApplied Result = "applied"
	// ResultUnchanged means that the workspace already is as declared.
	ResultUnchanged Result = "unchanged"
	// ResultConflict means that the workspace is no longer at the version that
	// the request was based on; nothing was changed.
	ResultConflict Result = "conflict"
	// ResultInvalid means that the declaration was refused; nothing was changed.
	ResultInvalid Result = "invalid"
	// ResultUnavailable means that the platform gave no answer and that nothing
	// was changed, now or later.
	ResultUnavailable Result = "unavailable"
	// ResultUncertain means that the change may have been committed. The same
	// request with the same change ID finds out and never applies twice.
	ResultUncertain Result = "uncertain"
)

// Outcome is the answer to an operator's request.
type Outcome struct {
	Result Result `json:"result"`
	// Change is the committed change, if Result is applied.
	Change *Change `json:"change,omitempty"`
	// Conflicting is the change that was there first, if Result is conflict; nil if
	// the workspace does not exist.
	Conflicting *Change `json:"other,omitempty"`
	// Problems are set if Result is invalid.
	Problems declare.Problems `json:"problems,omitempty"`
	// Detail is the platform's error, if Result is unavailable or uncertain.
	Detail string `json:"detail,omitempty"`
}

// Request says who asks for a change, of what version, under which change ID.
type Request struct {
	// ID identifies the change over repeated requests, such as a ULID.
	ID       string
	Operator string
	// Base is the workspace version that the operator has seen; 0 is none yet.
	Base uint64
}

// maxRequestField bounds the change ID and the operator's name, in bytes.
const maxRequestField = 100

func (r Request) check() declare.Problems {
	var out declare.Problems
	if r.ID == "" || len(r.ID) > maxRequestField || strings.ContainsAny(r.ID, "/ \n") {
		out = append(out, declare.Problem{Line: 1, Field: "id", Message: "want a change ID of up to 100 bytes, without slashes and spaces"})
	}
	if r.Operator == "" || len(r.Operator) > maxRequestField {
		out = append(out, declare.Problem{Line: 1, Field: "who", Message: "want an operator's name of up to 100 bytes"})
	}
	return out
}

// Times between attempts to commit.
const (
	firstRetry = 20 * time.Millisecond
	lastRetry  = 500 * time.Millisecond
)

// proposal makes the change of a request from what the table holds.
type proposal interface {
	workspace() string
	// keys are further rows to read.
	keys() []string
	// build returns the content of the change. The error is declare.Problems
	// if the request is refused, or else the platform's.
	build(ctx context.Context, extra []ports.Row) (draft, error)
	// made reports whether a change is what this proposal asks for.
	made(ch Change) bool
}

// draft is the content of a change before it has a sequence number.
type draft struct {
	workspace  declare.Workspace
	source     string
	rollbackTo uint64
	ops        []ports.Op
}

// base is what the table holds before a commit.
type base struct {
	head      headRow
	headRow   ports.Row
	change    ports.Row
	workspace ports.Row
	present   Change
	extra     []ports.Row
}

// commit repeats a proposal until it is committed, refused or out of time.
//
// An answer that was lost leaves open whether the change took effect, or still
// may. The next attempt reads the row of the change ID: if it is there, the
// change did. If not, the change is committed again under the same ID; both
// attempts compare the same rows, so whichever comes first makes the other
// fail, and the attempt after that finds the row.
//
// The work goes on when the operator's connection breaks: a commit abandoned
// half way would be found by the other hosts' polls only.
func (c *Controller) commit(ctx context.Context, req Request, p proposal) Outcome {
	if problems := req.check(); problems != nil {
		return c.finish(req, Outcome{Result: ResultInvalid, Problems: problems})
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.Timings.Resolve)
	defer cancel()
	uncertain := false
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = firstRetry, lastRetry
	for {
		out, done, err := c.attempt(ctx, req, p)
		if done {
			return c.finish(req, out)
		}
		uncertain = uncertain || errors.Is(err, ports.ErrUncertain)
		if err != nil && !uncertain {
			return c.finish(req, Outcome{Result: ResultUnavailable, Detail: err.Error()})
		}
		select {
		case <-ctx.Done():
			return c.finish(req, unfinished(uncertain, ctx.Err()))
		case <-time.After(wait.NextBackOff()):
		}
	}
}

func unfinished(uncertain bool, err error) Outcome {
	if uncertain {
		return Outcome{Result: ResultUncertain, Detail: err.Error()}
	}
	return Outcome{Result: ResultUnavailable, Detail: err.Error()}
}

// finish counts and logs the end of a request, and pushes what it changed.
func (c *Controller) finish(req Request, out Outcome) Outcome {
	c.events.Add("request_"+string(out.Result), 1)
	fields := []zap.Field{zap.String("change", req.ID), zap.String("who", req.Operator), zap.String("result", string(out.Result))}
	if out.Change != nil {
		fields = append(fields, zap.String("workspace", out.Change.Workspace.Name), zap.Uint64("sequence", out.Change.Sequence))
	}
	c.Log.Info("config change", fields...)
	if out.Result != ResultApplied {
		return out
	}
	if c.applyChange(*out.Change, eventCommit) == appliedGap {
		c.wake()
	}
	c.push(*out.Change)
	c.requestSnapshot()
	return out
}

// attempt reads, compares and commits once. It is not done if the head row
// moved under it or the answer was lost.
func (c *Controller) attempt(ctx context.Context, req Request, p proposal) (out Outcome, done bool, err error) {
	before := c.Sequence()
	b, err := c.readBase(ctx, req, p)
	if err != nil {
		return Outcome{}, false, err
	}
	if c.isBehind(b.head, before) {
		return Outcome{}, false, errStoreBehind
	}
	if b.change.Version != 0 {
		return c.alreadyCommitted(ctx, b, p)
	}
	if b.workspace.Version != req.Base {
		return conflict(b), true, nil
	}
	d, err := p.build(ctx, b.extra)
	if problems := declare.Problems(nil); errors.As(err, &problems) {
		return Outcome{Result: ResultInvalid, Problems: problems}, true, nil
	}
	if err != nil {
		return Outcome{}, false, err
	}
	d.workspace.Version = req.Base
	if req.Base > 0 && len(declare.Diff(&b.present.Workspace, &d.workspace)) == 0 {
		return Outcome{Result: ResultUnchanged, Change: &b.present}, true, nil
	}
	problems, err := c.clashes(ctx, b.head.Sequence, d.workspace)
	if err != nil {
		return Outcome{}, false, err
	}
	if len(problems) > 0 {
		return Outcome{Result: ResultInvalid, Problems: problems}, true, nil
	}
	return c.commitDraft(ctx, req, b, d)
}

func (c *Controller) readBase(ctx context.Context, req Request, p proposal) (base, error) {
	keys := append([]string{keyHead, keyChange(req.ID), keyWorkspace(p.workspace())}, p.keys()...)
	rows, err := c.get(ctx, keys...)
	if err != nil {
		return base{}, err
	}
	b := base{headRow: rows[0], change: rows[1], workspace: rows[2], extra: rows[3:]}
	if b.head, err = decodeRow[headRow](b.headRow); err != nil {
		return base{}, err
	}
	b.present, err = decodeRow[Change](b.workspace)
	return b, err
}

// alreadyCommitted answers a repeated request with the change it made. An ID
// that was used for something else is refused: its change says nothing about
// this request, and the operator would believe that it was applied.
func (c *Controller) alreadyCommitted(ctx context.Context, b base, p proposal) (Outcome, bool, error) {
	sequence, err := decodeRow[uint64](b.change)
	if err != nil {
		return Outcome{}, false, err
	}
	ch, err := c.readChange(ctx, sequence)
	if err != nil {
		return Outcome{}, false, err
	}
	if !p.made(ch) {
		problem := declare.Problem{Line: 1, Field: "id", Message: "change ID was used for another change: " + describe(ch)}
		return Outcome{Result: ResultInvalid, Problems: declare.Problems{problem}}, true, nil
	}
	c.retried.Add("found_by_id", 1)
	return Outcome{Result: ResultApplied, Change: &ch}, true, nil
}

func describe(ch Change) string {
	return fmt.Sprintf("workspace %s version %d by %s", ch.Workspace.Name, ch.Workspace.Version, ch.Operator)
}

// readChange returns a change from the log.
func (c *Controller) readChange(ctx context.Context, sequence uint64) (Change, error) {
	rows, err := c.get(ctx, keyLog(sequence))
	if err != nil {
		return Change{}, err
	}
	if rows[0].Version == 0 {
		return Change{}, errors.Wrapf(errLogGap, "at %d", sequence)
	}
	return decodeRow[Change](rows[0])
}

func conflict(b base) Outcome {
	out := Outcome{Result: ResultConflict}
	if b.workspace.Version != 0 {
		out.Conflicting = &b.present
	}
	return out
}

// clashes checks a workspace against all others: two that share a host name
// would get each other's calls. The check sees the configuration at the head
// row that the commit compares, so no change can slip in between.
func (c *Controller) clashes(ctx context.Context, head uint64, ws declare.Workspace) (declare.Problems, error) {
	if err := c.catchUp(ctx, head); err != nil {
		return nil, err
	}
	taken := make(map[string]string)
	for _, other := range c.Board.Config.Load().Workspaces {
		if other.Name == ws.Name {
			continue
		}
		for _, h := range other.HostNames {
			taken[h] = other.Name
		}
	}
	var out declare.Problems
	for _, h := range ws.HostNames {
		if owner, ok := taken[h]; ok {
			out = append(out, declare.Problem{Line: 1, Field: "hostNames", Message: "host name " + h + " belongs to workspace " + owner})
		}
	}
	return out, nil
}

// commitDraft commits the change in one transaction.
func (c *Controller) commitDraft(ctx context.Context, req Request, b base, d draft) (Outcome, bool, error) {
	ch := Change{
		Sequence:    b.head.Sequence + 1,
		ID:          req.ID,
		Operator:    req.Operator,
		CommittedAt: c.Now().UTC().Truncate(time.Millisecond),
		RollbackTo:  d.rollbackTo,
		Workspace:   d.workspace,
		Source:      d.source,
	}
	ch.Workspace.Version = req.Base + 1
	ctx, cancel := context.WithTimeout(ctx, c.Timings.ReadTimeout)
	defer cancel()
	res, err := c.Table.Commit(ctx, append(d.ops, operations(b, ch)...)...)
	if err != nil {
		if errors.Is(err, ports.ErrUncertain) {
			c.retried.Add("answer_lost", 1)
		}
		return Outcome{}, false, err
	}
	if !res.Applied {
		c.retried.Add("row_moved", 1)
		return Outcome{}, false, nil
	}
	return Outcome{Result: ResultApplied, Change: &ch}, true, nil
}

// operations writes a change: the workspace compared by version, the head row
// compared so that sequence numbers have neither gaps nor twins, the log, and
// the rows that find a change by its ID and by workspace version.
func operations(b base, ch Change) []ports.Op {
	value := encode(ch)
	name := ch.Workspace.Name
	return []ports.Op{
		{Kind: ports.OpUpdate, Key: keyHead, Version: b.headRow.Version, Value: encode(headRow{ch.Sequence, ch.ID})},
		{Kind: ports.OpUpdate, Key: keyWorkspace(name), Version: b.workspace.Version, Value: value},
		{Kind: ports.OpInsert, Key: keyLog(ch.Sequence), Value: value},
		{Kind: ports.OpInsert, Key: keyChange(ch.ID), Value: encode(ch.Sequence)},
		{Kind: ports.OpInsert, Key: keyVersion(name, ch.Workspace.Version), Value: encode(ch.Sequence)},
	}
}
