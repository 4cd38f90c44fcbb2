// Package client speaks to the operators' interface of a cactusproxy host and
// holds the logic of cactusctl.
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

// maxReply bounds a reply, in bytes.
const maxReply = 64 << 20

// Attempts of a change whose answer was lost, and the wait between them.
const (
	changeAttempts = 3
	changeRetry    = 500 * time.Millisecond
)

// Client speaks to one host. Any host takes any request.
type Client struct {
	// Addr is host:port or a URL.
	Addr string
	// Token is needed for changes.
	Token string
	// HTTP is http.DefaultClient if nil.
	HTTP *http.Client
}

// ErrRefused says that the host refused the request; the error's text is the
// host's.
var ErrRefused = errors.New("request refused")

// Plan asks what applying a declaration would change.
func (c *Client) Plan(ctx context.Context, req operator.PlanRequest) (config.Plan, error) {
	var out config.Plan
	return out, c.do(ctx, http.MethodPost, operator.PathPlan, req, &out)
}

// Apply asks for a change. The same request may be sent again as it is.
func (c *Client) Apply(ctx context.Context, req operator.ApplyRequest) (operator.ChangeReply, error) {
	return c.change(ctx, operator.PathApply, req)
}

// Rollback asks for an earlier version as a new change.
func (c *Client) Rollback(ctx context.Context, req operator.RollbackRequest) (operator.ChangeReply, error) {
	return c.change(ctx, operator.PathRollback, req)
}

// Status asks which hosts have a sequence number in force; 0 is the newest.
func (c *Client) Status(ctx context.Context, sequence uint64) (config.Status, error) {
	q := url.Values{"sequence": {strconv.FormatUint(sequence, 10)}}
	var out config.Status
	return out, c.do(ctx, http.MethodGet, operator.PathStatus+"?"+q.Encode(), nil, &out)
}

// History asks for the newest changes, of all workspaces if the name is empty.
func (c *Client) History(ctx context.Context, workspace string, limit int) ([]config.Change, error) {
	q := url.Values{"workspace": {workspace}, "limit": {strconv.Itoa(limit)}}
	var out operator.HistoryReply
	err := c.do(ctx, http.MethodGet, operator.PathHistory+"?"+q.Encode(), nil, &out)
	return out.Changes, err
}

// change sends a change until there is an answer. A lost answer leaves open
// whether the change was committed; sending it again is safe because the host
// looks for the change ID first. With no answer at all it is uncertain.
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
		case <-time.After(changeRetry):
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

// decodeReply reads the wanted reply, or the error reply in its place.
func decodeReply(status int, raw []byte, out any) error {
	var failed operator.ErrorReply
	if status >= http.StatusBadRequest && json.Unmarshal(raw, &failed) == nil && failed.Error != "" {
		return errors.Mark(errors.Newf("%s", failed.Error), ErrRefused)
	}
	if err := json.Unmarshal(raw, out); err == nil {
		return nil
	}
	err := errors.Newf("HTTP status %d with an unknown body", status)
	if status < http.StatusInternalServerError {
		return errors.Mark(err, ErrRefused)
	}
	// Such as a gateway's reply for a host that may have taken the request.
	return err
}

// neverSent reports whether a request failed before it had a connection.
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
