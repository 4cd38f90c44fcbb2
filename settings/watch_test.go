package settings

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const watchedSettings = `{
	"host": {"id": "h1", "zone": "a"},
	"callers": {"addr": "127.0.0.1:1"},
	"operators": {"addr": "127.0.0.1:2"},
	"peers": {"addr": "127.0.0.1:3", "seeds": ["127.0.0.1:9"]},
	"readiness": {"addr": "127.0.0.1:4"},
	"directory": {"store": "127.0.0.1:5"},
}`

// A signal must cause a report even if the file has not changed, and an unchanged file must not be
// reported without one. A truncated file that was written without a signal must be reported as an
// error.
func TestWatchReportsSignalsChangesAndErrors(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.jsonc")
	assert.NilError(t, os.WriteFile(file, []byte(watchedSettings), 0o600))
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		signals := make(chan os.Signal, 1)
		var got []Change
		go Watch(ctx, file, signals, func(c Change) { got = append(got, c) })
		synctest.Wait()
		signals <- syscall.SIGHUP
		synctest.Wait()
		assert.Equal(t, len(got), 1)
		assert.NilError(t, got[0].Err)
		assert.DeepEqual(t, got[0].Settings.Peers.Seeds, []string{"127.0.0.1:9"})

		time.Sleep(2 * pollInterval)
		synctest.Wait()
		assert.Equal(t, len(got), 1, "an unchanged file was reported")

		assert.NilError(t, os.WriteFile(file, []byte(watchedSettings[:40]), 0o600))
		time.Sleep(2 * pollInterval)
		synctest.Wait()
		assert.Equal(t, len(got), 2)
		assert.Check(t, got[1].Err != nil)
		cancel()
		synctest.Wait()
	})
}
