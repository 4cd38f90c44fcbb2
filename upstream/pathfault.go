package upstream

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusproxy/cactusproxy/policy/directpath"
	"github.com/cactusproxy/cactusproxy/ports"
)

// ErrPathFault marks the errors of connections and requests that failed on the way and say nothing
// about the target: the host that they went through did not reply in time, this host's own paths to
// several targets failed at once, or it had no processor time to see a response.
//
// A host that is cut off, or that has no processor time left, would otherwise back off from all
// targets, and refuse its callers while every target is well.
var ErrPathFault = errors.New("failure of the path")

// ErrTargetUnreachable marks the error of Relay.Dial if the other host, whose paths are well, does
// not reach the target either.
var ErrTargetUnreachable = errors.New("target unreachable from another host")

// ownAttempt is a connection or request by this host's own path to a target.
type ownAttempt struct {
	target ports.HostID
	begun  time.Time
	// due is when it timed out at the latest; zero if unknown.
	due time.Time
}

// markPathFault marks the error of an attempt by this host's own path with ErrPathFault if it says
// nothing about the target. It returns nil for nil.
func (p *Pools) markPathFault(a ownAttempt, err error) error {
	if err == nil || p.opts.Relay == nil || p.tellsOfTarget(a, err) {
		return err
	}
	return p.paths.fault(err)
}

// tellsOfTarget records that an attempt failed and reports whether that says something about the
// target.
func (p *Pools) tellsOfTarget(a ownAttempt, err error) bool {
	p.reachMu.Lock()
	defer p.reachMu.Unlock()
	if CauseOf(err) != CauseTimeout {
		return p.reach.FailureTellsOfTarget()
	}
	if !a.due.IsZero() && directpath.TimerLate(time.Now(), a.due) {
		return false
	}
	p.reach.TimedOut(a.target)
	return p.reach.TimeoutTellsOfTarget(a.begun)
}

// markRequestFault marks the error of a request that got no response in time, or whose carrying host was
// lost, with ErrPathFault if that says nothing about the target. Other errors are returned as they are.
func (p *pool) markRequestFault(ctx context.Context, c *conn, begun time.Time, err error) error {
	switch cause := CauseOf(err); {
	case cause == CauseRelay, cause == CauseTimeout && c.via != "":
		return p.owner.paths.fault(err)
	case cause == CauseTimeout:
		due, _ := ctx.Deadline()
		if ctx.Err() == nil {
			due = time.Time{} // the connection timed out, and not the request
		}
		return p.owner.markPathFault(ownAttempt{target: p.target.ID, begun: begun, due: due}, err)
	default:
		return err
	}
}

// markPathFault marks the error of an opening that failed with ErrPathFault if it says nothing about
// the target. Only a path of this host's own that is not lost does, and another host whose paths
// are well.
func (o *opening) markPathFault(err error) error {
	if o.targetUnreachable {
		return err
	}
	if !o.ownStarted || o.pool.pathLost() {
		return o.pool.owner.paths.fault(err)
	}
	own := o.ownErr
	if own == nil {
		own = err // the own connection is still being opened
	}
	due := o.begun.Add(o.pool.owner.opts.DialTimeout)
	if o.pool.owner.tellsOfTarget(ownAttempt{target: o.pool.target.ID, begun: o.begun, due: due}, own) {
		return err
	}
	return o.pool.owner.paths.fault(err)
}
