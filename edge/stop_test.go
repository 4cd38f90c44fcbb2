package edge_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/platform/standin"
)

// A request arrives on an open connection just after a stopping host has closed its listener.
// Guards against http.Server.Shutdown, which reads such a request and then closes the connection
// without a response.
func TestStopAnswersWhatArrivesAsItStopsListening(t *testing.T) {
	for _, before := range []struct {
		name  string
		calls int
	}{{"on a fresh connection", 0}, {"on a kept connection", 1}} {
		t.Run(before.name, func(t *testing.T) {
			l := newLocalCluster(t, 1)
			d := l.daemons[0]
			c := dialCaller(t, d)
			for range before.calls {
				resp, err := c.bid()
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, http.StatusOK)
			}
			d.stop()
			awaitNoListener(t, d)
			resp, err := c.bid()
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			assert.Check(t, resp.Close, "the response did not announce the close of the connection")
			<-d.done
			assert.NilError(t, d.err)
		})
	}
}

// With no request in flight, a stop must not wait for an open connection on which nothing was
// sent.
func TestStopDoesNotWaitForAnEmptyConnection(t *testing.T) {
	l := newLocalCluster(t, 1)
	d := l.daemons[0]
	dialCaller(t, d)
	begun := time.Now()
	d.stop()
	<-d.done
	assert.NilError(t, d.err)
	// The drain notice is 300 ms; the host may take 200 ms more.
	assert.Check(t, time.Since(begun) < 500*time.Millisecond, "the stop took %v", time.Since(begun))
}

// callerConn is a client that writes raw HTTP/1.1 requests on one connection.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
	sent   int
}

func dialCaller(t *testing.T, d *daemon) *callerConn {
	nc, err := net.Dial("tcp", d.CallersAddr())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	return &callerConn{Conn: nc, reader: bufio.NewReader(nc)}
}

// bid sends a mutating request and reads the response.
func (c *callerConn) bid() (*http.Response, error) {
	c.sent++
	_, err := fmt.Fprintf(c, "POST /bids/7 HTTP/1.1\r\nHost: %s\r\n%s: %s-%d\r\n%s: 2000\r\nContent-Length: 0\r\n\r\n",
		hostName, standin.HeaderRequestID, c.LocalAddr(), c.sent, standin.HeaderDeadline)
	if err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	return resp, resp.Body.Close()
}

// awaitNoListener waits until a stopping host refuses new connections.
func awaitNoListener(t *testing.T, d *daemon) {
	end := time.Now().Add(5 * time.Second)
	for time.Now().Before(end) {
		nc, err := net.DialTimeout("tcp", d.CallersAddr(), time.Second)
		if err != nil {
			return
		}
		_ = nc.Close()
		time.Sleep(time.Millisecond)
	}
	t.Fatal("still listening")
}
