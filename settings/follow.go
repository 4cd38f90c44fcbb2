package settings

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// followEvery is the time between two looks at a settings file that may change
// without a signal.
const followEvery = 5 * time.Second

// Change is a settings file that was read again. Either Settings or Err is set; a
// file that is wrong changes nothing.
type Change struct {
	Settings *Settings
	Err      error
}

// Watch reads a file again when a signal comes, and when its content has changed,
// until ctx ends. A signal is reported also if nothing changed.
func Watch(ctx context.Context, file string, signals <-chan os.Signal, report func(Change)) {
	tick := time.NewTicker(followEvery)
	defer tick.Stop()
	last, _ := os.ReadFile(file) // a file that can not be read is reported below
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			asked = true
		case <-tick.C:
		}
		data, err := os.ReadFile(file)
		if err != nil {
			report(Change{Err: errors.Wrap(err, "read settings")})
			continue
		}
		if !asked && bytes.Equal(data, last) {
			continue
		}
		last = data
		report(parsed(file, data))
	}
}

func parsed(file string, data []byte) Change {
	s, err := Parse(file, data)
	if err != nil {
		return Change{Err: err}
	}
	return Change{Settings: s}
}
