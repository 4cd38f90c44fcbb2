package upstream

import (
	"time"

	"go.uber.org/zap"
)

// maxUnansweredOnUsed is the number of requests in a row, on connections used before, without an answer
// in time after which the idle connections to a target are closed. A single one is common at a full
// target, which new connections would load further.
const maxUnansweredOnUsed = 2

// noteStalled records that a request that began at begun, on a connection that had been used before, got
// no answer in time. After maxUnansweredOnUsed of them in a row it closes the connections to the target
// that have been idle since before begun: they may have stalled as well, and each would cost a request.
//
// If several targets leave such requests unanswered, it closes those to all targets.
func (p *pool) noteStalled(begun time.Time) {
	p.owner.reachMu.Lock()
	all := p.owner.reach.Unanswered(p.target.ID, begun)
	p.owner.reachMu.Unlock()
	p.mu.Lock()
	p.unansweredOnUsed++
	own := p.unansweredOnUsed >= maxUnansweredOnUsed
	p.mu.Unlock()
	var pools []*pool
	switch {
	case all:
		pools = p.owner.all()
	case own:
		pools = []*pool{p}
	}
	closed := 0
	for _, pl := range pools {
		closed += pl.dropIdleSince(begun)
	}
	if closed > 0 {
		p.owner.paths.stalled.Add(int64(closed))
		p.owner.paths.info("closed idle connections that may have stalled", zap.String("target", string(p.target.RunID())),
			zap.Int("closed", closed), zap.Bool("all_targets", all))
	}
}

// dropIdleSince closes the connections that have been idle since before a time, and returns their number.
func (p *pool) dropIdleSince(t time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := len(p.idle)
	p.dropIdle(func(c *conn) bool { return c.idleSince.Before(t) })
	return before - len(p.idle)
}

// makeRoom reports whether another connection may be opened. At the limit it closes the one that has been
// idle longest at any target, so that connections for the next request don't use up the descriptors.
func (p *Pools) makeRoom() bool {
	if p.opts.MaxConns <= 0 || p.open.Load() < int64(p.opts.MaxConns) {
		return true
	}
	var oldest *pool
	var since time.Time
	for _, pl := range p.all() {
		if at, ok := pl.idleSince(); ok && (oldest == nil || at.Before(since)) {
			oldest, since = pl, at
		}
	}
	return oldest != nil && oldest.dropIdleSince(since.Add(1)) > 0
}

// idleSince returns since when the connection has been idle that has been so longest.
func (p *pool) idleSince() (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return time.Time{}, false
	}
	return p.idle[0].idleSince, true
}

// all returns all pools.
func (p *Pools) all() []*pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*pool, 0, len(p.pools))
	for _, pl := range p.pools {
		out = append(out, pl)
	}
	return out
}
