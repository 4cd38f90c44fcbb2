package probes

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/internal/fieldname"
	"github.com/cactusproxy/cactusproxy/targetapi"
)

// maxHealthHead and maxHealthBody bound the bytes read of the response of a health endpoint, which may never end.
const (
	maxHealthHead = 64 << 10
	maxHealthBody = 4 << 10
)

// Dial opens a connection to a target.
type Dial func(ctx context.Context, t blackboard.Target) (net.Conn, error)

type probedTarget struct{}

// HTTPProber returns a prober that sends a GET request to the health path.
//
// Each probe opens a connection of its own: net/http retries a GET by itself when a
// kept-alive connection fails, and the budget would count the two requests as one.
func HTTPProber(dial Dial) Prober {
	transport := &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,

		MaxResponseHeaderBytes: maxHealthHead,

		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return dial(ctx, ctx.Value(probedTarget{}).(blackboard.Target))
		},
	}
	return func(ctx context.Context, t blackboard.Target, path string) Result {
		ctx = context.WithValue(ctx, probedTarget{}, t)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Addr+path, nil)
		if err != nil {
			return Result{Load: -1}
		}
		resp, err := transport.RoundTrip(req)
		if err != nil {
			return Result{Load: -1}
		}
		defer resp.Body.Close()
		return resultOf(resp)
	}
}

// resultOf converts a response to a Result. The status alone decides whether the target takes
// calls; the body may be missing or of any type and only supplies the load. Leaving is read
// from the headers alone, because it can't be revoked and a body may be outdated or wrong.
func resultOf(resp *http.Response) Result {
	signals := targetapi.Default().Signals(resp.StatusCode, resp.Header)
	wellFormed := fieldname.AllValid(resp.Header)
	res := Result{OK: resp.StatusCode == http.StatusOK && wellFormed, Load: -1, Leaving: signals.Leaving, Limit: signals.Limit, RetryAfter: signals.RetryAfter}
	if signals.HasLoad {
		res.Load = signals.Load.Running
	}
	var h struct {
		Load *int `json:"load"`
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxHealthBody))
	if err == nil && json.Unmarshal(body, &h) == nil && h.Load != nil && *h.Load >= 0 {
		res.Load = *h.Load
	}
	return res
}
