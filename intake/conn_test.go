package intake

import (
	"net"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/policy/connlimit"
)

// Guards against cutting off a request that is being served: the server began to watch for the end of its client before
// the handler began, so that the connection seemed to wait for the rest of the request all the while.
func TestWatchForTheEndOfTheClientIsNoWait(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	c := &Conn{Conn: server, intake: New(Options{Name: "test", MaxConns: 1, Metrics: metrics.New(), Log: zap.NewNop()})}
	s := &serverConn{Conn: c, conn: c}
	go func() { _, _ = client.Write([]byte("GET / HTTP/1.1\r\n\r\n")) }()
	_, err := s.Read(make([]byte, 4096))
	assert.NilError(t, err)
	go func() { _, _ = s.Read(make([]byte, 1)) }()
	time.Sleep(20 * time.Millisecond) // until it waits
	c.requestBegan()
	assert.Equal(t, c.state().Wait, connlimit.Nothing)
}
