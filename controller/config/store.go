package config

import (
	"context"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// scanPage is the number of rows per page of a scan.
	scanPage = 200
	// maxLogReplay is the number of missing changes up to which a host reads only the
	// log.
	maxLogReplay = 32
)

// errStoreBehind means that the table has lost changes that are active on this host. A
// commit would reuse their sequence numbers, and hosts that have the lost changes would
// never apply it.
var errStoreBehind = errors.New("the table is behind the configuration in force")

// errLogGap means that the log lacks a change that the head row includes.
var errLogGap = errors.New("change missing from the log")

// refreshFromStore reads the head row, catches up with it and records a confirmation.
func (c *Controller) refreshFromStore(ctx context.Context) {
	askedAt, before := c.Now(), c.Sequence()
	head, err := c.readHead(ctx)
	if err != nil {
		c.events.Add("store_read_failed", 1)
		c.storeFailed.Store(true)
		return
	}
	c.storeReadAt.Store(&askedAt)
	if c.isStoreBehind(head, before) {
		c.Log.Error("store is behind this host", zap.Uint64("store", head.Sequence), zap.Uint64("sequence", before))
	}
	if err := c.catchUp(ctx, head.Sequence); err != nil {
		c.events.Add("store_catch_up_failed", 1)
		c.storeFailed.Store(true)
		c.Log.Warn("config catch-up failed", zap.Uint64("sequence", head.Sequence), zap.Error(err))
		return
	}
	c.storeFailed.Store(false)
	c.confirm(askedAt, confirmation{source: confirmedByStore})
	if c.Sequence() > before {
		c.announce()
	}
}

// isStoreBehind reports whether the head row is older than the configuration that this
// host had before reading it. This only happens if the table lost writes, for example
// when it was restored from a backup. The host keeps its configuration.
func (c *Controller) isStoreBehind(head headRow, before uint64) bool {
	if head.Sequence >= before {
		return false
	}
	c.refused.Add("store_behind", 1)
	return true
}

func (c *Controller) readHead(ctx context.Context) (headRow, error) {
	rows, err := c.get(ctx, keyHead)
	if err != nil {
		return headRow{}, err
	}
	return decodeRow[headRow](rows[0])
}

func (c *Controller) get(ctx context.Context, keys ...string) ([]ports.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timings.ReadTimeout)
	defer cancel()
	return c.Table.Get(ctx, keys...)
}

func (c *Controller) scan(ctx context.Context, prefix, after string) ([]ports.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timings.ReadTimeout)
	defer cancel()
	return c.Table.Scan(ctx, prefix, after, scanPage)
}

// catchUp brings the host to at least the given sequence number. If few changes are
// missing it reads the log, otherwise it loads the snapshot or the workspace rows first.
func (c *Controller) catchUp(ctx context.Context, want uint64) error {
	if want > c.Sequence()+maxLogReplay {
		if err := c.load(ctx); err != nil {
			return err
		}
	}
	for c.Sequence() < want {
		if err := c.replayLog(ctx); err != nil {
			return err
		}
	}
	return nil
}

// replayLog applies the next page of the log.
func (c *Controller) replayLog(ctx context.Context) error {
	after := c.Sequence()
	rows, err := c.scan(ctx, prefixLog, keyLog(after))
	if err != nil {
		return err
	}
	for _, r := range rows {
		ch, err := decodeRow[Change](r)
		if err != nil {
			return err
		}
		if c.applyChange(ch, eventStore) == applyGap {
			return errors.Wrapf(errLogGap, "before %d", ch.Sequence)
		}
	}
	if c.Sequence() == after {
		return errors.Wrapf(errLogGap, "after %d", after)
	}
	return nil
}

// load installs the snapshot or, if there is no valid newer one, the contents of the
// workspace rows.
func (c *Controller) load(ctx context.Context) error {
	cfg, err := c.readSnapshot(ctx)
	if err != nil {
		return err
	}
	if cfg != nil && cfg.Sequence > c.Sequence() {
		c.installConfig(cfg, eventStore)
		return nil
	}
	cfg, err = c.readWorkspaces(ctx)
	if err != nil {
		return err
	}
	c.installConfig(cfg, eventStore)
	// The snapshot must be requested after the installation. Otherwise the writer could
	// store the configuration that these rows replace, which is empty on a start and of
	// no use to hosts that start later.
	c.requestSnapshot()
	return nil
}

// readWorkspaces builds a configuration from the workspace rows. Rows written during the
// scan may be newer than the head row read before it. The result therefore starts from
// the sequence number of that head row, and the log is replayed up to the newest change
// found in a workspace row, which makes the result consistent at that sequence number.
func (c *Controller) readWorkspaces(ctx context.Context) (*declare.Config, error) {
	head, err := c.readHead(ctx)
	if err != nil {
		return nil, err
	}
	cfg := &declare.Config{Sequence: head.Sequence}
	newest := make(map[string]uint64)
	for after := ""; ; {
		rows, err := c.scan(ctx, prefixWorkspaces, after)
		if err != nil {
			return nil, err
		}
		for _, r := range rows {
			ch, err := decodeRow[Change](r)
			if err != nil {
				return nil, err
			}
			newest[ch.Workspace.Name] = ch.Sequence
			cfg.Workspaces = append(cfg.Workspaces, ch.Workspace)
		}
		if len(rows) < scanPage {
			break
		}
		after = rows[len(rows)-1].Key
	}
	slices.SortFunc(cfg.Workspaces, func(a, b declare.Workspace) int { return strings.Compare(a.Name, b.Name) })
	return c.replayOnto(ctx, cfg, newest)
}

// replayOnto applies the log to a configuration under construction, up to the newest
// change found in a workspace row.
func (c *Controller) replayOnto(ctx context.Context, cfg *declare.Config, newest map[string]uint64) (*declare.Config, error) {
	var want uint64
	for _, seq := range newest {
		want = max(want, seq)
	}
	for cfg.Sequence < want {
		rows, err := c.scan(ctx, prefixLog, keyLog(cfg.Sequence))
		if err != nil {
			return nil, err
		}
		if len(rows) == 0 {
			return nil, errors.Wrapf(errLogGap, "after %d", cfg.Sequence)
		}
		for _, r := range rows {
			ch, err := decodeRow[Change](r)
			if err != nil {
				return nil, err
			}
			if ch.Sequence != cfg.Sequence+1 {
				return nil, errors.Wrapf(errLogGap, "before %d", ch.Sequence)
			}
			cfg = withChangeUnlessNewer(cfg, ch, newest)
		}
	}
	return cfg, nil
}

// withChangeUnlessNewer applies a change unless the workspace row already held a newer
// one.
func withChangeUnlessNewer(cfg *declare.Config, ch Change, newest map[string]uint64) *declare.Config {
	if newest[ch.Workspace.Name] > ch.Sequence {
		return &declare.Config{Sequence: ch.Sequence, Workspaces: cfg.Workspaces}
	}
	return withWorkspace(cfg, ch)
}
