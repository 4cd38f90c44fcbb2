package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// envRun makes the test binary run the program.
const envRun = "CACTUSPROXYD_TEST_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(envRun) != "" {
		limitDescriptors()
		os.Exit(run())
	}
	os.Exit(m.Run())
}

// Guards against a daemon that is ended by a SIGHUP which comes before it has read its settings.
func TestReloadSignalDuringTheStartDoesNotEndTheDaemon(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.jsonc")
	assert.NilError(t, syscall.Mkfifo(file, 0o600))
	cmd := exec.Command(os.Args[0], "serve", file)
	cmd.Env = append(os.Environ(), envRun+"=1")
	assert.NilError(t, cmd.Start())
	w, err := os.OpenFile(file, os.O_WRONLY, 0) // returns once the daemon reads the file
	assert.NilError(t, err)
	assert.NilError(t, cmd.Process.Signal(syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
	_, _ = w.WriteString("not settings")
	assert.NilError(t, w.Close())
	_ = cmd.Wait()
	assert.Equal(t, cmd.ProcessState.ExitCode(), exitFailed, "%s", cmd.ProcessState)
}
