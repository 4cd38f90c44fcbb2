package dispatch

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/upstream"
)

// Guards against targets that are handed more time than is left, because a connection took long to
// open.
func TestTargetIsHandedNoMoreTimeThanIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const deadline, opening = time.Second, 200 * time.Millisecond
		left := make(chan string, 1)
		pools := upstream.New(upstream.Options{Dial: func(context.Context, string) (net.Conn, error) {
			time.Sleep(opening)
			here, there := net.Pipe()
			go serveOnce(there, left)
			return here, nil
		}})
		defer pools.Close()
		b := newContractHarness(t, nil)
		b.d.upstream = pools
		ctx, cancel := context.WithTimeout(t.Context(), deadline)
		defer cancel()
		_, err := readReply(t, b.do(t, ctx, newContractCall(http.MethodPost)))
		assert.NilError(t, err)
		millis, err := strconv.Atoi(<-left)
		assert.NilError(t, err)
		handed := time.Duration(millis) * time.Millisecond
		assert.Check(t, handed <= deadline-opening, "handed %s", handed)
	})
}

// serveOnce answers one request on a connection and reports the time left that it was handed.
func serveOnce(conn net.Conn, left chan<- string) {
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return // the test fails without a response
	}
	left <- req.Header.Get("Left")
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok")
}
