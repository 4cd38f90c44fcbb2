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

// pollInterval is the time between two checks of a condition.
const pollInterval = 5 * time.Millisecond

// Wait polls until the condition holds. If ctx ends first, it returns an error that names what
// was waited for.
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

// WaitReady waits until a host is ready for calls.
func (c *Cluster) WaitReady(ctx context.Context, id string) error {
	h, err := c.Host(id)
	if err != nil {
		return err
	}
	return Wait(ctx, "host "+id+" to be ready", func() bool { return h.Board().Status.Load().Ready() })
}

// WaitTargets waits until a host knows exactly n targets of a service that are not leaving.
func (c *Cluster) WaitTargets(ctx context.Context, host, workspace, service string, n int) error {
	h, err := c.Host(host)
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

// WaitMembers waits until a host sees exactly n live entry hosts, itself included.
func (c *Cluster) WaitMembers(ctx context.Context, host string, n int) error {
	h, err := c.Host(host)
	if err != nil {
		return err
	}
	return Wait(ctx, "entry hosts", func() bool { return len(h.Board().Members.Load().Eligible()) == n })
}

// Operators returns a client for the host's operator API.
func (h *Host) Operators() *client.Client {
	return &client.Client{Addr: h.OperatorsAddr(), Token: Token}
}

// Apply is ApplyFS with files of the local file system.
func (c *Cluster) Apply(ctx context.Context, host, templateFile, workspaceFile string) (operator.ChangeReply, error) {
	return c.ApplyFS(ctx, host, osFiles{}, templateFile, workspaceFile)
}

// osFiles opens files by any path, also outside the working directory.
type osFiles struct{}

// Open implements fs.FS.
func (osFiles) Open(name string) (fs.File, error) { return os.Open(name) }

// ApplyFS applies a workspace and its template from files through a host, and waits until the
// change is in effect on every host.
func (c *Cluster) ApplyFS(ctx context.Context, host string, files fs.FS, templateFile, workspaceFile string) (operator.ChangeReply, error) {
	template, err := fs.ReadFile(files, templateFile)
	if err != nil {
		return operator.ChangeReply{}, err
	}
	workspace, err := fs.ReadFile(files, workspaceFile)
	if err != nil {
		return operator.ChangeReply{}, err
	}
	return c.ApplyText(ctx, host, config.File{Name: templateFile, Text: string(template)}, config.File{Name: workspaceFile, Text: string(workspace)}, nil)
}

// ApplyText is ApplyFS with the contents of the files. base is the version of the workspace that
// the change is based on; nil means the current one.
func (c *Cluster) ApplyText(ctx context.Context, host string, template, workspace config.File, base *uint64) (operator.ChangeReply, error) {
	h, err := c.Host(host)
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

// Response is the response that a caller received.
type Response struct {
	Status  int
	Outcome string
	Reason  string
	Header  http.Header
	Body    string
	Took    time.Duration
}

// Do sends a request and reads the complete response.
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
