package probes

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/internal/fakes/endless"
)

// Guards against a target that answers probes with bytes without end and fills the memory of the host.
func TestProbeReadsLittleOfAnAnswerWithoutEnd(t *testing.T) {
	answers := endless.Heads()
	answers["body"] = endless.Body()
	for name, a := range answers {
		addr := endless.Serve(t, a)
		dial, read := endless.Dial(addr)
		probe := HTTPProber(func(ctx context.Context, t blackboard.Target) (net.Conn, error) { return dial(ctx, "tcp", t.Addr) })
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		probe(ctx, blackboard.Target{Addr: addr}, "/health")
		assert.NilError(t, ctx.Err(), name)
		cancel()
		assert.Check(t, read.Load() <= maxHealthHead+maxHealthBody+16<<10, "%s: read %d bytes", name, read.Load())
	}
}
