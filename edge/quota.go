package edge

import (
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/backpressure"
	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/controller/quota"
	"github.com/cactusproxy/cactusproxy/peer"
	policy "github.com/cactusproxy/cactusproxy/policy/quota"
	"github.com/cactusproxy/cactusproxy/targetapi"
)

// Defaults of the setting quotas: as close to the quotas as owners that follow each other
// allow.
const (
	defaultQuotaWindow   = 5 * time.Second
	defaultQuotaShare    = 0.1
	defaultQuotaRequests = 20
)

// provisionQuota makes the part that keeps tenants within their quotas.
func (d *Daemon) provisionQuota() {
	d.quota = quota.New(quota.Deps{
		Board:     d.board,
		Link:      d.node,
		Kind:      peer.KindQuota,
		Limits:    quota.Tenants{Board: d.board},
		Subject:   quota.SubjectTenant,
		Zone:      d.settings.Host.Zone,
		OtherZones:    d.otherZones(),
		Tolerance: d.quotaTolerance(),
		StoreWatched:   d.watch.Watched,
		Metrics:   d.metrics,
		Log:       d.log,
	})
}

// provisionPicker makes the part that chooses targets and keeps to what they ask.
func (d *Daemon) provisionPicker() {
	d.picker = backpressure.New(backpressure.Deps{
		Picker:    d.placer,
		Board:     d.board,
		Link:      d.node,
		Zone:      d.settings.Host.Zone,
		Watched:   d.watch.Watched,
		OnLeaving: d.markLeaving,
		Metrics:   d.metrics,
		Log:       d.log,
	})
}

// heard takes in what a target says of itself.
func (d *Daemon) heard(key blackboard.ServiceKey, t blackboard.Target, s targetapi.Signals) {
	d.picker.Heard(key, t, s)
}

func (d *Daemon) quotaTolerance() policy.Tolerance {
	q := d.settings.Quotas
	if q.Window == "" {
		return policy.Tolerance{Window: defaultQuotaWindow, Share: defaultQuotaShare, Requests: defaultQuotaRequests}
	}
	return policy.Tolerance{Window: q.Window.Or(defaultQuotaWindow), Share: q.Share, Requests: q.Requests}
}

// otherZones returns the availability zones but this host's, beginning with the one after it
// by name: each zone turns to another one first.
func (d *Daemon) otherZones() []string {
	own := d.settings.Host.Zone
	var after, before []string
	for zone := range d.settings.Zones {
		switch {
		case zone > own:
			after = append(after, zone)
		case zone < own:
			before = append(before, zone)
		}
	}
	slices.Sort(after)
	slices.Sort(before)
	return append(after, before...)
}
