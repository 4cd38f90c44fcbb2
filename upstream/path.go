package upstream

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/ports"
)

// suspectEvery limits how often the path to a target is checked because the target did not answer. A
// target that is merely slow gets one connection more in this time.
const suspectEvery = time.Second

// pathLost reports whether new connections go through other hosts at once.
func (p *pool) pathLost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.path.Lost()
}

// pathUnusable reports whether this host's own path was found unusable a moment ago.
func (p *pool) pathUnusable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.path.Unusable(time.Now())
}

// noteOwn records the result of opening a connection by this host's own path. Once the path is
// back, connections through other hosts are not used for further requests.
func (p *pool) noteOwn(err error) {
	now := time.Now()
	p.owner.noteReach(p.target.ID, err)
	p.mu.Lock()
	if err != nil {
		p.path.Failed(now)
		p.mu.Unlock()
		p.owner.paths.ownFailed.Add(1)
		return
	}
	p.answeredAt = now
	lostFor, regained := p.path.Opened(now)
	if regained {
		p.dropIdle(func(c *conn) bool { return c.via != "" })
	}
	p.mu.Unlock()
	if regained {
		p.owner.paths.regained.Add(1)
		p.owner.paths.info("path to target regained", zap.String("target", string(p.target.RunID())), zap.Duration("after", lostFor))
	}
}

// noteReach records the result of opening a connection by this host's own path.
func (p *Pools) noteReach(target ports.HostID, err error) {
	p.reachMu.Lock()
	defer p.reachMu.Unlock()
	if err != nil {
		p.reach.Failed(target)
		return
	}
	p.reach.Opened(time.Now())
}

// noAnswerSince reports whether no target has answered by this host's own paths since a time.
func (p *Pools) noAnswerSince(t time.Time) bool {
	p.reachMu.Lock()
	defer p.reachMu.Unlock()
	return p.reach.NoAnswerSince(t)
}

// onlyCarried reports whether this host's own path to the target is lost and those to others seem to
// be, too.
func (p *pool) onlyCarried() bool {
	if !p.pathLost() {
		return false
	}
	p.owner.reachMu.Lock()
	defer p.owner.reachMu.Unlock()
	return p.owner.reach.CutOff()
}

// mayBeCut reports whether a connection that was just refused or reset may be due to the path, and
// not to the target.
func (p *pool) mayBeCut() bool {
	p.owner.reachMu.Lock()
	cut := p.owner.reach.CutOff()
	p.owner.reachMu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	return cut || p.path.FailedAgain()
}

// noteBypassed records that another host reached the target and a connection that this one began at
// begun did not. On a path that loses packets, idle connections are dead too.
func (p *pool) noteBypassed(via ports.HostID, begun time.Time, cause error) {
	p.mu.Lock()
	lost := p.path.Bypassed(time.Now(), begun)
	if lost && CauseOf(cause) == CauseTimeout {
		p.dropIdle(func(c *conn) bool { return c.via == "" })
	}
	p.mu.Unlock()
	if lost && p.owner.opts.OnPathLost != nil {
		p.owner.opts.OnPathLost(p.target)
	}
	if lost {
		p.owner.paths.lost.Add(1)
		p.owner.paths.info("path to target lost", zap.String("target", string(p.target.RunID())),
			zap.String("via", string(via)), zap.String("cause", string(CauseOf(cause))))
	}
}

// noteRelayed closes a connection through a host that is leaving as soon as it is idle.
func (p *pool) noteRelayed(c *conn) {
	p.owner.paths.relayed.Add(1)
	c.relayed().OnRetire(func() { p.closeUnusable(time.Time{}) })
}

// dropIdle closes the idle connections for which drop returns true. p.mu must be held.
func (p *pool) dropIdle(drop func(*conn) bool) {
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		if !drop(c) {
			return false
		}
		p.open--
		go c.close()
		return true
	})
}

// adopt adds a connection that no request waits for to the idle ones, if there is room.
func (p *pool) adopt(c *conn, maxConns int) {
	if !p.reserve(maxConns) {
		c.close()
		return
	}
	p.release(c)
}

