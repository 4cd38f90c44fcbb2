package config

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/declare"
)

// SnapshotName is the object that holds the snapshot.
const SnapshotName = "config/snapshot"

const (
	snapshotMagic = "cpcfg001"
	snapshotHead  = len(snapshotMagic) + 8
	// snapshotGap is the least time between two snapshots written by a host.
	snapshotGap = 2 * time.Second
	// snapshotRetry is the wait after a snapshot that could not be written.
	snapshotRetry = 5 * time.Second
)

// errDamaged says that a snapshot is not what was written.
var errDamaged = errors.New("damaged snapshot")

// encodeSnapshot returns magic, checksum of the body, body.
func encodeSnapshot(cfg *declare.Config) []byte {
	body := encode(cfg)
	out := make([]byte, 0, snapshotHead+len(body))
	out = append(out, snapshotMagic...)
	out = binary.BigEndian.AppendUint64(out, xxhash.Sum64(body))
	return append(out, body...)
}

// decodeSnapshot refuses a snapshot whose checksum does not match. Without the
// check a torn or altered object would be served as configuration by every host
// that starts from it.
func decodeSnapshot(raw []byte) (*declare.Config, error) {
	if len(raw) < snapshotHead || string(raw[:len(snapshotMagic)]) != snapshotMagic {
		return nil, errors.Wrap(errDamaged, "no header")
	}
	body := raw[snapshotHead:]
	if binary.BigEndian.Uint64(raw[len(snapshotMagic):snapshotHead]) != xxhash.Sum64(body) {
		return nil, errors.Wrap(errDamaged, "checksum differs")
	}
	cfg := new(declare.Config)
	if err := msgpack.Unmarshal(body, cfg); err != nil {
		return nil, errors.Mark(err, errDamaged)
	}
	return cfg, nil
}

// readSnapshot returns nil without an error if there is no sound snapshot or
// the object store is out: the table then has to do.
func (c *Controller) readSnapshot(ctx context.Context) (*declare.Config, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timings.ReadTimeout)
	defer cancel()
	raw, err := c.Objects.Get(ctx, SnapshotName)
	if err != nil {
		c.events.Add("snapshot_read_failed", 1)
		return nil, nil
	}
	if raw == nil {
		return nil, nil
	}
	cfg, err := decodeSnapshot(raw)
	if err != nil {
		c.refused.Add(refusedDamage, 1)
		c.Log.Error("config snapshot refused", zap.Error(err))
		return nil, nil
	}
	return cfg, nil
}

// requestSnapshot has a snapshot written soon.
func (c *Controller) requestSnapshot() {
	select {
	case c.snapshot <- struct{}{}:
	default:
	}
}

// writeSnapshots writes the configuration in force after changes. Two hosts may
// write in either order; an older snapshot only makes a start read more of the
// log, because a start always catches up to the head row.
func (c *Controller) writeSnapshots(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.snapshot:
		}
		wait := snapshotGap
		if err := c.writeSnapshot(ctx); err != nil {
			c.events.Add("snapshot_write_failed", 1)
			c.Log.Warn("config snapshot not written", zap.Error(err))
			c.requestSnapshot()
			wait = snapshotRetry
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(c.jitter(wait)):
		}
	}
}

func (c *Controller) writeSnapshot(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timings.ReadTimeout)
	defer cancel()
	return c.Objects.Put(ctx, SnapshotName, encodeSnapshot(c.Board.Config.Load()))
}
