package httpstore

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/internal/fakes/endless"
)

// Guards against a store whose response never ends and fills the memory of the host.
func TestResponseWithoutEndIsGivenUp(t *testing.T) {
	for name, a := range endless.Heads() {
		addr := endless.Serve(t, a)
		c, err := New(Config{URL: "http://" + addr, Timeout: 5 * time.Second})
		assert.NilError(t, err)
		dial, read := endless.Dial(addr)
		c.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dial(ctx, network, addr)
			return &guardedConn{Conn: conn}, err
		}
		begin := time.Now()
		_, err = c.Table().Get(t.Context(), "a")
		assert.Check(t, err != nil, name)
		assert.Check(t, time.Since(begin) < 5*time.Second, name)
		assert.Check(t, read.Load() <= maxResponseHead+16<<10, "%s: read %d bytes", name, read.Load())
		c.Close()
	}
}
