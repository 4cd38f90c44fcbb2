package upstream

import (
	"context"
	"io"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Cause names how a connection failed, for logs and metrics. A target that is down refuses; a
// path that is cut times out or resets.
type Cause string

// Causes of failed connections.
const (
	CauseTimeout Cause = "timeout"
	CauseRefused Cause = "refused"
	CauseReset   Cause = "reset"
	CauseNoRoute Cause = "no-route"
	CauseClosed  Cause = "closed"
	CauseOther   Cause = "other"
	// CauseMalformed is what is no response in the protocol.
	CauseMalformed Cause = "malformed"
	// CauseRelay is the loss of the host that carried the connection.
	CauseRelay Cause = "relay-lost"
)

// ErrRelayLost marks the errors of a RelayedConn that come from the loss of the host that carries
// it, and not from the target.
var ErrRelayLost = errors.New("carrying host lost")

// CauseOf returns the cause of an error of RoundTrip, or "" for nil.
func CauseOf(err error) Cause {
	var timeout net.Error
	switch {
	case err == nil:
		return ""
	case errors.Is(err, ErrRelayLost):
		return CauseRelay
	case errors.Is(err, ErrMalformed):
		return CauseMalformed
	case errors.Is(err, syscall.ECONNREFUSED):
		return CauseRefused
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return CauseReset
	case errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		return CauseNoRoute
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, syscall.ETIMEDOUT):
		return CauseTimeout
	case errors.As(err, &timeout) && timeout.Timeout():
		return CauseTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return CauseClosed
	default:
		return CauseOther
	}
}
