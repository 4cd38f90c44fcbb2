package config

import (
	"bytes"
	"context"
	"fmt"

	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/ports"
)

// File is the text of a declaration and the file name for its problem reports.
type File struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// ApplyRequest asks to change a workspace to a declared state.
type ApplyRequest struct {
	Request
	Workspace File
	// Template may be nil if its version was applied before.
	Template *File
}

// RollbackRequest asks to restore an earlier version of a workspace by a new change.
type RollbackRequest struct {
	Request
	Workspace string
	// To is the version to restore.
	To uint64
}

// Apply commits a declaration and pushes it to the other hosts. It returns once the
// outcome is known or Timings.CommitTimeout has passed; the end of ctx doesn't stop it.
func (c *Controller) Apply(ctx context.Context, req ApplyRequest) Outcome {
	p, problems := newApplyProposal(req.Workspace, req.Template)
	if problems != nil {
		return c.finish(req.Request, Outcome{Result: ResultInvalid, Problems: problems})
	}
	return c.commit(ctx, req.Request, p)
}

// Rollback commits the content of an earlier version as a new change.
func (c *Controller) Rollback(ctx context.Context, req RollbackRequest) Outcome {
	return c.commit(ctx, req.Request, &rollbackProposal{c: c, name: req.Workspace, to: req.To})
}

// applyProposal is the proposal of Apply.
type applyProposal struct {
	decl *declare.Declaration
	// tpl is nil if the request has no template.
	tpl *declare.Template
}

func newApplyProposal(workspace File, template *File) (*applyProposal, declare.Problems) {
	var p applyProposal
	var problems declare.Problems
	var err error
	if p.decl, err = declare.ParseWorkspace(workspace.Name, []byte(workspace.Text)); err != nil {
		problems = append(problems, asProblems(err)...)
	}
	if template != nil {
		if p.tpl, err = declare.ParseTemplate(template.Name, []byte(template.Text)); err != nil {
			problems = append(problems, asProblems(err)...)
		}
	}
	return &p, problems
}

func asProblems(err error) declare.Problems {
	if ps, ok := err.(declare.Problems); ok {
		return ps
	}
	return declare.Problems{{Line: 1, Message: err.Error()}}
}

func (p *applyProposal) workspace() string { return p.decl.Workspace }

func (p *applyProposal) keys() []string {
	return []string{keyTemplate(p.decl.Template, p.decl.TemplateVersion)}
}

func (p *applyProposal) matches(ch Change) bool {
	return ch.RollbackTo == 0 && ch.Workspace.Name == p.decl.Workspace && ch.Source == string(p.decl.Text)
}

func (p *applyProposal) build(_ context.Context, extra []ports.Row) (draft, error) {
	tpl, ops, err := p.template(extra[0])
	if err != nil {
		return draft{}, err
	}
	ws, err := tpl.Expand(p.decl)
	return draft{workspace: ws, source: string(p.decl.Text), ops: ops}, err
}

// template returns the template to expand and the operation that stores it. A template
// version never changes its text once it has been applied: otherwise two workspaces with
// the same template version could differ in ways that no file under version control
// shows.
func (p *applyProposal) template(row ports.Row) (*declare.Template, []ports.Op, error) {
	switch {
	case row.Version == 0 && p.tpl == nil:
		return nil, nil, p.problem("template %s version %d has not been applied yet: send its file along", p.decl.Template, p.decl.TemplateVersion)
	case row.Version == 0:
		return p.tpl, []ports.Op{{Kind: ports.OpInsert, Key: row.Key, Value: p.tpl.Text}}, nil
	case p.tpl != nil && p.tpl.Name == p.decl.Template && p.tpl.Version == p.decl.TemplateVersion && !bytes.Equal(row.Value, p.tpl.Text):
		return nil, nil, p.problem("template %s version %d was applied with another text: raise its version", p.decl.Template, p.decl.TemplateVersion)
	case p.tpl != nil:
		return p.tpl, nil, nil
	default:
		tpl, err := declare.ParseTemplate(row.Key, row.Value)
		return tpl, nil, err
	}
}

func (p *applyProposal) problem(format string, args ...any) error {
	return declare.Problems{{File: p.decl.File, Line: 1, Field: "templateVersion", Message: fmt.Sprintf(format, args...)}}
}

// rollbackProposal is the proposal of Rollback.
type rollbackProposal struct {
	c    *Controller
	name string
	to   uint64
}

func (p *rollbackProposal) workspace() string { return p.name }

func (p *rollbackProposal) keys() []string { return []string{keyVersion(p.name, p.to)} }

func (p *rollbackProposal) matches(ch Change) bool {
	return ch.RollbackTo == p.to && ch.Workspace.Name == p.name
}

func (p *rollbackProposal) build(ctx context.Context, extra []ports.Row) (draft, error) {
	if extra[0].Version == 0 {
		return draft{}, declare.Problems{{Line: 1, Field: "to", Message: fmt.Sprintf("workspace %s has no version %d", p.name, p.to)}}
	}
	sequence, err := decodeRow[uint64](extra[0])
	if err != nil {
		return draft{}, err
	}
	ch, err := p.c.readChange(ctx, sequence)
	if err != nil {
		return draft{}, err
	}
	return draft{workspace: ch.Workspace, source: ch.Source, rollbackTo: p.to}, nil
}
