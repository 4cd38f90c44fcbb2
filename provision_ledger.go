package cactusproxy

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/ledger"
	"github.com/cactusproxy/cactusproxy/policy/rendezvous"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/settings"
)

// Defaults for omitted settings.
const (
	defaultKeyWindow = 24 * time.Hour
	defaultWriteRate = 300.0 // transactions per second
)

func (d *Daemon) provisionLedger(options) error {
	key, err := settings.Key(d.settings.Keys.File)
	if err != nil {
		return err
	}
	opts := ledger.Options{
		Retention: d.settings.Keys.Window.Or(defaultKeyWindow),
		WriteRate: d.hostWriteRate(),
		PoolRate:  pooledWriteShare * d.claimWriteRate(),
	}
	if key != nil {
		opts.ClusterKeys = [][]byte{key}
	}
	d.ledger = ledger.New(ledger.Deps{
		Table:       d.platform.Table,
		Link:        d.link,
		Host:        d.id(),
		Incarnation: d.incarnation,
		Metrics:     d.metrics,
		Log:         d.log,
		Coordinator: d.ledgerCoordinator,
		Options:     opts,
	})
	return nil
}

// pooledWriteShare is the share of the table's transactions reserved for the ledger
// coordinator, which commits claims on behalf of all hosts. The rest is divided
// evenly among the hosts, so that a host that cannot reach the coordinator can still
// commit claims by itself.
const pooledWriteShare = 0.6

// claimWriteRate returns the transactions per second that claims may use, summed
// over all hosts.
func (d *Daemon) claimWriteRate() float64 {
	if n := d.settings.Platform.WritesPerSecond; n > 0 {
		return float64(n)
	}
	return defaultWriteRate
}

// hostWriteRate returns this host's even share of the claim write rate, in
// transactions per second. It counts every member, live or not, so that the shares
// never add up to more than the total.
func (d *Daemon) hostWriteRate() float64 {
	hosts := max(1, len(d.board.Members.Load().Members))
	return (1 - pooledWriteShare) * d.claimWriteRate() / float64(hosts)
}

// ledgerCoordinator returns the host that commits claims on behalf of all hosts.
// Correctness does not depend on hosts agreeing on it: the table decides which host
// holds a key.
func (d *Daemon) ledgerCoordinator() ports.HostID {
	owner, _ := rendezvous.Owner("ledger", d.board.Members.Load().Members)
	return owner.Host.ID
}

// updateWriteRate adjusts this host's share of the table's writes whenever the
// membership changes, until ctx ends.
func (d *Daemon) updateWriteRate(ctx context.Context) error {
	return d.board.Members.Watch(ctx, func(*blackboard.Members) {
		d.ledger.SetWriteRate(d.hostWriteRate())
	})
}

// releaseClaims waits until the result of every claim is stored, so that later
// requests with the same keys get the stored responses.
func (d *Daemon) releaseClaims(ctx context.Context) error {
	if !d.ledger.Drain(ctx) {
		return errors.New("results of claims were not all stored before the stop timed out")
	}
	return nil
}
