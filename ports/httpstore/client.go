// Package httpstore implements the interfaces of package ports over the platform's HTTP API:
// the table, the object store and the host list.
//
// It distinguishes writes that can not have taken effect (ports.ErrUnavailable) from those
// that may have (ports.ErrUncertain), and sends each write at most once. Retrying is left to
// the caller, who knows whether a repeated write is safe.
package httpstore

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusproxy/cactusproxy/ports"
)

// Defaults for the fields of Config that are zero.
const (
	DefaultTimeout  = 2 * time.Second
	DefaultMaxConns = 8
)

const (
	dialTimeout = time.Second
	// idleTimeout is shorter than common server idle timeouts: a write sent on a connection that
	// the platform is closing ends in ErrUncertain.
	idleTimeout = 5 * time.Second
	// maxResponseHead is the largest response header that is read.
	maxResponseHead = 64 << 10
	// maxResponseBytes is the largest response body that is read.
	maxResponseBytes = 64 << 20
)

// Config configures a Client.
type Config struct {
	// URL is the base URL of the platform, with scheme http or https.
	URL string
	// Token is sent as a bearer token unless it is empty.
	Token string
	// Timeout limits each request, including the wait for a connection; 0 means DefaultTimeout.
	Timeout time.Duration
	// MaxConns limits the number of connections; 0 means DefaultMaxConns.
	MaxConns int
	// TLS is used for https; nil means the system's defaults.
	TLS *tls.Config
}

// Client is a client of the platform's HTTP API. It is safe for concurrent use.
type Client struct {
	base      string
	token     string
	timeout   time.Duration
	transport *http.Transport
}

// New returns a client. It does not connect yet.
func New(c Config) (*Client, error) {
	u, err := url.Parse(c.URL)
	if err != nil {
		return nil, errors.Wrap(err, "platform URL")
	}
	if (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return nil, errors.Newf("platform URL %q: want http:// or https:// and a host", c.URL)
	}
	if c.Timeout <= 0 {
		c.Timeout = DefaultTimeout
	}
	if c.MaxConns <= 0 {
		c.MaxConns = DefaultMaxConns
	}
	return &Client{
		base:      strings.TrimSuffix(c.URL, "/"),
		token:     c.Token,
		timeout:   c.Timeout,
		transport: newTransport(c),
	}, nil
}

// newTransport returns a transport limited to HTTP/1, where a connection carries one request
// at a time. Writes to the connection of a canceled request can then be blocked without
// affecting other requests.
func newTransport(c Config) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:         guardedDial(&net.Dialer{Timeout: dialTimeout}),
		TLSClientConfig:     c.TLS,
		Protocols:           protocols,
		MaxConnsPerHost:     c.MaxConns,
		MaxIdleConnsPerHost: c.MaxConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxResponseHead,
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// request is a request to the platform.
type request struct {
	method string
	path   string
	body   []byte
	// write is set for a request that may change the platform's state.
	write bool
}

// unreplayableBody hides the concrete reader type, from which net/http would otherwise
// derive GetBody.
//
// With GetBody the transport may retry a request by itself, and a write would be sent twice.
// A POST or PUT whose body can be read only once is never retried after any of it was read.
type unreplayableBody struct{ io.Reader }

// Close does nothing, because the body is in memory.
func (unreplayableBody) Close() error { return nil }

// do sends the request and returns the body of a 200 response, or nil for a 404. Errors are
// marked as ErrUnavailable or ErrUncertain.
func (c *Client) do(ctx context.Context, r request) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var s writeTracker
	req, err := c.build(s.trace(ctx), r)
	if err != nil {
		return nil, errors.Mark(err, ports.ErrUnavailable)
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, markError(err, r.write && !s.nothingSent())
	}
	defer resp.Body.Close()
	body, err := readAll(resp.Body)
	if err != nil {
		return nil, markError(err, r.write)
	}
	if resp.StatusCode == http.StatusNotFound {
		return nil, nil
	}
	if resp.StatusCode != http.StatusOK {
		err := errors.Newf("platform returned status %d: %.200s", resp.StatusCode, body)
		return nil, markError(err, r.write && !provesNotApplied(resp))
	}
	return body, nil
}

func (c *Client) build(ctx context.Context, r request) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.method, c.base+r.path, nil)
	if err != nil {
		return nil, err
	}
	if r.body != nil {
		req.Body = unreplayableBody{bytes.NewReader(r.body)}
		req.ContentLength = int64(len(r.body))
		req.Header.Set("Content-Type", "application/json; charset=utf-8")
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	return req, nil
}

func readAll(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxResponseBytes {
		return nil, errors.Newf("response exceeds %d bytes", maxResponseBytes)
	}
	return body, nil
}

// provesNotApplied reports whether an error response guarantees that the request had no
// effect: the platform says so, or it rejected the request before processing it.
func provesNotApplied(resp *http.Response) bool {
	if resp.Header.Get(HeaderNotApplied) == "1" {
		return true
	}
	switch resp.StatusCode {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden,
		http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge:
		return true
	default:
		return false
	}
}

func markError(err error, uncertain bool) error {
	if uncertain {
		return errors.Mark(err, ports.ErrUncertain)
	}
	return errors.Mark(err, ports.ErrUnavailable)
}

// postJSON posts req as JSON and decodes the response into resp.
func (c *Client) postJSON(ctx context.Context, path string, write bool, req, resp any) error {
	body, err := json.Marshal(req)
	if err != nil {
		return errors.Mark(err, ports.ErrUnavailable)
	}
	raw, err := c.do(ctx, request{method: http.MethodPost, path: path, body: body, write: write})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, resp); err != nil {
		return markError(errors.Wrap(err, "decode platform response"), write)
	}
	return nil
}
