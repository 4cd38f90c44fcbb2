package httpstore

import (
	"net"
	"net/http/httptrace"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// A request is given up before the transport wrote it. After that the transport
// must not be able to write it any more, or "nothing was sent" would be false.
func TestSealedConnectionSendsNothing(t *testing.T) {
	a, b := net.Pipe()
	defer b.Close()
	c := &sealConn{Conn: a}
	var s sent
	s.gotConn(httptrace.GotConnInfo{Conn: c})
	assert.Check(t, s.nothing())
	_, err := c.Write([]byte("x"))
	assert.Check(t, errors.Is(err, errSealed))
}

func TestBegunWriteCountsAsSent(t *testing.T) {
	a, b := net.Pipe()
	assert.NilError(t, b.Close())
	c := &sealConn{Conn: a}
	var s sent
	s.gotConn(httptrace.GotConnInfo{Conn: c})
	_, err := c.Write([]byte("x"))
	assert.Check(t, err != nil)
	assert.Check(t, !s.nothing())
}

func TestUnknownConnectionCountsAsSent(t *testing.T) {
	var s sent
	s.gotConn(httptrace.GotConnInfo{})
	assert.Check(t, !s.nothing())
}