// answered records that the target answered.
func (p *pool) answered(c *conn) {
	if c.via != "" {
		return
	}
	now := time.Now()
	p.owner.reachMu.Lock()
	p.owner.reach.Answered(now)
	if c.used {
		p.owner.reach.AnsweredOnUsed(now, c.opened)
	}
	p.owner.reachMu.Unlock()
	c.used = true
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answeredAt = now
	p.unansweredOnUsed = 0
	p.path.Answered()
}

// checkPath opens a connection by this host's own path if a check of the lost path is due. No
// request depends on it.
func (p *pool) checkPath(o SendOptions) {
	p.mu.Lock()
	due := p.path.TakeCheck(time.Now())
	p.mu.Unlock()
	if !due || !p.reserve(o.MaxConns) {
		return
	}
	p.owner.paths.checks.Add(1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), p.owner.opts.DialTimeout)
		defer cancel()
		c, err := p.dial(ctx, "")
		p.noteOwn(err)
		p.keep(c, err)
	}()
}

// suspect checks the path in the background after a request that began at begin got no answer
// in time, if no target has answered since or this one has left several unanswered. The check
// opens a connection in the way in which requests do.
func (p *pool) suspect(begin time.Time, o SendOptions) {
	if p.owner.opts.Relay == nil {
		return
	}
	now := time.Now()
	silent := p.owner.noAnswerSince(begin)
	p.mu.Lock()
	answered := !p.answeredAt.Before(begin)
	suspected := !answered && (p.path.Unanswered() || silent)
	due := suspected && !p.path.Lost() && now.Sub(p.suspectedAt) >= suspectEvery
	if due {
		p.suspectedAt = now
	}
	p.mu.Unlock()
	if !due || !p.reserve(o.MaxConns) {
		return
	}
	p.owner.paths.suspect.Add(1)
	go func() {
		c, err := p.connect(context.Background(), o.MaxConns, func() bool { return o.Usable == nil || o.Usable() })
		p.keep(c, err)
	}()
}

// keep adds a connection for which room was reserved to the idle ones.
func (p *pool) keep(c *conn, err error) {
	if err != nil {
		p.releaseSlot()
		return
	}
	p.release(c)
}

// Dial opens a connection to a target by this host's own path or, if that fails, through another
// host. It serves connections that no request waits for, and tries one path after the other.
func (p *Pools) Dial(ctx context.Context, t blackboard.Target) (net.Conn, error) {
	begun := time.Now()
	conn, err := p.DialOwn(ctx, t)
	if err == nil || p.opts.Relay == nil {
		return conn, err
	}
	for _, via := range p.opts.Relay.Hosts(t) {
		limited, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
		relayed, relayErr := p.opts.Relay.Dial(limited, via, t)
		cancel()
		if relayErr == nil {
			p.pool(t).noteBypassed(via, begun, err)
			return relayed, nil
		}
	}
	return nil, err
}

// errPathLost means that this host's own path to a target is known to be lost.
var errPathLost = errors.New("path to target lost")

// errUnreached means that this host did not reach a target a moment ago.
var errUnreached = errors.New("target not reached a moment ago")

// DialOwn opens a connection to a target by this host's own path, for another host. It fails at
// once if the path is known to be lost, and checks it if that is due: this host may have no
// requests of its own for the target. The error is marked with ErrPathFault if it says nothing
// about the target.
func (p *Pools) DialOwn(ctx context.Context, t blackboard.Target) (net.Conn, error) {
	pl := p.pool(t)
	pl.checkPath(SendOptions{})
	if pl.pathLost() {
		return nil, p.paths.fault(errPathLost)
	}
	if pl.pathUnusable() {
		return nil, p.markPathFault(ownAttempt{target: t.ID}, errUnreached)
	}
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	conn, err := p.opts.Dial(ctx, t.Addr)
	pl.noteOwn(err)
	if err != nil {
		return nil, p.markPathFault(ownAttempt{target: t.ID, begun: begun, due: begun.Add(p.opts.DialTimeout)}, err)
	}
	return &guardedConn{Conn: conn}, nil
}
