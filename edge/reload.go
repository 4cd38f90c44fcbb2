package edge

import (
	"reflect"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/settings"
)

// Reload takes in settings that were read again. New seeds are used at once; any
// other change waits for the next start, as addresses and limits are fixed while
// the daemon runs.
func (d *Daemon) Reload(c settings.Change) {
	if c.Err != nil {
		d.log.Error("settings refused, the old ones stay", zap.Error(c.Err))
		return
	}
	d.watch.AddSeeds(c.Settings.Peers.Seeds)
	next, old := *c.Settings, *d.settings
	next.Peers.Seeds, old.Peers.Seeds = nil, nil
	d.log.Info("settings read again", zap.Strings("seeds", c.Settings.Peers.Seeds),
		zap.Bool("waits_for_restart", !reflect.DeepEqual(next, old)))
}
