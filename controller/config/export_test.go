package config

import (
	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/peer"
)

// Names that tests of other packages' harness need.
const (
	SnapshotName = snapshotName
	KindPush     = kindPush
)

// ApplyWithoutComparing breaks the rule that only higher sequences are applied.
func (c *Controller) ApplyWithoutComparing() {
	c.admit = func(_, _ uint64) bool { return true }
}

// PushTo sends a change to one host, out of the usual order.
func (c *Controller) PushTo(to peer.HostID, ch Change) {
	peer.Notify(c.Link, to, kindPush, pushMsg{Change: ch})
}

// SnapshotOf returns a configuration as it is kept in the object store.
func SnapshotOf(cfg *declare.Config) []byte { return encodeSnapshot(cfg) }
