// Package endless has a server whose responses never end, for tests of what reads them.
package endless

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// Answer is a response that goes on until the client closes its connection.
type Answer struct {
	// Start comes first, then Repeat again and again.
	Start, Repeat string
	// Pause is the time between two of them; 0 sends as fast as the client reads.
	Pause time.Duration
}

// Heads returns responses whose head never ends, by name.
func Heads() map[string]Answer {
	return map[string]Answer{
		"head":        {Start: "HTTP/1.1 200 OK\r\n", Repeat: "X: y\r\n"},
		"header line": {Start: "HTTP/1.1 200 OK\r\nX: ", Repeat: "y"},
		"status line": {Start: "HTTP/1.1 200 ", Repeat: "y"},
		"interim":     {Repeat: "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
		"no HTTP":     {Repeat: "y"},
		"chunk line":  {Start: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", Repeat: "y"},
	}
}

// Body returns a response whose body never ends.
func Body() Answer { return Answer{Start: "HTTP/1.1 200 OK\r\n\r\n", Repeat: "y"} }

// blockSize is how many bytes are written at once without a pause.
const blockSize = 32 << 10

// WriteTo writes the answer until the connection is closed.
func (a Answer) WriteTo(c net.Conn) {
	block := a.Repeat
	if a.Pause == 0 {
		block = strings.Repeat(a.Repeat, max(1, blockSize/len(a.Repeat)))
	}
	_, err := c.Write([]byte(a.Start))
	for err == nil {
		time.Sleep(a.Pause)
		_, err = c.Write([]byte(block))
	}
}

// T is the part of testing.TB that Serve uses.
type T interface {
	Helper()
	Cleanup(func())
	Fatal(args ...any)
}

// Serve answers each connection once its client has sent something. It returns the address.
func Serve(t T, a Answer) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = c.Read(make([]byte, 1))
				a.WriteTo(c)
			}()
		}
	}()
	return l.Addr().String()
}

// Dial returns a function that connects to an address, and the bytes read on its connections.
func Dial(addr string) (dial func(context.Context, string, string) (net.Conn, error), read *atomic.Int64) {
	read = new(atomic.Int64)
	return func(ctx context.Context, _, _ string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
		return &countingConn{Conn: c, read: read}, err
	}, read
}

type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}
