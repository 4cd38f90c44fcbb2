package upstream

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusproxy/cactusproxy/policy/directpath"
	"github.com/cactusproxy/cactusproxy/policy/relays"
	"github.com/cactusproxy/cactusproxy/ports"
)

// opening is the race between the connections that are opened for one request: this host's own,
// and those through other hosts as long as none has been established.
type opening struct {
	pool *pool
	// ctx bounds the wait of the request, carried the connections through other hosts. Those go on if
	// the wait ends without a connection, so that a later request has one. stop ends them.
	ctx, carried context.Context
	stop         context.CancelFunc
	// maxConns limits this host's connections to the target; 0 means no limit.
	maxConns int
	// usable reports whether the target may still get requests.
	usable func() bool
	done   chan opened
	// ownStarted is set once this host's own connection is being opened, ownErr if that failed.
	ownStarted bool
	ownErr     error
	// targetUnreachable is set once another host, whose paths are well, did not reach the target.
	targetUnreachable bool
	// pending is the number of connections being opened.
	pending int
	// hosts are the hosts not yet tried; asked is set once they are known.
	hosts []ports.HostID
	asked bool
	// begun is when the race began.
	begun time.Time
	// err is why this host's own connection failed, or else the last one.
	err error
}

// opened is the end of opening one connection.
type opened struct {
	via  ports.HostID
	conn *conn
	err  error
}

var errNoPath = errors.New("no host reaches the target")

// connect opens a connection to the target, through another host if this host's own path fails.
// The target gets no byte of the request meanwhile, so that a connection that fails has not run it.
// An error that says nothing about the target is marked with ErrPathFault.
func (p *pool) connect(ctx context.Context, maxConns int, usable func() bool) (*conn, error) {
	if p.owner.opts.Relay == nil {
		return p.dial(ctx, "")
	}
	longest := directpath.CarriedDials * p.owner.opts.DialTimeout
	limited, cancel := context.WithTimeout(ctx, directpath.Wait(p.owner.opts.DialTimeout, p.onlyCarried()))
	defer cancel()
	carried, stop := context.WithTimeout(context.WithoutCancel(ctx), longest)
	o := &opening{pool: p, ctx: limited, carried: carried, stop: stop, maxConns: maxConns, usable: usable, done: make(chan opened, 1+relays.MaxTries), begun: time.Now(), err: errNoPath}
	c, err := o.run()
	if err != nil {
		return nil, o.markPathFault(err)
	}
	return c, nil
}

func (o *opening) run() (*conn, error) {
	headStart := time.Duration(0)
	if !o.pool.pathLost() {
		o.startOwn()
		headStart = directpath.HeadStart
	}
	next := time.NewTimer(headStart)
	defer next.Stop()
	for {
		select {
		case r := <-o.done:
			o.pending--
			if r.err == nil {
				o.finish(r)
				return r.conn, nil
			}
			o.failed(r)
			if o.turnedAway(r) {
				o.stop()
				return nil, o.err
			}
		case <-next.C:
			if len(o.done) > 0 {
				continue // a host that is short of processor time sees both late
			}
		case <-o.ctx.Done():
			if len(o.done) > 0 {
				continue // as above
			}
			go o.newRemainder().await(o.pending)
			return nil, errors.CombineErrors(o.ctx.Err(), o.err)
		}
		if !o.startNext() && o.pending == 0 {
			if o.ownStarted {
				o.stop()
				return nil, o.err
			}
			o.startOwn() // the path may be back before a check finds out
		}
		next.Reset(directpath.NextStart)
	}
}

// startOwn opens this host's own connection. It goes on after the race, since its result tells
// whether the path is well.
func (o *opening) startOwn() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(o.ctx), o.pool.owner.opts.DialTimeout)
	o.ownStarted = true
	o.pending++
	go func() {
		defer cancel()
		c, err := o.pool.dial(ctx, "")
		o.pool.noteOwn(err)
		o.done <- opened{conn: c, err: err}
	}()
}

// startNext opens a connection through the next host, and reports whether there was one.
func (o *opening) startNext() bool {
	if !o.asked {
		o.asked = true
		if o.usable() {
			o.hosts = o.pool.owner.opts.Relay.Hosts(o.pool.target)
		}
	}
	if len(o.hosts) == 0 {
		return false
	}
	via := o.hosts[0]
	o.hosts = o.hosts[1:]
	o.pending++
	go func() {
		c, err := o.pool.dial(o.carried, via)
		o.done <- opened{via: via, conn: c, err: err}
	}()
	return true
}

// turnedAway reports whether a connection failed because the target turned it away. No other host
// is asked then.
func (o *opening) turnedAway(r opened) bool {
	return r.via == "" && !o.asked && !o.pool.mayBeCut()
}

func (o *opening) failed(r opened) {
	if r.via == "" {
		o.ownErr = r.err
	}
	o.targetUnreachable = o.targetUnreachable || errors.Is(r.err, ErrTargetUnreachable)
	if r.via == "" || errors.Is(o.err, errNoPath) {
		o.err = r.err
	}
}

// finish ends the race. The connections that lost it are closed once they are open, but for this
// host's own, which is kept for the next request. If another host won, and this host's own
// connection fails, the path is lost.
func (o *opening) finish(won opened) {
	o.stop()
	if won.via != "" {
		o.pool.noteRelayed(won.conn)
	}
	if won.via != "" && o.ownErr != nil {
		o.pool.noteBypassed(won.via, o.begun, o.ownErr)
	}
	if o.pending == 0 {
		return
	}
	go func(pending int) {
		for range pending {
			switch r := <-o.done; {
			case r.err == nil && r.via == "":
				o.pool.adopt(r.conn, o.maxConns)
			case r.err == nil:
				r.conn.close()
			case r.via == "" && won.via != "":
				o.pool.noteBypassed(won.via, o.begun, r.err)
			}
		}
	}(o.pending)
}
