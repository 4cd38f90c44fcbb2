package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusproxy/cactusproxy/internal/ctxtime"
)

const (
	// closeGrace is how long connections that are open when the listener closes may still
	// deliver a request. Callers send one as soon as they have connected, so it has to
	// cover some milliseconds of network delay and scheduling on a busy machine. Together
	// with idleDuration it stays under the 0.2 s that a stop of an idle host may take.
	closeGrace = 60 * time.Millisecond
	// idleCheckInterval is the interval of checks for requests in flight during a stop,
	// idleDuration how long there must have been none for the stop to complete.
	idleCheckInterval = 20 * time.Millisecond
	idleDuration      = 100 * time.Millisecond
)

// Callers is the HTTP server for callers.
type Callers struct {
	Server *http.Server
	// Listener is nil if the handler of Server is called in some other way.
	Listener net.Listener
	// InFlight returns the number of requests whose response is not yet complete.
	InFlight func() int64
}

// Serve serves callers until Close, or until the server is closed.
func (c Callers) Serve() error {
	err := Serve(c.Server, c.Listener)
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Close closes the listener, serves requests that still arrive on open connections for a
// short time, and waits for the requests in flight.
//
// http.Server.Shutdown closes connections from which it has just read a request without
// sending a response. Close therefore closes the listener first, and requests that arrive
// before Shutdown are answered with "Connection: close". Connections that the kernel has
// not handed over by then are reset; no request was read from them.
//
// Close does not wait for connections without a request, to each of which Shutdown gives
// five seconds.
func (c Callers) Close(ctx context.Context) error {
	if c.Listener == nil {
		return nil
	}
	if err := c.Listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	ctxtime.Sleep(ctx, closeGrace)
	closed := make(chan error, 1)
	go func() { closed <- c.Server.Shutdown(ctx) }()
	return c.waitIdle(closed)
}

// waitIdle waits until the server has closed all connections, or until no request has been
// in flight for idleDuration.
func (c Callers) waitIdle(closed <-chan error) error {
	tick := time.NewTicker(idleCheckInterval)
	defer tick.Stop()
	idleSince := time.Now()
	for {
		select {
		case err := <-closed:
			return err
		case now := <-tick.C:
			if c.InFlight() > 0 {
				idleSince = now
			}
			if now.Sub(idleSince) >= idleDuration {
				return nil
			}
		}
	}
}
