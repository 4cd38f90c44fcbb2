package logging

import (
	"bytes"
	stdlog "log"

	"go.uber.org/zap"
)

// maxLibraryLine is how many bytes are logged of a line of the standard library. Some quote kilobytes that
// a target sent.
const maxLibraryLine = 200

// CaptureLibrary writes what the standard library logs to a logger. By default it goes to standard error at once,
// where a reader that stalls delays requests.
func CaptureLibrary(log *zap.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(libraryLines{log})
}

type libraryLines struct{ log *zap.Logger }

// Write implements io.Writer for one line.
func (l libraryLines) Write(p []byte) (int, error) {
	text := bytes.TrimSpace(p)
	l.log.Warn("message of the standard library", zap.ByteString("text", text[:min(len(text), maxLibraryLine)]))
	return len(p), nil
}
