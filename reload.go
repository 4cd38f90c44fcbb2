package cactusproxy

import (
	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/settings"
)

// Reload logs the result of reading the settings file again. The settings of a
// running daemon are fixed: changes take effect only after a restart.
func (d *Daemon) Reload(c settings.Change) {
	if c.Err != nil {
		d.log.Error("invalid settings; keeping the previous ones", zap.Error(c.Err))
		return
	}
	d.log.Info("settings read again; changes take effect after a restart")
}
