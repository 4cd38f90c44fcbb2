package config

import (
	"context"

	"github.com/cactusproxy/cactusproxy/peer"
)

// SkipSequenceCheck makes the host apply changes without comparing sequence numbers.
func (c *Controller) SkipSequenceCheck() {
	c.accepts = func(_, _ uint64) bool { return true }
}

// BeforeInstall makes the host call f before it applies a configuration.
func (c *Controller) BeforeInstall(f func()) {
	c.accepts = func(present, next uint64) bool {
		f()
		return isNewer(present, next)
	}
}

// PushTo sends a change to one host, bypassing the tree.
func (c *Controller) PushTo(to peer.HostID, ch Change) {
	peer.Notify(c.Link, to, kindPush, pushMsg{Change: ch})
}

// ReplyWithoutAge makes the host reply like a release that doesn't report the age of its
// confirmation.
func (c *Controller) ReplyWithoutAge() {
	type oldReply struct {
		Sequence  uint64 `msgpack:"sequence"`
		Confirmed bool   `msgpack:"confirmed"`
	}
	peer.Handle(c.Link, kindHead, func(context.Context, peer.HostID, headRequest) (oldReply, error) {
		return oldReply{Sequence: c.Sequence(), Confirmed: c.Fresh()}, nil
	})
}
