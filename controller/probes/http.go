package probes

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/targetapi"
)

// maxHealthBody bounds the bytes read of a health endpoint's answer.
const maxHealthBody = 4 << 10

// HTTPProber returns a prober that GETs the health path.
//
// net/http repeats a GET by itself when a kept-alive connection fails, and the budget would count it
// once. So each probe has a connection of its own.
func HTTPProber() Prober {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	return func(ctx context.Context, t blackboard.Target, path string) Result {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Addr+path, nil)
		if err != nil {
			return Result{Load: -1}
		}
		resp, err := transport.RoundTrip(req)
		if err != nil {
			return Result{Load: -1}
		}
		defer resp.Body.Close()
		return read(resp)
	}
}

// read makes a result of an answer. The body may be missing or of any kind: the
// status alone says whether the target takes calls. Only the header is taken for
// the sign of leaving, which can not be taken back; what an endpoint says in its
// body may be out of date or wrong.
func read(resp *http.Response) Result {
	said := targetapi.Default().Signals(resp.StatusCode, resp.Header)
	res := Result{OK: resp.StatusCode == http.StatusOK, Load: -1, Leaving: said.Leaving, Limit: said.Limit, Rest: said.RetryAfter}
	if said.HasLoad {
		res.Load = said.Load.Running
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
