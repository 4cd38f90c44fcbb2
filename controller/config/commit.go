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

// Result is the result of an operator's request.
type Result string

const (
	// ResultApplied means that the change is committed. Status reports when it is in
	// force on every host.
	ResultApplied Result = "applied"
	// ResultUnchanged means that the workspace already has the declared state.
	ResultUnchanged Result = "unchanged"
	// ResultConflict means that the workspace is no longer at the version that the
	// request is based on. Nothing was changed.
	ResultConflict Result = "conflict"
	// ResultInvalid means that the declaration or the request was rejected. Nothing was
	// changed.
	ResultInvalid Result = "invalid"
	// ResultUnavailable means that the platform didn't answer. Nothing was changed, nor
	// will it be.
	ResultUnavailable Result = "unavailable"
	// ResultUncertain means that the change may have been committed. Repeating the
	// request with the same change ID reveals the outcome and never applies the change
	// twice.
	ResultUncertain Result = "uncertain"
)

// Outcome is the reply to an operator's request.
type Outcome struct {
	Result Result `json:"result"`
	// Change is the committed change if Result is applied, and the current one if Result
	// is unchanged.
	Change *Change `json:"change,omitempty"`
	// Conflicting is the current change of the workspace if Result is conflict, or nil if
	// the workspace doesn't exist.
	Conflicting *Change `json:"other,omitempty"`
	// Problems are the reasons for rejection if Result is invalid.
	Problems declare.Problems `json:"problems,omitempty"`
	// Detail is the platform's error if Result is unavailable or uncertain.
	Detail string `json:"detail,omitempty"`
}

// Request identifies a change, the operator who asks for it, and the version it is based
// on.
type Request struct {
	// ID identifies the change across repeated requests, such as a ULID.
	ID       string
	Operator string
	// Base is the workspace version that the operator has seen, or 0 if the workspace is
	// new.
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

// Bounds of the exponential backoff between attempts to commit.
const (
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
)

// proposal builds the change that a request asks for from the contents of the table.
type proposal interface {
	workspace() string
	// keys returns the keys of the further rows that build needs.
	keys() []string
	// build returns the content of the change. The error is a declare.Problems if the
	// request is rejected, otherwise it comes from the platform.
	build(ctx context.Context, extra []ports.Row) (draft, error)
	// matches reports whether a committed change is the one that this proposal asks for.
	matches(ch Change) bool
}

// draft is the content of a change that has no sequence number yet.
type draft struct {
	workspace  declare.Workspace
	source     string
	rollbackTo uint64
	ops        []ports.Op
}

// base is the state of the table that a commit is based on.
type base struct {
	head    headRow
	headRow ports.Row
	// change is the row of the change ID, which exists if the request was committed before.
	change    ports.Row
	workspace ports.Row
	// current is the change in the workspace row, the zero value if there is none.
	current Change
	// extraRows are the rows of proposal.keys.
	extraRows []ports.Row
}

// commit retries a proposal until it is committed, rejected or out of time.
//
// After a lost reply the transaction may have taken effect or may still do so. The next
// attempt therefore reads the row of the change ID: if it exists, the change is
// committed. Otherwise the change is committed again under the same ID. Both attempts
// compare the versions of the same rows, so whichever is first makes the other fail, and
// the attempt after that finds the row.
//
// The work continues if the operator's connection breaks: other hosts would learn of an
// abandoned commit only by polling.
func (c *Controller) commit(ctx context.Context, req Request, p proposal) Outcome {
	if problems := req.check(); problems != nil {
		return c.finish(req, Outcome{Result: ResultInvalid, Problems: problems})
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.Timings.CommitTimeout)
	defer cancel()
	uncertain := false
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = minRetryDelay, maxRetryDelay
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
			return c.finish(req, timeoutOutcome(uncertain, ctx.Err()))
		case <-time.After(wait.NextBackOff()):
		}
	}
}

