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

// SnapshotName is the name of the snapshot in the object store.
const SnapshotName = "config/snapshot"

const (
	snapshotMagic      = "cpcfg001"
	snapshotHeaderSize = len(snapshotMagic) + 8
	// minSnapshotInterval is the minimum time between two snapshots written by a host.
	minSnapshotInterval = 2 * time.Second
	// snapshotRetryDelay is the wait after a snapshot that could not be written.
	snapshotRetryDelay = 5 * time.Second
)

// errDamagedSnapshot means that a snapshot is truncated, altered or not a snapshot.
var errDamagedSnapshot = errors.New("damaged snapshot")

// encodeSnapshot returns the magic string, the checksum of the body, and the body.
func encodeSnapshot(cfg *declare.Config) []byte {
	body := encode(cfg)
	out := make([]byte, 0, snapshotHeaderSize+len(body))
	out = append(out, snapshotMagic...)
	out = binary.BigEndian.AppendUint64(out, xxhash.Sum64(body))
	return append(out, body...)
}

// decodeSnapshot rejects a snapshot whose checksum doesn't match. Otherwise every host
// that starts from a truncated or altered object would serve it as its configuration.
func decodeSnapshot(raw []byte) (*declare.Config, error) {
	if len(raw) < snapshotHeaderSize || string(raw[:len(snapshotMagic)]) != snapshotMagic {
		return nil, errors.Wrap(errDamagedSnapshot, "no header")
	}
	body := raw[snapshotHeaderSize:]
	if binary.BigEndian.Uint64(raw[len(snapshotMagic):snapshotHeaderSize]) != xxhash.Sum64(body) {
		return nil, errors.Wrap(errDamagedSnapshot, "checksum differs")
	}
	cfg := new(declare.Config)
	if err := msgpack.Unmarshal(body, cfg); err != nil {
		return nil, errors.Mark(err, errDamagedSnapshot)
	}
	return cfg, nil
}

// readSnapshot returns the snapshot, or nil without an error if there is no valid one or
// the object store is unavailable; the caller then reads the table.
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
		c.refused.Add(refusedDamaged, 1)
		c.Log.Error("config snapshot refused", zap.Error(err))
		return nil, nil
	}
	return cfg, nil
}

// requestSnapshot asks writeSnapshots to write a snapshot.
func (c *Controller) requestSnapshot() {
	select {
	case c.snapshot <- struct{}{}:
	default:
	}
}

// writeSnapshots writes a snapshot of the active configuration whenever one is requested.
// Hosts may overwrite a newer snapshot with an older one. That only makes a starting host
// read more of the log, since it always catches up to the head row.
func (c *Controller) writeSnapshots(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.snapshot:
		}
		wait := minSnapshotInterval
		if err := c.writeSnapshot(ctx); err != nil {
			c.events.Add("snapshot_write_failed", 1)
			c.Log.Warn("config snapshot not written", zap.Error(err))
			c.requestSnapshot()
			wait = snapshotRetryDelay
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
