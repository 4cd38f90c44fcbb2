package quarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/internal/ctxtime"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/suspicion"
	"github.com/cactusproxy/cactusproxy/ports"
)

// A host that starts, or that was cut off while a request was quarantined, knows nothing of it. So each host
// compares the requests that it has quarantined with those of another host, every syncInterval and before it
// sends its first request.

const (
	// heldPage is the number of records from which on the rest is left to the next reply.
	heldPage = 256
	// heldTimeout bounds one request for records.
	heldTimeout = 100 * time.Millisecond
	// catchUpWait is how long requests wait at most after a start until other hosts have answered what they
	// hold back, catchUpPause the time between two rounds of questions.
	catchUpWait  = 120 * time.Millisecond
	catchUpPause = 20 * time.Millisecond
	// catchUpPeers is the number of hosts that are asked at once after a start, and maxCompareTries that
	// of the hosts asked later, one after the other until one answers.
	catchUpPeers    = 9
	maxCompareTries = 3
	// startOver is how long after its start a host that nobody could inform counts as informed.
	startOver = 10 * time.Second
)

// heldReq asks for the quarantined requests that the sender may lack.
type heldReq struct {
	// Sums is empty if the sender has quarantined none.
	Sums []uint64 `msgpack:"s"`
	// From is the Next of the last response.
	From int `msgpack:"f"`
}

// heldResp is the response to heldReq.
type heldResp struct {
	Records []suspicion.Record `msgpack:"r"`
	// Next is the part of the requests to ask for next, or 0 if there is no more.
	Next int `msgpack:"n"`
	// Informed is not set on a host that has just started and may itself lack requests.
	Informed bool `msgpack:"i"`
}

func (q *Quarantine) onHeld(_ context.Context, _ peer.HostID, req heldReq) (resp heldResp, _ error) {
	resp.Informed = q.informed.Load()
	if q.active.Load() {
		q.locked(func(now time.Time) { resp.Records, resp.Next = q.tracker.HeldBeyond(now, req.Sums, req.From, heldPage) })
	}
	return resp, nil
}

// fetchFrom adopts what another host holds back, and reports whether it answered and whether it is
// informed.
func (q *Quarantine) fetchFrom(ctx context.Context, id ports.HostID) (answered, informed bool) {
	var req heldReq
	for {
		q.locked(func(now time.Time) { req.Sums = q.tracker.Held(now) })
		resp, err := callHeld(ctx, q.link, id, req)
		if err != nil {
			q.count.Add(countHeldFailed, 1)
			return answered, false
		}
		answered, informed = true, resp.Informed
		q.count.Add(countHeldFetched, int64(len(resp.Records)))
		q.merge(id, resp.Records)
		if resp.Next <= req.From {
			return answered, informed
		}
		req.From = resp.Next
	}
}

func callHeld(ctx context.Context, l peer.Link, id ports.HostID, req heldReq) (heldResp, error) {
	ctx, cancel := context.WithTimeout(ctx, heldTimeout)
	defer cancel()
	return peer.Call[heldResp](ctx, l, id, kindHeld, req)
}

// others returns the other hosts in random order.
func (q *Quarantine) others() []ports.HostID {
	ids := slices.DeleteFunc(slices.Clone(q.members()), func(id ports.HostID) bool { return id == q.link.Self() })
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}

// compare adopts what another host holds back.
func (q *Quarantine) compare(ctx context.Context) {
	ids := q.others()
	for _, id := range ids[:min(maxCompareTries, len(ids))] {
		answered, informed := q.fetchFrom(ctx, id)
		if informed {
			q.informed.Store(true)
		}
		if answered {
			return
		}
	}
}

// catchUp adopts what the other hosts hold back, before this one sends its first request. It gives up after
// catchUpWait; the host goes on to compare later.
func (q *Quarantine) catchUp(ctx context.Context) {
	begin := time.Now()
	defer close(q.caughtUp)
	defer q.catchingUp.Store(false)
	ctx, cancel := context.WithTimeout(ctx, catchUpWait)
	defer cancel()
	informed := false
	for ctx.Err() == nil && !informed {
		if informed = q.askOthers(ctx); !informed {
			ctxtime.Sleep(ctx, catchUpPause)
		}
	}
	q.informed.Store(informed)
	q.log.Info("asked what other hosts hold back", zap.Bool("informed", informed),
		zap.Int64("requests", q.entries.Load()), zap.Duration("took", time.Since(begin)))
}

// askOthers asks other hosts, and reports whether this one is informed now: by the first one that was, or since all
// of them have just started. It doesn't wait for the others, some of which may be down.
func (q *Quarantine) askOthers(ctx context.Context) bool {
	type answer struct{ answered, informed bool }
	known := q.membersKnown()
	ids := q.others()
	ids = ids[:min(catchUpPeers, len(ids))]
	answers := make(chan answer, len(ids))
	for _, id := range ids {
		go func() {
			answered, informed := q.fetchFrom(ctx, id)
			answers <- answer{answered, informed}
		}()
	}
	for range ids {
		a := <-answers
		if a.informed {
			return true
		}
		known = known && a.answered
	}
	return known
}

// awaitCatchUp waits until this host knows what others hold back, or has given up. It returns false if ctx
// ends first.
func (q *Quarantine) awaitCatchUp(ctx context.Context) bool {
	select {
	case <-q.caughtUp:
		return true
	case <-ctx.Done():
		return false
	}
}
