package dispatch

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// nopPicker grants immediately and keeps no state.
type nopPicker struct{ pick.Grant }

func (p nopPicker) Pick(context.Context, pick.Request) (pick.Grant, outcome.Result) {
	return nopGrant{}, outcome.Result{}
}

type nopGrant struct{}

func (nopGrant) Target() blackboard.Target { return blackboard.Target{ID: "t1"} }
func (nopGrant) Release(pick.Report)       {}

// instantUpstream responds immediately.
type instantUpstream struct{}

func (instantUpstream) RoundTrip(*http.Request, blackboard.Target, upstream.SendOptions) upstream.Result {
	return upstream.Result{Sent: true, Response: newResponse(http.StatusOK, http.NoBody, 0, nil)}
}

// BenchmarkCall measures the overhead of dispatch: one attempt with an immediate response, with
// and without a pending hedge.
func BenchmarkCall(b *testing.B) {
	for _, hedge := range []float64{0, 0.02} {
		name := "plain"
		if hedge > 0 {
			name = "hedged"
		}
		b.Run(name, func(b *testing.B) {
			board := blackboard.New()
			defer board.Close()
			d := New(Deps{Board: board, Picker: nopPicker{}, Upstream: instantUpstream{}, Metrics: metrics.New()})
			c := newCall(http.MethodGet)
			c.Workspace.HedgeRatio = hedge
			d.observe(c.Key, time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
			defer cancel()
			b.ReportAllocs()
			for b.Loop() {
				r := d.Do(ctx, c)
				_, _ = io.Copy(io.Discard, r.Body)
				_ = r.Body.Close()
			}
		})
	}
}
