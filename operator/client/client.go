// Package client is a client of the operator API of a cactusproxy host. Client sends
// the requests, and Main implements the cactusctl command with it.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusproxy/cactusproxy/controller/config"
	"github.com/cactusproxy/cactusproxy/operator"
)

// maxReply bounds a reply body, in bytes.
const maxReply = 64 << 20

// Number of attempts at a change whose reply is lost, and the delay between them.
const (
	changeAttempts   = 3
	changeRetryDelay = 500 * time.Millisecond
)

// Client sends requests to one host. Every host accepts every request.
type Client struct {
	// Addr is host:port or a base URL.
	Addr string
	// Token is needed for changes.
	Token string
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP *http.Client
}

// ErrRefused marks errors of requests that the host refused. The text of such an
// error is the host's.
var ErrRefused = errors.New("request refused")

// Plan asks what applying a declaration would change.
func (c *Client) Plan(ctx context.Context, req operator.PlanRequest) (config.Plan, error) {
	var out config.Plan
	return out, c.do(ctx, http.MethodPost, operator.PathPlan, req, &out)
}

// Apply asks for a change. Repeating the same request is safe.
func (c *Client) Apply(ctx context.Context, req operator.ApplyRequest) (operator.ChangeReply, error) {
	return c.change(ctx, operator.PathApply, req)
}

// Rollback asks to restore an earlier version as a new change.
func (c *Client) Rollback(ctx context.Context, req operator.RollbackRequest) (operator.ChangeReply, error) {
	return c.change(ctx, operator.PathRollback, req)
}

// Status asks which hosts have the change with this sequence number in force; 0 means
// the newest.
func (c *Client) Status(ctx context.Context, sequence uint64) (config.Status, error) {
	q := url.Values{"sequence": {strconv.FormatUint(sequence, 10)}}
	var out config.Status
	return out, c.do(ctx, http.MethodGet, operator.PathStatus+"?"+q.Encode(), nil, &out)
}

// History returns up to limit of the newest changes, of all workspaces if workspace
// is empty.
func (c *Client) History(ctx context.Context, workspace string, limit int) ([]config.Change, error) {
	q := url.Values{"workspace": {workspace}, "limit": {strconv.Itoa(limit)}}
	var out operator.HistoryReply
	err := c.do(ctx, http.MethodGet, operator.PathHistory+"?"+q.Encode(), nil, &out)
	return out.Changes, err
}

// change sends a change and retries it if the reply is lost, which leaves open whether
// the change was committed. Retries are safe because the host looks up the change ID
// first. If no attempt gets a reply, the result is config.ResultUncertain.
func (c *Client) change(ctx context.Context, path string, req any) (operator.ChangeReply, error) {
	sent := false
	for attempt := 1; ; attempt++ {
		var out operator.ChangeReply
		err := c.do(ctx, http.MethodPost, path, req, &out)
		if err == nil || errors.Is(err, ErrRefused) {
			return out, err
		}
		sent = sent || !neverSent(err)
		if attempt == changeAttempts || ctx.Err() != nil {
			if !sent {
				return out, err
			}
			out.Outcome = config.Outcome{Result: config.ResultUncertain, Detail: err.Error()}
			return out, nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(changeRetryDelay):
		}
	}
}

func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode request")
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.url(path), body)
	if err != nil {
		return errors.Mark(err, ErrRefused)
	}
	req.Header.Set("Content-Type", "application/json")
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	res, err := c.http().Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxReply))
	if err != nil {
		return errors.Wrap(err, "read reply")
	}
	return decodeReply(res.StatusCode, raw, out)
}

// decodeReply decodes a reply into out, or returns the error that the reply carries.
func decodeReply(status int, raw []byte, out any) error {
	var failed operator.ErrorReply
	if status >= http.StatusBadRequest && json.Unmarshal(raw, &failed) == nil && failed.Error != "" {
		return errors.Mark(errors.Newf("%s", failed.Error), ErrRefused)
	}
	if err := json.Unmarshal(raw, out); err == nil {
		return nil
	}
	err := errors.Newf("HTTP status %d with an unrecognized body", status)
	if status < http.StatusInternalServerError {
		return errors.Mark(err, ErrRefused)
	}
	// A gateway may have replied for a host that received the request.
	return err
}

// neverSent reports whether a request failed before a connection was established.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *Client) http() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

func (c *Client) url(path string) string {
	if strings.Contains(c.Addr, "://") {
		return strings.TrimSuffix(c.Addr, "/") + path
	}
	return fmt.Sprintf("http://%s%s", c.Addr, path)
}
