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
	// scanPage is the number of rows read at once.
	scanPage = 200
	// maxReplay is the number of changes up to which the log alone is read.
	maxReplay = 32
)

// errStoreBehind says that the table lost changes that are in force. A commit
// would give their sequence numbers a second meaning, and hosts that have them
// would never apply it.
var errStoreBehind = errors.New("the table is behind the configuration in force")

// errLogGap says that the log lacks a change that the head row counts.
var errLogGap = errors.New("change missing from the log")

// refreshFromStore reads the head row, catches up and confirms.
func (c *Controller) refreshFromStore(ctx context.Context) {
	asked, before := c.Now(), c.Sequence()
	head, err := c.readHead(ctx)
	if err != nil {
		c.events.Add("store_read_failed", 1)
		c.storeFailed.Store(true)
		return
	}
	c.storeSeen.Store(&asked)
	if c.isBehind(head, before) {
		c.Log.Error("store is behind this host", zap.Uint64("store", head.Sequence), zap.Uint64("sequence", before))
	}
	if err := c.catchUp(ctx, head.Sequence); err != nil {
		c.events.Add("store_catch_up_failed", 1)
		c.storeFailed.Store(true)
		c.Log.Warn("config catch-up failed", zap.Uint64("sequence", head.Sequence), zap.Error(err))
		return
	}
	c.storeFailed.Store(false)
	c.confirm(asked, evidence{how: confirmedByStore})
	if c.Sequence() > before {
		c.announce()
	}
}

// isBehind reports whether the head row is older than what this host had in
// force before it was read. Only a table that lost writes, such as one restored
// from a backup, can be. The host keeps what it has.
func (c *Controller) isBehind(head headRow, before uint64) bool {
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

// catchUp brings the host to at least the wanted sequence: from the log if it
// lacks few changes, else from the snapshot or the workspace rows first.
func (c *Controller) catchUp(ctx context.Context, want uint64) error {
	if want > c.Sequence()+maxReplay {
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
		if c.applyChange(ch, eventStore) == appliedGap {
			return errors.Wrapf(errLogGap, "before %d", ch.Sequence)
		}
	}
	if c.Sequence() == after {
		return errors.Wrapf(errLogGap, "after %d", after)
	}
	return nil
}

// load installs the snapshot, or without a sound one what the workspace rows
// say.
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
	// Asked for before, the snapshot could be of the configuration that these rows
	// replace, an empty one on a start, and be of no use to later starts.
	c.requestSnapshot()
	return nil
}

// readWorkspaces builds a configuration from the workspace rows. Rows written
// while they are being read may be newer than the head row read first, so the
// result takes its sequence from before the reading and the log is replayed
// over it up to the newest row seen: it is then whole at that sequence.
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
	return c.replayOver(ctx, cfg, newest)
}

// replayOver applies to a configuration under construction the changes up to
// the newest one that was seen in a workspace row.
func (c *Controller) replayOver(ctx context.Context, cfg *declare.Config, newest map[string]uint64) (*declare.Config, error) {
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
			cfg = withNewest(cfg, ch, newest)
		}
	}
	return cfg, nil
}

// withNewest applies a change unless the workspace row already was newer.
func withNewest(cfg *declare.Config, ch Change, newest map[string]uint64) *declare.Config {
	if newest[ch.Workspace.Name] > ch.Sequence {
		return &declare.Config{Sequence: ch.Sequence, Workspaces: cfg.Workspaces}
	}
	return withWorkspace(cfg, ch)
}
