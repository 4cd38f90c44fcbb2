package upstream

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Verify finds out in the background whether a target is alive whose connection broke under a
// request, unless other targets answer this host. If another host reaches it,
// Options.OnReached is called: the target has not crashed.
//
// A path that is reset breaks connections as the crash of a target does.
func (p *Pools) Verify(t blackboard.Target) {
	if p.opts.Relay == nil {
		return
	}
	pl := p.pool(t)
	p.reachMu.Lock()
	doubtful := p.reach.Broke(t.ID)
	p.reachMu.Unlock()
	for _, id := range doubtful {
		if id != t.ID {
			pl = p.existingPool(id)
		}
		if pl != nil && pl.beginVerification(time.Now()) {
			go pl.verify()
		}
	}
}

// existingPool returns the pool of a target, or nil if there is none.
func (p *Pools) existingPool(id ports.HostID) *pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pools[id]
}

// beginVerification reports whether to verify the target now. There is one verification at a time,
// and one in suspectEvery unless the last one found that the path is at fault.
func (p *pool) beginVerification(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.verifying || now.Before(p.nextVerification) {
		return false
	}
	p.verifying = true
	p.open++
	return true
}

// verify opens a connection to the target in the way in which requests do.
func (p *pool) verify() {
	p.owner.paths.verified.Add(1)
	c, err := p.connect(context.Background(), 0, func() bool { return true })
	reached := err == nil && c.via != ""
	p.mu.Lock()
	p.verifying = false
	if !reached {
		p.nextVerification = time.Now().Add(suspectEvery)
	}
	p.mu.Unlock()
	if reached {
		p.noteReached(c.via)
	}
	p.keep(c, err)
}

// noteReached records that the target did not crash: its connections broke on the path.
func (p *pool) noteReached(via ports.HostID) {
	p.owner.paths.info("connections to target broke on the path", zap.String("target", string(p.target.RunID())), zap.String("via", string(via)))
	if p.owner.opts.OnReached != nil {
		p.owner.opts.OnReached(p.target)
	}
}
