package httpstore

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/cactusproxy/cactusproxy/ports"
)

// Table returns the platform's table.
func (c *Client) Table() ports.Table { return table{c} }

// Objects returns the platform's object store.
func (c *Client) Objects() ports.ObjectStore { return objects{c} }

// Hosts returns the platform's host list.
func (c *Client) Hosts() ports.HostList { return hosts{c} }

type table struct{ c *Client }

// Get implements ports.Table.
func (t table) Get(ctx context.Context, keys ...string) ([]ports.Row, error) {
	var resp RowsResponse
	if err := t.c.postJSON(ctx, PathGet, false, GetRequest{Keys: keys}, &resp); err != nil {
		return nil, err
	}
	if len(resp.Rows) != len(keys) {
		return nil, errors.Wrapf(ports.ErrUnavailable, "platform returned %d rows for %d keys", len(resp.Rows), len(keys))
	}
	return resp.Rows, nil
}

// Scan implements ports.Table.
func (t table) Scan(ctx context.Context, prefix, after string, limit int) ([]ports.Row, error) {
	var resp RowsResponse
	err := t.c.postJSON(ctx, PathScan, false, ScanRequest{Prefix: prefix, After: after, Limit: limit}, &resp)
	return resp.Rows, err
}

// Commit implements ports.Table.
func (t table) Commit(ctx context.Context, ops ...ports.Op) (ports.CommitResult, error) {
	var resp ports.CommitResult
	if err := t.c.postJSON(ctx, PathCommit, true, CommitRequest{Ops: ops}, &resp); err != nil {
		return ports.CommitResult{}, err
	}
	return resp, nil
}

type objects struct{ c *Client }

// Get implements ports.ObjectStore.
func (o objects) Get(ctx context.Context, name string) ([]byte, error) {
	return o.c.do(ctx, request{method: http.MethodGet, path: PathObjects + url.PathEscape(name)})
}

// Put implements ports.ObjectStore.
func (o objects) Put(ctx context.Context, name string, data []byte) error {
	if data == nil {
		data = []byte{}
	}
	_, err := o.c.do(ctx, request{
		method: http.MethodPut,
		path:   PathObjects + url.PathEscape(name),
		body:   data,
		write:  true,
	})
	return err
}

type hosts struct{ c *Client }

// List implements ports.HostList.
func (h hosts) List(ctx context.Context, known uint64) (ports.HostSnapshot, error) {
	var snap ports.HostSnapshot
	path := PathHosts + "?" + QueryKnown + "=" + strconv.FormatUint(known, 10)
	raw, err := h.c.do(ctx, request{method: http.MethodGet, path: path})
	if err != nil {
		return snap, err
	}
	if err := json.Unmarshal(raw, &snap); err != nil {
		return ports.HostSnapshot{}, errors.Mark(errors.Wrap(err, "decode host list"), ports.ErrUnavailable)
	}
	return snap, nil
}
