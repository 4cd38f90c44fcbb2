package quarantine

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/suspicion"
	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// acquireTimeout bounds one request to an arbiter.
	acquireTimeout = 50 * time.Millisecond
	// maxArbiters is the number of arbiters asked before a host decides locally.
	maxArbiters = 2
)

// arbiters returns the hosts that arbitrate the trials of a request, in order of
// preference by rendezvous hashing: the first one decides, and each next one stands
// in if those before it are unreachable.
func (q *Quarantine) arbiters(digest uint64) []ports.HostID {
	ids := slices.Clone(q.members())
	if !slices.Contains(ids, q.link.Self()) {
		ids = append(ids, q.link.Self())
	}
	slices.SortFunc(ids, func(a, b ports.HostID) int {
		x, y := rendezvousWeight(a, digest), rendezvousWeight(b, digest)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		default:
			return 0
		}
	})
	return ids[:min(maxArbiters, len(ids))]
}

func rendezvousWeight(id ports.HostID, digest uint64) uint64 {
	h := xxhash.NewWithSeed(digest)
	_, _ = h.WriteString(string(id))
	return h.Sum64()
}

// acquireTrial requests permission to run a suspect. If no arbiter answers, this host decides
// locally. Each side of a network partition may then run a trial of its own, which is
// better than refusing requests that are most likely innocent.
func (q *Quarantine) acquireTrial(ctx context.Context, digest uint64) (suspicion.Admission, *trial) {
	t := q.newTrial(digest)
	for _, id := range q.arbiters(digest) {
		t.arbiters = append(t.arbiters, id)
		if id == q.link.Self() {
			return q.acquireLocally(digest, t), t
		}
		if a, ok := q.acquireFrom(ctx, id, digest, t); ok {
			return a, t
		}
	}
	q.count.Add(countNoArbiter, 1)
	return q.acquireLocally(digest, t), t
}

func (q *Quarantine) acquireLocally(digest uint64, t *trial) (a suspicion.Admission) {
	q.locked(func(now time.Time) {
		a = q.tracker.Admit(now, digest, ports.HostID(t.holder))
	})
	return a
}

func (q *Quarantine) acquireFrom(ctx context.Context, id ports.HostID, digest uint64, t *trial) (suspicion.Admission, bool) {
	req := acquireReq{Holder: t.holder}
	suspected := false
	q.locked(func(now time.Time) { req.Record, suspected = q.tracker.Record(now, digest) })
	if !suspected {
		return suspicion.Unrestricted, true
	}
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	resp, err := peer.Call[acquireResp](ctx, q.link, id, kindAcquireTrial, req)
	if err != nil {
		return 0, false
	}
	q.locked(func(now time.Time) {
		switch resp.Answer {
		case suspicion.Unrestricted:
			q.tracker.Drop(digest)
		case suspicion.Refused:
			q.tracker.Merge(now, resp.Record, q.completedCache.has(digest))
		}
	})
	return resp.Answer, true
}

func (q *Quarantine) onAcquireTrial(_ context.Context, _ peer.HostID, req acquireReq) (acquireResp, error) {
	var resp acquireResp
	d := req.Record.Digest
	q.locked(func(now time.Time) {
		q.tracker.Merge(now, req.Record, q.completedCache.has(d))
		resp.Answer = q.tracker.Admit(now, d, ports.HostID(req.Holder))
		if resp.Answer == suspicion.Refused {
			resp.Record, _ = q.tracker.Record(now, d)
		}
	})
	return resp, nil
}

func (q *Quarantine) onEndTrial(_ context.Context, from peer.HostID, msg endTrialMsg) (struct{}, error) {
	q.merge(from, msg.Record)
	q.locked(func(time.Time) {
		q.tracker.EndTrial(msg.Digest, ports.HostID(msg.Holder))
		q.notifyWaiters()
	})
	return struct{}{}, nil
}

func (q *Quarantine) onRecords(_ context.Context, from peer.HostID, msg recordsMsg) (struct{}, error) {
	q.merge(from, msg.Records)
	return struct{}{}, nil
}

// merge merges records from another host into the tracker and sends what follows:
//   - to a sender whose record is outdated, that the request has been cleared or that
//     targets in it did not crash;
//   - to all hosts, records of suspects that the merge has quarantined, and of groups of requests that it
//     has begun to track;
//   - to all hosts, records of requests that this host saw answered, with that
//     evidence, before others quarantine them without a trial.
func (q *Quarantine) merge(from peer.HostID, records []suspicion.Record) {
	q.markLosses(records)
	var cleared []suspicion.Digest
	var proofs []suspicion.ProofRecord
	var vindicated, quarantined, groups []suspicion.Record
	q.locked(func(now time.Time) {
		for _, r := range records {
			knownGood := q.completedCache.has(r.Digest)
			was := q.tracker.State(now, r.Digest)
			grouped := q.tracker.State(now, r.Group) != suspicion.Clean
			outdated := q.tracker.Merge(now, r, knownGood)
			if rec, ok := q.tracker.Record(now, r.Group); ok && !grouped {
				groups = append(groups, rec)
			}
			if rec, ok := q.tracker.Record(now, r.Digest); ok && was != suspicion.Quarantined && r.State == suspicion.Suspect && rec.State == suspicion.Quarantined {
				quarantined = append(quarantined, rec)
			}
			known := q.proofRecords(now, r)
			proofs = append(proofs, known...)
			if outdated && len(known) == 0 {
				cleared = append(cleared, r.Digest)
			}
			if outdated {
				continue
			}
			if rec, ok := q.tracker.Record(now, r.Digest); ok && knownGood && !r.KnownGood && len(rec.Losses) > 1 {
				vindicated = append(vindicated, rec)
			}
		}
		q.notifyWaiters()
	})
	if len(cleared) > 0 && !peer.Notify(q.link, from, kindCleared, clearedMsg{Digests: cleared}) {
		q.count.Add(countDropped, 1)
	}
	if len(proofs) > 0 && !peer.Notify(q.link, from, kindTargetsAlive, targetsAliveMsg{Proofs: proofs}) {
		q.count.Add(countDropped, 1)
	}
	for _, g := range groups {
		q.reportGroup(g)
		q.share(g)
	}
	if len(quarantined) > 0 {
		broadcast(q, kindRecords, recordsMsg{Records: quarantined})
	}
	if len(vindicated) > 0 {
		broadcast(q, kindRecords, recordsMsg{Records: vindicated})
	}
}

func (q *Quarantine) onCleared(_ context.Context, from peer.HostID, msg clearedMsg) (struct{}, error) {
	q.locked(func(now time.Time) {
		for _, d := range msg.Digests {
			q.tracker.ClearElsewhere(now, d)
		}
		q.notifyWaiters()
	})
	q.log.Debug("requests cleared by another host",
		zap.String("from", string(from)), zap.Int("requests", len(msg.Digests)))
	return struct{}{}, nil
}
