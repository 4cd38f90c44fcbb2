package httpstore

import (
	"net"
	"net/http/httptrace"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// A request is abandoned before the transport has written it. Later writes must fail, or the
// report that nothing was sent would be wrong.
func TestBlockedConnectionSendsNothing(t *testing.T) {
	a, b := net.Pipe()
	defer b.Close()
	c := &guardedConn{Conn: a}
	var s writeTracker
	s.gotConn(httptrace.GotConnInfo{Conn: c})
	assert.Check(t, s.nothingSent())
	_, err := c.Write([]byte("x"))
	assert.Check(t, errors.Is(err, errWritesBlocked))
}

func TestStartedWriteCountsAsSent(t *testing.T) {
	a, b := net.Pipe()
	assert.NilError(t, b.Close())
	c := &guardedConn{Conn: a}
	var s writeTracker
	s.gotConn(httptrace.GotConnInfo{Conn: c})
	_, err := c.Write([]byte("x"))
	assert.Check(t, err != nil)
	assert.Check(t, !s.nothingSent())
}

func TestUnknownConnectionCountsAsSent(t *testing.T) {
	var s writeTracker
	s.gotConn(httptrace.GotConnInfo{})
	assert.Check(t, !s.nothingSent())
}
