package pipeline

import (
	"context"
	"net"
	"net/http"
)

// exchange is one side of a connection as the server sees it: the caller's own connection, or the
// in-memory connection of a request that runs ahead.
type exchange interface {
	// begin records that the handler has received a request, end that it has returned or
	// panicked, and complete that the response was written and the connection stays open.
	begin(r *http.Request)
	end(returned bool)
	complete()
	// allowOvertaking lets later requests start before the current one is answered.
	allowOvertaking(r *http.Request)
	// last reports whether no later request was started, and if so prevents that any is.
	last() bool
	// ahead reports whether the request was started before earlier ones were answered.
	ahead() bool
	// onDrop calls f once if an earlier response closes the connection, so that the response to
	// this request isn't delivered.
	onDrop(f func())
}

type exchangeKey struct{}

func exchangeIn(ctx context.Context) exchange {
	x, _ := ctx.Value(exchangeKey{}).(exchange)
	return x
}

// exchangeOf returns the exchange below a server's connection, or nil.
func exchangeOf(nc net.Conn) exchange {
	for {
		if x, ok := nc.(exchange); ok {
			return x
		}
		outer, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		nc = outer.NetConn()
	}
}

// Ahead reports whether a request was started before earlier ones of its connection were answered.
func Ahead(r *http.Request) bool {
	x := exchangeIn(r.Context())
	return x != nil && x.ahead()
}

// AllowOvertaking lets later requests of the connection start before this one is answered. It is
// called for a request that may run more than once.
func AllowOvertaking(r *http.Request) {
	if x := exchangeIn(r.Context()); x != nil {
		x.allowOvertaking(r)
	}
}

// Last reports whether no later request of the connection was started, and if so prevents that any
// is. Only then may the response announce the close of the connection: callers take later requests
// for unread and send them again.
func Last(r *http.Request) bool {
	x := exchangeIn(r.Context())
	return x == nil || x.last()
}

// OnDrop calls f once, from another goroutine, if a request that runs ahead isn't answered because an
// earlier response closes the connection. The caller takes the request for unread and sends it again.
func OnDrop(r *http.Request, f func()) {
	if x := exchangeIn(r.Context()); x != nil {
		x.onDrop(f)
	}
}
