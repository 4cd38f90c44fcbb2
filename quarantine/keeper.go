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
	// askTimeout bounds one question to a keeper.
	askTimeout = 50 * time.Millisecond
	// askHosts is the number of keepers asked before a host decides alone.
	askHosts = 2
)

// keepers returns the hosts that keep the trials of a request, by rendezvous
// hashing: the first one does, the next one if it can not be reached.
func (q *Quarantine) keepers(digest uint64) []ports.HostID {
	ids := slices.Clone(q.members())
	if !slices.Contains(ids, q.link.Self()) {
		ids = append(ids, q.link.Self())
	}
	slices.SortFunc(ids, func(a, b ports.HostID) int {
		x, y := weight(a, digest), weight(b, digest)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		default:
			return 0
		}
	})
	return ids[:min(askHosts, len(ids))]
}

func weight(id ports.HostID, digest uint64) uint64 {
	h := xxhash.NewWithSeed(digest)
	_, _ = h.WriteString(string(id))
	return h.Sum64()
}

// ask asks for the permission to run a suspect. If no keeper answers, this host
// decides by itself: then one trial may run on each side of a partition, which
// is better than refusing requests that are most likely innocent.
func (q *Quarantine) ask(ctx context.Context, digest uint64) (suspicion.Admission, *trial) {
	t := q.newTrial()
	for _, id := range q.keepers(digest) {
		t.keepers = append(t.keepers, id)
		if id == q.link.Self() {
			return q.askSelf(digest, t), t
		}
		if a, ok := q.askKeeper(ctx, id, digest, t); ok {
			return a, t
		}
	}
	q.count.Add(countNoKeeper, 1)
	return q.askSelf(digest, t), t
}

func (q *Quarantine) askSelf(digest uint64, t *trial) (a suspicion.Admission) {
	q.locked(func(now time.Time) {
		a = q.tracker.Admit(now, digest, ports.HostID(t.holder))
	})
	return a
}

func (q *Quarantine) askKeeper(ctx context.Context, id ports.HostID, digest uint64, t *trial) (suspicion.Admission, bool) {
	req := askReq{Holder: t.holder}
	suspected := false
	q.locked(func(now time.Time) { req.Record, suspected = q.tracker.Record(now, digest) })
	if !suspected {
		return suspicion.Unrestricted, true
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	resp, err := peer.Call[askResp](ctx, q.link, id, kindAsk, req)
	if err != nil {
		return 0, false
	}
	q.locked(func(now time.Time) {
		switch resp.Answer {
		case suspicion.Unrestricted:
			q.tracker.Clear(now, digest)
		case suspicion.Refused:
			q.tracker.Merge(now, resp.Record, q.answered.has(digest))
		}
	})
	return resp.Answer, true
}

func (q *Quarantine) onAsk(_ context.Context, _ peer.HostID, req askReq) (askResp, error) {
	var resp askResp
	d := req.Record.Digest
	q.locked(func(now time.Time) {
		q.tracker.Merge(now, req.Record, q.answered.has(d))
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
		q.wake()
	})
	return struct{}{}, nil
}

func (q *Quarantine) onRecords(_ context.Context, from peer.HostID, msg recordsMsg) (struct{}, error) {
	q.merge(from, msg.Records)
	return struct{}{}, nil
}

// merge takes in records, answers a host that is behind, and vouches for a
// request that this host saw answered while others may quarantine it untried.
func (q *Quarantine) merge(from peer.HostID, records []suspicion.Record) {
	q.lostWith(records)
	var behind []suspicion.Digest
	var vouch, found []suspicion.Record
	q.locked(func(now time.Time) {
		for _, r := range records {
			good := q.answered.has(r.Digest)
			was := q.tracker.State(now, r.Digest)
			late := q.tracker.Merge(now, r, good)
			if rec, ok := q.tracker.Record(now, r.Digest); ok && was != suspicion.Quarantined && r.State == suspicion.Suspect && rec.State == suspicion.Quarantined {
				found = append(found, rec)
			}
			if late {
				behind = append(behind, r.Digest)
				continue
			}
			if rec, ok := q.tracker.Record(now, r.Digest); ok && good && !r.KnownGood && len(rec.Losses) > 1 {
				vouch = append(vouch, rec)
			}
		}
		q.wake()
	})
	if len(behind) > 0 && !peer.Notify(q.link, from, kindCleared, clearedMsg{Digests: behind}) {
		q.count.Add(countDropped, 1)
	}
	if len(found) > 0 {
		broadcast(q, kindRecords, recordsMsg{Records: found})
	}
	if len(vouch) > 0 {
		broadcast(q, kindRecords, recordsMsg{Records: vouch})
	}
}

func (q *Quarantine) onCleared(_ context.Context, from peer.HostID, msg clearedMsg) (struct{}, error) {
	q.locked(func(now time.Time) {
		for _, d := range msg.Digests {
			q.tracker.Clear(now, d)
		}
		q.wake()
	})
	q.log.Debug("requests cleared by another host", zap.String("from", string(from)), zap.Int("requests", len(msg.Digests)))
	return struct{}{}, nil
}
