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

// freePicker grants at once and keeps nothing.
type freePicker struct{ pick.Grant }

func (p freePicker) Pick(context.Context, pick.Request) (pick.Grant, outcome.Result) {
	return freeGrant{}, outcome.Result{}
}

type freeGrant struct{}

func (freeGrant) Target() blackboard.Target { return blackboard.Target{ID: "t1"} }
func (freeGrant) Release(pick.Report)       {}

// instant answers at once.
type instant struct{}

func (instant) RoundTrip(*http.Request, blackboard.Target, upstream.SendOptions) upstream.Result {
	return upstream.Result{Sent: true, Response: response(http.StatusOK, http.NoBody, 0, nil)}
}

// BenchmarkCall is what dispatch itself costs: one attempt that is answered at
// once, without and with a hedge in waiting.
func BenchmarkCall(b *testing.B) {
	for _, hedge := range []float64{0, 0.02} {
		name := "plain"
		if hedge > 0 {
			name = "hedged"
		}
		b.Run(name, func(b *testing.B) {
			board := blackboard.New()
			defer board.Close()
			d := New(Deps{Board: board, Picker: freePicker{}, Upstream: instant{}, Metrics: metrics.New()})
			c := call(http.MethodGet)
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
