package edge

import (
	"reflect"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/settings"
)

// Reload applies settings that were read again. Only new seeds take effect at once. All other
// changes need a restart, since addresses and limits are fixed while the daemon runs.
func (d *Daemon) Reload(c settings.Change) {
	if c.Err != nil {
		d.log.Error("settings rejected; keeping the current ones", zap.Error(c.Err))
		return
	}
	d.watch.AddSeeds(c.Settings.Peers.Seeds)
	next, old := *c.Settings, *d.settings
	next.Peers.Seeds, old.Peers.Seeds = nil, nil
	d.log.Info("settings read again", zap.Strings("seeds", c.Settings.Peers.Seeds),
		zap.Bool("waits_for_restart", !reflect.DeepEqual(next, old)))
}
