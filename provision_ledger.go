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

// Defaults of settings that are left out.
const (
	defaultKeyWindow = 24 * time.Hour
	defaultWrites    = 300.0 // transactions a second
)

func (d *Daemon) provisionLedger(options) error {
	key, err := settings.Key(d.settings.Keys.File)
	if err != nil {
		return err
	}
	opts := ledger.Options{
		Retention: d.settings.Keys.Window.Or(defaultKeyWindow),
		WriteRate: d.ownWrites(),
		PoolRate:  pooledWrites * d.writes(),
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

// pooledWrites is the part of the table's transactions that the coordinator of
// the ledger has for the claims of all hosts; the rest is shared evenly, so that
// hosts that do not reach it can claim by themselves.
const pooledWrites = 0.6

// writes is the transactions a second that claims may use, over all hosts.
func (d *Daemon) writes() float64 {
	if n := d.settings.Platform.WritesPerSecond; n > 0 {
		return float64(n)
	}
	return defaultWrites
}

// ownWrites is this host's even share. It counts all hosts that may be at work,
// so that the shares never add up to more than the whole.
func (d *Daemon) ownWrites() float64 {
	hosts := max(1, len(d.board.Members.Load().Members))
	return (1 - pooledWrites) * d.writes() / float64(hosts)
}

// ledgerCoordinator is the host that commits the claims of all hosts. No safety
// hangs on it: the table decides who holds a key.
func (d *Daemon) ledgerCoordinator() ports.HostID {
	owner, _ := rendezvous.Owner("ledger", d.board.Members.Load().Members)
	return owner.Host.ID
}

// shareWrites keeps this host's share of the table's writes as hosts come and go.
func (d *Daemon) shareWrites(ctx context.Context) error {
	return d.board.Members.Watch(ctx, func(*blackboard.Members) { d.ledger.SetWriteRate(d.ownWrites()) })
}

// releaseClaims waits until what became of every claim is written down, so that
// later sends of the same keys get their answers.
func (d *Daemon) releaseClaims(ctx context.Context) error {
	if !d.ledger.Drain(ctx) {
		return errors.New("claims not written down")
	}
	return nil
}
