package logging

import (
	"bytes"
	stdlog "log"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against kilobytes from a target in each line of the log, and against lines beside it.
func TestLinesOfTheStandardLibraryAreShort(t *testing.T) {
	flags := stdlog.Flags()
	t.Cleanup(func() {
		stdlog.SetFlags(flags)
		stdlog.SetOutput(os.Stderr)
	})
	var b bytes.Buffer
	log, err := New(&b, "")
	assert.NilError(t, err)
	CaptureLibrary(log)
	stdlog.Printf("Unsolicited response starting with %q", strings.Repeat("y", 4096))
	assert.Equal(t, strings.Count(b.String(), "\n"), 1)
	assert.Check(t, strings.Contains(b.String(), "Unsolicited"), b.String())
	assert.Check(t, b.Len() < 400, "%d bytes", b.Len())
}
