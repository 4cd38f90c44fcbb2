package leave

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/internal/invariant"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/ports"
)

// testStop has the options of a host with calls in flight and a hook for each stage.
type testStop struct {
	opts     Options
	inFlight atomic.Int64
	trace    []string
}

func newTestStop() *testStop {
	s := &testStop{}
	s.opts = Options{Board: blackboard.New(), InFlight: func() int { return int(s.inFlight.Load()) }}
	for _, st := range []Stage{Release, Close, Handover, Announce} {
		s.opts.Hooks = append(s.opts.Hooks, Hook{Stage: st, Name: st.String(), Func: func(context.Context) error {
			s.trace = append(s.trace, st.String())
			return nil
		}})
	}
	return s
}

// An upload that takes a minute is in flight when the host is asked to stop. The host first
// reports itself as not ready; only after the upload has finished does it release anything.
func TestStopWaitsForALongUpload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestStop()
		s.inFlight.Store(1)
		s.opts.Hooks = append(s.opts.Hooks, Hook{Stage: Announce, Name: "see", Func: func(context.Context) error {
			assert.Check(t, !s.opts.Board.Status.Load().Ready())
			return nil
		}}, Hook{Stage: Release, Name: "see", Func: func(context.Context) error {
			assert.Check(t, s.inFlight.Load() == 0)
			return nil
		}})
		c := New(s.opts)
		start := time.Now()
		time.AfterFunc(time.Minute, func() { s.inFlight.Store(0) })
		go c.Stop(t.Context())
		rep := c.Stop(t.Context())
		assert.DeepEqual(t, rep, Report{})
		assert.DeepEqual(t, s.trace, []string{"announce", "handover", "close", "release"})
		took := time.Since(start)
		assert.Check(t, took >= time.Minute && took < time.Minute+time.Second, "took %v", took)
		<-c.Done()
	})
}

// A host without calls still waits for the drain period, because the platform's load
// balancer sends calls until it notices that the host is not ready.
func TestIdleHostStillDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		New(newTestStop().opts).Stop(t.Context())
		assert.Equal(t, time.Since(start), DefaultDrainPeriod)
	})
}

// Calls never end. The operator's limit, or the end of the context, cuts them off. That is
// reported, and the release hooks run all the same.
func TestLimitCutsAndStillReleases(t *testing.T) {
	for _, byLimit := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := newTestStop()
			s.inFlight.Store(2)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			if byLimit {
				s.opts.Limit = 30 * time.Second
			}
			rep := New(s.opts).Stop(ctx)
			assert.DeepEqual(t, rep, Report{Cut: true, CallsCut: 2})
			assert.Equal(t, s.trace[len(s.trace)-1], "release")
		})
	}
}

// One hook fails and one hangs, as when the store is down. The hooks after them still run,
// and the shutdown ends.
func TestHooksThatFailOrHang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestStop()
		s.opts.Hooks = append([]Hook{
			{Stage: Handover, Name: "fails", Func: func(context.Context) error { return errors.New("outage") }},
			{Stage: Handover, Name: "hangs", Func: func(context.Context) error { time.Sleep(time.Hour); return nil }},
		}, s.opts.Hooks...)
		rep := New(s.opts).Stop(t.Context())
		assert.DeepEqual(t, rep, Report{FailedHooks: []string{"fails", "hangs"}})
		assert.Equal(t, len(s.trace), 4)
		time.Sleep(time.Hour)
	})
}

func TestLeavingMarkInTheListRequestsTheStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestStop()
		c := New(s.opts)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- c.Run(ctx) }()
		view := func(st blackboard.MemberState) *blackboard.Members {
			return &blackboard.Members{Self: "me", Members: []blackboard.Member{{Host: ports.Host{ID: "me"}, State: st}}}
		}
		s.opts.Board.Members.Store(view(blackboard.MemberLive))
		synctest.Wait()
		select {
		case <-c.Requested():
			t.Error("requested too early")
		default:
		}
		s.opts.Board.Members.Store(view(blackboard.MemberLeaving))
		<-c.Requested()
		cancel()
		assert.NilError(t, <-done)
	})
}

// A call starts after the calls in flight were found to be zero, as a bug might allow. The
// shutdown must then report a violation of the invariant.
func TestCallAtTheEndBreaksTheInvariant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestStop()
		s.opts.Hooks = append(s.opts.Hooks, Hook{Stage: Release, Name: "late", Func: func(context.Context) error {
			s.inFlight.Store(1)
			return nil
		}})
		invariant.SetHandler(invariant.Panic)
		defer invariant.SetHandler(nil)
		defer func() { assert.Check(t, recover() != nil) }()
		New(s.opts).Stop(t.Context())
	})
}
