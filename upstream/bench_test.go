package upstream

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"

	"github.com/cactusproxy/cactusproxy/blackboard"
)

// BenchmarkRoundTrip sends requests on a kept connection.
func BenchmarkRoundTrip(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	b.Cleanup(server.Close)
	pools := New(Options{})
	b.Cleanup(pools.Close)
	t := blackboard.Target{ID: "t", Addr: server.Listener.Addr().String()}
	b.ReportAllocs()
	for b.Loop() {
		req := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}, Header: http.Header{}}
		res := pools.RoundTrip(req.WithContext(context.Background()), t, SendOptions{})
		if res.Err != nil {
			b.Fatal(res.Err)
		}
		_, _ = io.Copy(io.Discard, res.Response.Body)
		_ = res.Response.Body.Close()
	}
}
