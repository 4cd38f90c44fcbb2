package cactusproxy

import (
	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/settings"
)

// Reload takes note of settings that were read again. They are fixed while the
// daemon runs: a change waits for the next start, which the log says.
func (d *Daemon) Reload(c settings.Change) {
	if c.Err != nil {
		d.log.Error("settings refused, the old ones stay", zap.Error(c.Err))
		return
	}
	d.log.Info("settings read again; changes wait for the next start")
}
