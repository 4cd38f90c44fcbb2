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

const followed = `{
	"host": {"id": "h1", "zone": "a"},
	"callers": {"addr": "127.0.0.1:1"},
	"operators": {"addr": "127.0.0.1:2"},
	"peers": {"addr": "127.0.0.1:3", "seeds": ["127.0.0.1:9"]},
	"readiness": {"addr": "127.0.0.1:4"},
	"directory": {"store": "127.0.0.1:5"},
}`

// A platform rewrites the settings file and signals, or rewrites it and says
// nothing, or writes half a file. The daemon must hear of the first two, and of
// the third as an error that changes nothing.
func TestFollowReportsSignalsChangesAndFaults(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.jsonc")
	assert.NilError(t, os.WriteFile(file, []byte(followed), 0o600))
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

		time.Sleep(2 * followEvery)
		synctest.Wait()
		assert.Equal(t, len(got), 1, "an unchanged file was reported")

		assert.NilError(t, os.WriteFile(file, []byte(followed[:40]), 0o600))
		time.Sleep(2 * followEvery)
		synctest.Wait()
		assert.Equal(t, len(got), 2)
		assert.Check(t, got[1].Err != nil)
		cancel()
		synctest.Wait()
	})
}
