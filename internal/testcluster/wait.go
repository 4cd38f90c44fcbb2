package testcluster

import (
	"context"
	"io"
	"io/fs"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/controller/config"
	"github.com/cactusproxy/cactusproxy/operator"
	"github.com/cactusproxy/cactusproxy/operator/client"
)

// pollInterval is the time between two looks at a condition.
const pollInterval = 5 * time.Millisecond

// Wait returns once a condition holds, or with an error that names it when ctx
// ends.
func Wait(ctx context.Context, what string, holds func() bool) error {
	for !holds() {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "waiting for %s", what)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// WaitReady returns once a host takes calls.
func (l *Cluster) WaitReady(ctx context.Context, id string) error {
	h, err := l.Host(id)
	if err != nil {
		return err
	}
	return Wait(ctx, "host "+id+" to be ready", func() bool { return h.Board().Status.Load().Ready() })
}

// WaitTargets returns once a host knows a number of targets of a service that
// take new calls.
func (l *Cluster) WaitTargets(ctx context.Context, host, workspace, service string, n int) error {
	h, err := l.Host(host)
	if err != nil {
		return err
	}
	key := blackboard.ServiceKey{Workspace: workspace, Service: service}
	return Wait(ctx, "targets of "+key.String(), func() bool {
		live := 0
		for _, t := range h.Board().Targets.Load().ByService[key] {
			if !t.Leaving {
				live++
			}
		}
		return live == n
	})
}

// WaitMembers returns once a host sees a number of live entry hosts.
func (l *Cluster) WaitMembers(ctx context.Context, host string, n int) error {
	h, err := l.Host(host)
	if err != nil {
		return err
	}
	return Wait(ctx, "entry hosts", func() bool { return len(h.Board().Members.Load().Eligible()) == n })
}

// Operators returns the operators' client of a host.
func (h *Host) Operators() *client.Client {
	return &client.Client{Addr: h.OperatorsAddr(), Token: Token}
}

// Apply is ApplyFS with files of this machine.
func (l *Cluster) Apply(ctx context.Context, host, templateFile, workspaceFile string) (operator.ChangeReply, error) {
	return l.ApplyFS(ctx, host, osFiles{}, templateFile, workspaceFile)
}

// osFiles opens files by any path, those outside the folder of the process included.
type osFiles struct{}

// Open implements fs.FS.
func (osFiles) Open(name string) (fs.File, error) { return os.Open(name) }

// ApplyFS applies a workspace and its template, given as files, through a host and
// waits until it is in force on every host.
func (l *Cluster) ApplyFS(ctx context.Context, host string, files fs.FS, templateFile, workspaceFile string) (operator.ChangeReply, error) {
	template, err := fs.ReadFile(files, templateFile)
	if err != nil {
		return operator.ChangeReply{}, err
	}
	workspace, err := fs.ReadFile(files, workspaceFile)
	if err != nil {
		return operator.ChangeReply{}, err
	}
	return l.ApplyText(ctx, host, config.File{Name: templateFile, Text: string(template)}, config.File{Name: workspaceFile, Text: string(workspace)}, nil)
}

// ApplyText is Apply with the text of the files, against a version of the
// workspace; nil is the present one.
func (l *Cluster) ApplyText(ctx context.Context, host string, template, workspace config.File, base *uint64) (operator.ChangeReply, error) {
	h, err := l.Host(host)
	if err != nil {
		return operator.ChangeReply{}, err
	}
	ops := h.Operators()
	if base == nil {
		plan, err := ops.Plan(ctx, operator.PlanRequest{Workspace: workspace, Template: &template})
		if err != nil {
			return operator.ChangeReply{}, err
		}
		base = &plan.Base
	}
	return ops.Apply(ctx, operator.ApplyRequest{
		ID:         ulid.Make().String(),
		Who:        "lab",
		Base:       base,
		Workspace:  workspace,
		Template:   &template,
		WaitMillis: operator.MaxWait.Milliseconds(),
	})
}

// Response is what a caller got.
type Response struct {
	Status  int
	Outcome string
	Reason  string
	Header  http.Header
	Body    string
	Took    time.Duration
}

// Do sends a request and reads the whole answer.
func Do(c *http.Client, req *http.Request) (Response, error) {
	start := time.Now()
	resp, err := c.Do(req)
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return Response{
		Status:  resp.StatusCode,
		Outcome: resp.Header.Get("Cactusproxy-Outcome"),
		Reason:  resp.Header.Get("Cactusproxy-Reason"),
		Header:  resp.Header,
		Body:    string(body),
		Took:    time.Since(start),
	}, err
}
