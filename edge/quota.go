package edge

import (
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/backpressure"
	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/controller/admission"
	"github.com/cactusproxy/cactusproxy/controller/quota"
	"github.com/cactusproxy/cactusproxy/peer"
	policy "github.com/cactusproxy/cactusproxy/policy/quota"
	"github.com/cactusproxy/cactusproxy/targetapi"
)

// Defaults of the setting quotas. They are the tightest tolerance that holds when ownership of
// a quota moves from host to host.
const (
	defaultQuotaWindow   = 5 * time.Second
	defaultQuotaShare    = 0.1
	defaultQuotaRequests = 20
)

// provisionQuota creates the controller that enforces the tenants' quotas.
func (d *Daemon) provisionQuota() {
	d.quota = quota.New(quota.Deps{
		Board:        d.board,
		Link:         d.node,
		Kind:         peer.KindQuota,
		Limits:       quota.Tenants{Board: d.board},
		Subject:      quota.SubjectTenant,
		Zone:         d.settings.Host.Zone,
		OtherZones:   d.otherZones(),
		Tolerance:    d.quotaTolerance(),
		StoreWatched: d.watch.Watched,
		Metrics:      d.metrics,
		Log:          d.log,
	})
}

// provisionPicker creates the picker, which chooses targets and honors their limits and their
// requests to back off.
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

// provisionAdmission creates the admission control, which wraps the picker.
func (d *Daemon) provisionAdmission() {
	d.admission = admission.New(admission.Deps{
		Picker:     d.picker,
		Board:      d.board,
		Link:       d.node,
		ByPriority: d.settings.Admission.ByPriority,
		Seed:       d.incarnation,
		Metrics:    d.metrics,
		Log:        d.log,
	})
}

// observeSignals passes the signals of a target's response or probe to the picker.
func (d *Daemon) observeSignals(key blackboard.ServiceKey, t blackboard.Target, s targetapi.Signals) {
	d.picker.HandleSignals(key, t, s)
}

func (d *Daemon) quotaTolerance() policy.Tolerance {
	q := d.settings.Quotas
	if q.Window == "" {
		return policy.Tolerance{Window: defaultQuotaWindow, Share: defaultQuotaShare, Requests: defaultQuotaRequests}
	}
	return policy.Tolerance{Window: q.Window.Or(defaultQuotaWindow), Share: q.Share, Requests: q.Requests}
}

// otherZones returns all availability zones except this host's, sorted by name and rotated to
// start after it, so that each zone tries a different zone first.
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
