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
	// cover some milliseconds of network delay and scheduling on a busy machine.
	closeGrace = 60 * time.Millisecond
	// headGrace is how long after the listener has closed a header that is arriving, or a response
	// that is being sent, may take.
	headGrace = time.Second
	// arrivalGap is the longest pause in such a header. It also covers the time from when it
	// was read to when its handler begins.
	arrivalGap = 200 * time.Millisecond
	// quietDuration is how long a connection must have carried no request until it is closed.
	// Bytes that the server is just reading are for a moment neither unread nor known as read.
	quietDuration = 20 * time.Millisecond
	// idleCheckInterval is the interval of checks for requests during a stop.
	idleCheckInterval = 5 * time.Millisecond
	// idleDuration is how long there must have been no request in flight until a stop is
	// complete if there are HTTP/2 connections, whose state is unknown.
	idleDuration = 100 * time.Millisecond
)

// Callers is the HTTP server for callers.
type Callers struct {
	Server *http.Server
	// Listener is nil if the handler of Server is called in some other way.
	Listener net.Listener
	// Ahead, if not nil, is the listener on which Server accepts the requests that Pipeline starts
	// before earlier ones of their connection are answered. Server must not use TLS then.
	Ahead net.Listener
	// Pipeline may be nil, in which case the requests of a connection run one after another.
	Pipeline Pipeline
	// InFlight returns the number of requests whose response is not yet complete.
	InFlight func() int64

	conns connTracker
}

// Pipeline starts requests before earlier ones of their connection are answered. It is implemented
// by pipeline.Pipeline.
type Pipeline interface {
	// Drain stops starting requests ahead. Those that run already are answered.
	Drain()
	// Settled reports whether every request that runs ahead has reached its handler and no
	// connection carries more than one request.
	Settled() bool
}

// Serve serves callers until Close, or until the server is closed.
func (c *Callers) Serve() error {
	c.conns.attach(c.Server)
	err := c.serve()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// serve serves the listeners. With Ahead it does not call Serve, which uses TLS if Server.TLSConfig is
// set: net/http sets that field when it serves the first listener, also without TLS.
func (c *Callers) serve() error {
	listener := c.conns.listener(c.Listener)
	if c.Ahead == nil {
		return Serve(c.Server, listener)
	}
	go func() { _ = c.Server.Serve(c.conns.listener(c.Ahead)) }() // ends with the server
	if err := c.Server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close closes the listener, serves requests that still arrive on open connections for a
// short time, and waits for the requests in flight. Requests that arrive meanwhile are
// answered with "Connection: close".
//
// A connection is closed only if it carries no request: Shutdown alone would close those
// whose request is just being read, drop requests that were read completely, and close
// connections after a response that did not announce it. So it begins once every request has
// reached its handler and no response is being sent. Connections that the kernel has not
// handed over by the time the listener closes are reset; no request was read from them.
func (c *Callers) Close(ctx context.Context) error {
	if c.Listener == nil {
		return nil
	}
	if err := c.Listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	if c.Pipeline != nil {
		c.Pipeline.Drain()
	}
	c.awaitHandlers(ctx)
	c.awaitPipeline(ctx)
	closed := make(chan error, 1)
	go func() { closed <- c.Server.Shutdown(ctx) }()
	return c.waitIdle(closed)
}

// awaitHandlers waits until every request that arrives has reached its handler and no response
// is being sent, and closes the connections that carry no request.
func (c *Callers) awaitHandlers(ctx context.Context) {
	begin := time.Now()
	ctxtime.Sleep(ctx, closeGrace-quietDuration)
	for time.Since(begin) < headGrace {
		if _, waiting := c.conns.closeQuiet(time.Now()); waiting == 0 || !ctxtime.Sleep(ctx, idleCheckInterval) {
			return
		}
	}
}

// awaitPipeline waits until no connection carries more than one request. From Shutdown on, every
// response announces the close of its connection, and callers would take the requests behind it for
// unread and send them again.
func (c *Callers) awaitPipeline(ctx context.Context) {
	if c.Pipeline == nil {
		return
	}
	for !c.Pipeline.Settled() {
		c.conns.closeQuiet(time.Now())
		if !ctxtime.Sleep(ctx, idleCheckInterval) {
			return
		}
	}
}

// waitIdle waits until the server has closed all connections, or until none carries a
// request.
func (c *Callers) waitIdle(closed <-chan error) error {
	tick := time.NewTicker(idleCheckInterval)
	defer tick.Stop()
	idleSince := time.Now()
	for {
		_, multiplexed := c.conns.open()
		switch handled, _ := c.conns.closeQuiet(time.Now()); {
		case c.InFlight() > 0 || handled > 0:
			idleSince = time.Now()
		case !multiplexed || time.Since(idleSince) >= idleDuration:
			return nil
		}
		select {
		case err := <-closed:
			return err
		case <-tick.C:
		}
	}
}
