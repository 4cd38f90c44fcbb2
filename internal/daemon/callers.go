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
	// closeArrive is how long connections that are open when a host stops listening may
	// still bring a request. A caller sends one as soon as it has connected, so that links
	// with a delay of some milliseconds and a busy processor are what it must cover. With
	// closeSettle it is under 0.2 s, which a stop with nothing to finish may take.
	closeArrive = 60 * time.Millisecond
	// closeCheck is the time between two looks for calls in flight at the end of a
	// stop, closeSettle how long there must have been none.
	closeCheck  = 20 * time.Millisecond
	closeSettle = 100 * time.Millisecond
)

// Callers is the server that callers reach.
type Callers struct {
	Server *http.Server
	// Listener is nil if the server is not served from here.
	Listener net.Listener
	// InFlight returns the number of calls that have not had their whole reply.
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

// Close stops listening, takes what arrives on open connections for a short time, and
// waits for the calls in flight.
//
// http.Server.Shutdown closes connections on which it has just read a request, without an answer.
// So the listener is closed before it, and what comes in between is answered with
// "Connection: close". One that the kernel has not yet handed over then is reset, and was never read.
//
// Connections on which no request came are not waited for: Shutdown gives each five seconds.
func (c Callers) Close(ctx context.Context) error {
	if c.Listener == nil {
		return nil
	}
	if err := c.Listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	ctxtime.Sleep(ctx, closeArrive)
	closed := make(chan error, 1)
	go func() { closed <- c.Server.Shutdown(ctx) }()
	return c.awaitQuiet(closed)
}

// awaitQuiet waits until the server has closed all connections, or until there has been no
// call in flight for a while.
func (c Callers) awaitQuiet(closed <-chan error) error {
	tick := time.NewTicker(closeCheck)
	defer tick.Stop()
	quiet := time.Now()
	for {
		select {
		case err := <-closed:
			return err
		case now := <-tick.C:
			if c.InFlight() > 0 {
				quiet = now
			}
			if now.Sub(quiet) >= closeSettle {
				return nil
			}
		}
	}
}
