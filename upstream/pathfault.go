package upstream

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusproxy/cactusproxy/ports"
)

// ErrPathFault marks the errors of connections and requests that failed on the way and say nothing
// about the target: the host that they went through did not reply in time, or this host's own paths
// to several targets failed at once.
//
// A host that is cut off, or that has no processor time left, would otherwise back off from all
// targets, and refuse its callers while every target is well.
var ErrPathFault = errors.New("failure of the path")

// ErrTargetUnreachable marks the error of Relay.Dial if the other host, whose paths are well, does
// not reach the target either.
var ErrTargetUnreachable = errors.New("target unreachable from another host")

// markPathFault marks the error of a connection or request by this host's own path that began at
// begun with ErrPathFault if it says nothing about the target. It returns nil for nil.
func (p *Pools) markPathFault(target ports.HostID, begun time.Time, err error) error {
	if err == nil || p.opts.Relay == nil || p.tellsOfTarget(target, begun, err) {
		return err
	}
	return errors.Mark(err, ErrPathFault)
}

// tellsOfTarget records a failure of this host's own path and reports whether it says something
// about the target.
func (p *Pools) tellsOfTarget(target ports.HostID, begun time.Time, err error) bool {
	p.reachMu.Lock()
	defer p.reachMu.Unlock()
	if CauseOf(err) != CauseTimeout {
		return p.reach.FailureTellsOfTarget()
	}
	p.reach.TimedOut(target)
	return p.reach.TimeoutTellsOfTarget(begun)
}

// markRequestFault marks the error of a request that got no response in time, or whose carrying host was
// lost, with ErrPathFault if that says nothing about the target. Other errors are returned as they are.
func (p *pool) markRequestFault(c *conn, begun time.Time, err error) error {
	switch cause := CauseOf(err); {
	case cause == CauseRelay, cause == CauseTimeout && c.via != "":
		return errors.Mark(err, ErrPathFault)
	case cause == CauseTimeout:
		return p.owner.markPathFault(p.target.ID, begun, err)
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
		return errors.Mark(err, ErrPathFault)
	}
	own := o.ownErr
	if own == nil {
		own = err // the own connection is still being opened
	}
	if o.pool.owner.tellsOfTarget(o.pool.target.ID, o.begun, own) {
		return err
	}
	return errors.Mark(err, ErrPathFault)
}
