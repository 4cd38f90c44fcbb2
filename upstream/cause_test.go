package upstream

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// Guards against a cut path that logs and metrics show as a target that is down.
func TestCausesTellACutPathFromATargetThatIsDown(t *testing.T) {
	for want, err := range map[Cause]error{
		"":           nil,
		CauseTimeout: &net.OpError{Op: "read", Err: syscall.ETIMEDOUT},
		CauseRefused: &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED},
		CauseReset:   errors.Wrap(syscall.ECONNRESET, "read"),
		CauseRelay:   errors.Mark(syscall.ECONNRESET, ErrRelayLost),
		CauseNoRoute: syscall.EHOSTUNREACH,
		CauseClosed:  io.ErrUnexpectedEOF,
		CauseOther:   errors.New("malformed response"),
	} {
		assert.Equal(t, CauseOf(err), want)
	}
	assert.Equal(t, CauseOf(context.DeadlineExceeded), CauseTimeout)
}
