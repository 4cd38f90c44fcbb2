package upstream

import (
	"time"

	"go.uber.org/zap"
)

// maxUnansweredOnUsed is the number of requests in a row, on connections used before, without an answer
// in time after which the idle connections to a target are closed. A full target leaves one unanswered
// now and then, and new connections cost it more.
const maxUnansweredOnUsed = 2

// noteStalled closes the idle connections to the target that have not carried an answer since a request
// began that got none in time, on a connection that had been used before, if that happened twice. Such
// connections may carry nothing any more, and each would cost a request.
//
// If several targets leave such requests unanswered, the same holds for the connections to all targets.
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
