package config

import (
	"bytes"
	"context"
	"fmt"

	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/ports"
)

// File is a declaration with the name that its problems are reported under.
type File struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// ApplyRequest asks for a workspace to become as declared.
type ApplyRequest struct {
	Request
	Workspace File
	// Template may be nil if that version was applied before.
	Template *File
}

// RollbackRequest asks for an earlier version of a workspace to come back, as a
// new change.
type RollbackRequest struct {
	Request
	Workspace string
	// To is the version whose content is brought back.
	To uint64
}

// Apply commits a declaration and pushes it to the other hosts. It returns once
// the outcome is known or ctx ends.
func (c *Controller) Apply(ctx context.Context, req ApplyRequest) Outcome {
	p, problems := newDeclared(req.Workspace, req.Template)
	if problems != nil {
		return c.finish(req.Request, Outcome{Result: ResultInvalid, Problems: problems})
	}
	return c.commit(ctx, req.Request, p)
}

// Rollback commits an earlier version as a new change.
func (c *Controller) Rollback(ctx context.Context, req RollbackRequest) Outcome {
	return c.commit(ctx, req.Request, &rollback{c: c, name: req.Workspace, to: req.To})
}

// declared is the proposal of Apply.
type declared struct {
	decl *declare.Declaration
	// tpl is nil if the request brought no template.
	tpl *declare.Template
}

func newDeclared(workspace File, template *File) (*declared, declare.Problems) {
	var p declared
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

func (p *declared) workspace() string { return p.decl.Workspace }

func (p *declared) keys() []string {
	return []string{keyTemplate(p.decl.Template, p.decl.TemplateVersion)}
}

func (p *declared) made(ch Change) bool {
	return ch.RollbackTo == 0 && ch.Workspace.Name == p.decl.Workspace && ch.Source == string(p.decl.Text)
}

func (p *declared) build(_ context.Context, extra []ports.Row) (draft, error) {
	tpl, ops, err := p.template(extra[0])
	if err != nil {
		return draft{}, err
	}
	ws, err := tpl.Expand(p.decl)
	return draft{workspace: ws, source: string(p.decl.Text), ops: ops}, err
}

// template returns the template to expand and the operation that keeps it. A
// version, once applied, always has the same text: otherwise two workspaces of
// one version could differ in ways that no file in version control shows.
func (p *declared) template(row ports.Row) (*declare.Template, []ports.Op, error) {
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

func (p *declared) problem(format string, args ...any) error {
	return declare.Problems{{File: p.decl.File, Line: 1, Field: "templateVersion", Message: fmt.Sprintf(format, args...)}}
}

// rollback is the proposal of Rollback.
type rollback struct {
	c    *Controller
	name string
	to   uint64
}

func (p *rollback) workspace() string { return p.name }

func (p *rollback) keys() []string { return []string{keyVersion(p.name, p.to)} }

func (p *rollback) made(ch Change) bool {
	return ch.RollbackTo == p.to && ch.Workspace.Name == p.name
}

func (p *rollback) build(ctx context.Context, extra []ports.Row) (draft, error) {
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
