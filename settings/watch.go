package settings

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// pollInterval is the interval at which the settings file is polled for changes.
const pollInterval = 5 * time.Second

// Change is the result of reading the settings file again. Either Settings or Err is set. After an
// error the previous settings stay in force.
type Change struct {
	Settings *Settings
	Err      error
}

// Watch reads a settings file again on each signal, and when its content has changed, until
// ctx is done. It calls report with each result. A signal causes a report even if the file has
// not changed.
func Watch(ctx context.Context, file string, signals <-chan os.Signal, report func(Change)) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	last, _ := os.ReadFile(file) // an unreadable file is reported below
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signaled = true
		case <-tick.C:
		}
		data, err := os.ReadFile(file)
		if err != nil {
			report(Change{Err: errors.Wrap(err, "read settings")})
			continue
		}
		if !signaled && bytes.Equal(data, last) {
			continue
		}
		last = data
		report(parseChange(file, data))
	}
}

func parseChange(file string, data []byte) Change {
	s, err := Parse(file, data)
	if err != nil {
		return Change{Err: err}
	}
	return Change{Settings: s}
}
