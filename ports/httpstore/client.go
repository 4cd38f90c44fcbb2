// Package httpstore reaches the platform's table, object store and list of
// hosts over HTTP. It tells exactly which writes can not have taken effect, and
// sends each write once: repeating is for the caller, who knows what a repeat
// would do.
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

// What a Config stands for where it says nothing.
const (
	DefaultTimeout  = 2 * time.Second
	DefaultMaxConns = 8
)

const (
	dialTimeout = time.Second
	// idleTimeout is below the idle timeouts in common use: a write on a
	// connection that the platform is just closing ends in ErrUncertain.
	idleTimeout = 5 * time.Second
	// maxAnswer bounds the bytes read of one answer.
	maxAnswer = 64 << 20
)

// Config says how to reach the platform.
type Config struct {
	// URL is the base URL, with scheme http or https.
	URL string
	// Token is sent as a bearer token unless it is empty.
	Token string
	// Timeout bounds each request, waiting for a connection included.
	Timeout time.Duration
	// MaxConns bounds the connections.
	MaxConns int
	// TLS is used for https; nil stands for the system's defaults.
	TLS *tls.Config
}

// Client reaches the platform. It is safe for concurrent use.
type Client struct {
	base      string
	token     string
	timeout   time.Duration
	transport *http.Transport
}

// New returns a client; no connection is made yet.
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

// newTransport speaks HTTP/1 only: there a connection carries one request at a
// time, so that giving up a request can seal its connection.
func newTransport(c Config) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:         dialer(&net.Dialer{Timeout: dialTimeout}),
		TLSClientConfig:     c.TLS,
		Protocols:           protocols,
		MaxConnsPerHost:     c.MaxConns,
		MaxIdleConnsPerHost: c.MaxConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// request is one exchange with the platform.
type request struct {
	method string
	path   string
	body   []byte
	// write marks a request that may leave something behind.
	write bool
}

// onceBody hides the kind of reader from net/http, which would otherwise learn
// how to make the body anew.
//
// The transport repeats a request by itself if it holds the means to, and a write would be made
// twice. A POST or PUT whose body can be read only once is never repeated after a byte of it was
// read.
type onceBody struct{ io.Reader }

// Close does nothing: the body is in memory.
func (onceBody) Close() error { return nil }

// do makes the exchange and returns the body of a 200 answer, or of a 404 as
// nil. Errors are ErrUnavailable or ErrUncertain.
func (c *Client) do(ctx context.Context, r request) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var s sent
	req, err := c.build(s.trace(ctx), r)
	if err != nil {
		return nil, errors.Mark(err, ports.ErrUnavailable)
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, failure(err, r.write && !s.nothing())
	}
	defer resp.Body.Close()
	body, err := readAll(resp.Body)
	if err != nil {
		return nil, failure(err, r.write)
	}
	if resp.StatusCode == http.StatusNotFound {
		return nil, nil
	}
	if resp.StatusCode != http.StatusOK {
		err := errors.Newf("platform answered %d: %.200s", resp.StatusCode, body)
		return nil, failure(err, r.write && !refused(resp))
	}
	return body, nil
}

func (c *Client) build(ctx context.Context, r request) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.method, c.base+r.path, nil)
	if err != nil {
		return nil, err
	}
	if r.body != nil {
		req.Body = onceBody{bytes.NewReader(r.body)}
		req.ContentLength = int64(len(r.body))
		req.Header.Set("Content-Type", "application/json; charset=utf-8")
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	return req, nil
}

func readAll(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxAnswer+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxAnswer {
		return nil, errors.Newf("answer of more than %d bytes", maxAnswer)
	}
	return body, nil
}

// refused reports whether an answer proves that the request had no effect: the
// platform says so, or did not accept the request at all.
func refused(resp *http.Response) bool {
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

func failure(err error, uncertain bool) error {
	if uncertain {
		return errors.Mark(err, ports.ErrUncertain)
	}
	return errors.Mark(err, ports.ErrUnavailable)
}

// exchange posts a request as JSON and decodes the answer into resp.
func (c *Client) exchange(ctx context.Context, path string, write bool, req, resp any) error {
	body, err := json.Marshal(req)
	if err != nil {
		return errors.Mark(err, ports.ErrUnavailable)
	}
	raw, err := c.do(ctx, request{method: http.MethodPost, path: path, body: body, write: write})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, resp); err != nil {
		return failure(errors.Wrap(err, "decode answer"), write)
	}
	return nil
}
