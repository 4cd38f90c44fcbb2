// Package simcluster runs complete daemons in virtual time, inside a testing/synctest bubble, for
// randomized tests. All their dependencies are fakes: the platform and the peer network are in
// memory, and the targets are simulated behind upstream.RoundTripper.
package simcluster

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/controller/probes"
	"github.com/cactusproxy/cactusproxy/internal/standin/target"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/targetapi"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// State is how a simulated target handles calls.
type State uint8

// States of a target.
const (
	Up State = iota
	// Down targets refuse connections.
	Down
	// Shedding targets reject each call before running it.
	Shedding
	// Draining targets run calls and announce that they are leaving.
	Draining
	// Aborting targets run the call and abort the connection without a response.
	Aborting
)

// Run is the execution of a call on a target.
type Run struct {
	Target ports.HostID
	Key    string
	ID     string
	At     time.Time
}

// Fleet simulates all targets. Its RoundTrip takes the place of upstream.Pools.
type Fleet struct {
	// Service is the service time of a call.
	Service time.Duration

	mu     sync.Mutex
	states map[ports.HostID]State
	runs   []Run
}

var _ upstream.RoundTripper = (*Fleet)(nil)

// NewFleet returns a fleet in which every target is up.
func NewFleet(service time.Duration) *Fleet {
	return &Fleet{Service: service, states: make(map[ports.HostID]State)}
}

// Set changes the state of a target.
func (f *Fleet) Set(id ports.HostID, s State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.states[id] = s
}

// Runs returns all runs so far, in the order in which the targets took them.
func (f *Fleet) Runs() []Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Run(nil), f.runs...)
}

// errConnection is the error of an attempt whose connection is refused or aborted.
var errConnection = errors.New("connection broken")

// connectDelay is how long it takes to establish a connection or to see it refused.
const connectDelay = time.Millisecond

// RoundTrip implements upstream.RoundTripper.
func (f *Fleet) RoundTrip(req *http.Request, t blackboard.Target, _ upstream.SendOptions) upstream.Result {
	if err := sleep(req, connectDelay); err != nil {
		return upstream.Result{Err: err}
	}
	state := f.arrive(req, t.ID)
	switch state {
	case Down:
		return upstream.Result{Err: errConnection}
	case Shedding:
		return upstream.Result{Sent: true, Response: shed()}
	}
	if err := sleep(req, f.Service); err != nil {
		return upstream.Result{Sent: true, Err: err}
	}
	if state == Aborting {
		return upstream.Result{Sent: true, Err: errConnection}
	}
	return upstream.Result{Sent: true, Response: answer(req, state)}
}

// arrive returns the target's state, and records a run if the target takes the call.
func (f *Fleet) arrive(req *http.Request, id ports.HostID) State {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.states[id]
	if s != Down && s != Shedding {
		f.runs = append(f.runs, Run{
			Target: id,
			Key:    req.Header.Get(target.HeaderKey),
			ID:     req.Header.Get(target.HeaderRequestID),
			At:     time.Now(),
		})
	}
	return s
}

// probeTime is the duration of a health probe.
const probeTime = 6 * time.Millisecond

// Probe returns the result of probing the target's health endpoint.
func (f *Fleet) Probe(ctx context.Context, t blackboard.Target, _ string) probes.Result {
	select {
	case <-time.After(probeTime):
	case <-ctx.Done():
		return probes.Result{Load: -1}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.states[t.ID]
	return probes.Result{OK: s != Down, Load: -1, Leaving: s == Draining}
}

func sleep(req *http.Request, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-req.Context().Done():
		return req.Context().Err()
	}
}

func shed() *http.Response {
	return response(http.StatusServiceUnavailable, http.Header{targetapi.HeaderShed: {targetapi.Yes}}, "")
}

// answer returns a response with the request's ID as its body, so that a caller can check that
// it got its own response.
func answer(req *http.Request, s State) *http.Response {
	h := http.Header{}
	if s == Draining {
		h.Set(targetapi.HeaderLeaving, targetapi.Yes)
	}
	return response(http.StatusOK, h, req.Header.Get(target.HeaderRequestID))
}

func response(status int, h http.Header, body string) *http.Response {
	return &http.Response{
		StatusCode:    status,
		Header:        h,
		Body:          io.NopCloser(strings.NewReader(body)),
		ContentLength: int64(len(body)),
	}
}