func timeoutOutcome(uncertain bool, err error) Outcome {
	if uncertain {
		return Outcome{Result: ResultUncertain, Detail: err.Error()}
	}
	return Outcome{Result: ResultUnavailable, Detail: err.Error()}
}

// finish counts and logs the outcome of a request, and applies and pushes the change if
// there is one.
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
	if c.applyChange(*out.Change, eventCommit) == applyGap {
		c.triggerPoll()
	}
	c.push(*out.Change)
	c.requestSnapshot()
	return out
}

// attempt reads the table, validates the change and tries to commit it once. done is
// false if the head row moved in between or the reply was lost.
func (c *Controller) attempt(ctx context.Context, req Request, p proposal) (out Outcome, done bool, err error) {
	before := c.Sequence()
	b, err := c.readBase(ctx, req, p)
	if err != nil {
		return Outcome{}, false, err
	}
	if c.isStoreBehind(b.head, before) {
		return Outcome{}, false, errStoreBehind
	}
	if b.change.Version != 0 {
		return c.alreadyCommitted(ctx, b, p)
	}
	if b.workspace.Version != req.Base {
		return conflict(b), true, nil
	}
	d, err := p.build(ctx, b.extraRows)
	if problems := declare.Problems(nil); errors.As(err, &problems) {
		return Outcome{Result: ResultInvalid, Problems: problems}, true, nil
	}
	if err != nil {
		return Outcome{}, false, err
	}
	d.workspace.Version = req.Base
	if req.Base > 0 && len(declare.Diff(&b.current.Workspace, &d.workspace)) == 0 {
		return Outcome{Result: ResultUnchanged, Change: &b.current}, true, nil
	}
	problems, err := c.hostNameConflicts(ctx, b.head.Sequence, d.workspace)
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
	b := base{headRow: rows[0], change: rows[1], workspace: rows[2], extraRows: rows[3:]}
	if b.head, err = decodeRow[headRow](b.headRow); err != nil {
		return base{}, err
	}
	b.current, err = decodeRow[Change](b.workspace)
	return b, err
}

// alreadyCommitted answers a repeated request with the change that it made. An ID that
// belongs to a different change is rejected: otherwise the operator would believe that
// this request was applied.
func (c *Controller) alreadyCommitted(ctx context.Context, b base, p proposal) (Outcome, bool, error) {
	sequence, err := decodeRow[uint64](b.change)
	if err != nil {
		return Outcome{}, false, err
	}
	ch, err := c.readChange(ctx, sequence)
	if err != nil {
		return Outcome{}, false, err
	}
	if !p.matches(ch) {
		problem := declare.Problem{Line: 1, Field: "id", Message: "change ID was used for another change: " + describe(ch)}
		return Outcome{Result: ResultInvalid, Problems: declare.Problems{problem}}, true, nil
	}
	c.retried.Add("found_by_id", 1)
	return Outcome{Result: ResultApplied, Change: &ch}, true, nil
}

func describe(ch Change) string {
	return fmt.Sprintf("workspace %s version %d by %s", ch.Workspace.Name, ch.Workspace.Version, ch.Operator)
}

// readChange reads a change from the log.
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
		out.Conflicting = &b.current
	}
	return out
}

// hostNameConflicts checks the host names of a workspace against those of all others: two
// workspaces that share one would receive each other's calls. It checks against the
// configuration at the head row whose version the commit compares, so that no change can
// come in between.
func (c *Controller) hostNameConflicts(ctx context.Context, head uint64, ws declare.Workspace) (declare.Problems, error) {
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
	res, err := c.Table.Commit(ctx, append(d.ops, changeOps(b, ch)...)...)
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

// changeOps returns the operations that write a change. The version of the workspace row
// is compared to detect conflicts, and that of the head row so that sequence numbers have
// neither gaps nor duplicates. The other rows are the log entry and the indexes by change
// ID and by workspace version.
func changeOps(b base, ch Change) []ports.Op {
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
