package upstream

// remainder is what is left of an opening whose request has stopped waiting. The connections that
// are still being opened go on, and the first one is kept for a later request: one through another
// host only if this host's own fails.
//
// Connections through other hosts may take longer than a request waits, on hosts that are short of
// processor time. Otherwise each request would start over, and the path would never count as lost.
type remainder struct {
	*opening
	// ownPending is set while this host's own connection is being opened, ownErr once that failed.
	ownPending bool
	ownErr     error
	// carried is a connection through another host that is kept if the own one fails.
	carried *opened
	// kept is set once a connection was kept.
	kept bool
}

// newRemainder returns the remainder of an opening that run has left.
func (o *opening) newRemainder() *remainder {
	return &remainder{opening: o, ownPending: o.ownStarted && o.ownErr == nil, ownErr: o.ownErr}
}

// await handles the results of the pending connections. If another opening to the target goes on
// already, those through other hosts end at once: a host that is short of processor time must not open
// several for each request.
func (r *remainder) await(pending int) {
	defer r.stop()
	if r.pool.beginRemainder() {
		defer r.pool.endRemainder()
	} else {
		r.stop()
	}
	for range pending {
		r.add(<-r.done)
		r.settle()
	}
}

// add handles the end of opening one connection.
func (r *remainder) add(e opened) {
	switch {
	case e.via == "":
		r.ownPending, r.ownErr = false, e.err
		if e.err == nil {
			r.keep(e)
		}
	case e.err != nil:
	case r.kept || r.carried != nil:
		e.conn.close()
	default:
		r.carried = &e
	}
}

// settle keeps or closes the connection through another host once the own one has ended.
func (r *remainder) settle() {
	if r.carried == nil || r.ownPending {
		return
	}
	if r.kept {
		r.carried.conn.close()
	} else {
		r.pool.noteRelayed(r.carried.conn)
		if r.ownErr != nil {
			r.pool.noteBypassed(r.carried.via, r.begun, r.ownErr)
		}
		r.keep(*r.carried)
	}
	r.carried = nil
}

// keep makes a connection idle and ends the others through other hosts.
func (r *remainder) keep(e opened) {
	r.kept = true
	r.pool.adopt(e.conn, r.maxConns)
	r.stop()
}

// beginRemainder reports whether an opening may go on after the wait of its request.
func (p *pool) beginRemainder() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := !p.hasRemainder
	p.hasRemainder = true
	return first
}

func (p *pool) endRemainder() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hasRemainder = false
}
