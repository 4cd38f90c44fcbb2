package config

import (
	"context"

	"github.com/cactusproxy/cactusproxy/peer"
)

// ApplyWithoutComparing breaks the rule that only higher sequences are applied.
func (c *Controller) ApplyWithoutComparing() {
	c.admit = func(_, _ uint64) bool { return true }
}

// BeforeInstall has f called right before a configuration is put in force.
func (c *Controller) BeforeInstall(f func()) {
	c.admit = func(present, next uint64) bool {
		f()
		return isNewer(present, next)
	}
}

// PushTo sends a change to one host, out of the usual order.
func (c *Controller) PushTo(to peer.HostID, ch Change) {
	peer.Notify(c.Link, to, kindPush, pushMsg{Change: ch})
}

// AnswerWithoutAge makes the host answer as one of a release that does not tell the age
// of its evidence.
func (c *Controller) AnswerWithoutAge() {
	type oldReply struct {
		Sequence  uint64 `msgpack:"sequence"`
		Confirmed bool   `msgpack:"confirmed"`
	}
	peer.Handle(c.Link, kindHead, func(context.Context, peer.HostID, headRequest) (oldReply, error) {
		return oldReply{Sequence: c.Sequence(), Confirmed: c.Fresh()}, nil
	})
}
