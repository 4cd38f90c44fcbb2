package quarantine

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/suspicion"
	"github.com/cactusproxy/cactusproxy/ports"
)

// TargetReached reports that another host reached a target after its connections to this host broke.
// The path failed and not the target, so that no request is blamed for it.
func (q *Quarantine) TargetReached(target ports.RunID) {
	q.reachability.markUp(target)
	q.recordProof(func(now time.Time) (suspicion.Proof, suspicion.Withdrawal) {
		return q.tracker.RecordReached(now, target)
	})
}

// TargetAnswered reports a complete answer of a target to a probe or a request. If it shows that
// the target did not crash, the losses that it disproves are withdrawn on all hosts.
func (q *Quarantine) TargetAnswered(a suspicion.Answer) {
	if a.Sent.IsZero() || !q.active.Load() {
		return
	}
	q.recordProof(func(now time.Time) (suspicion.Proof, suspicion.Withdrawal) {
		return q.tracker.RecordAnswer(now, a)
	})
}

// recordProof records a proof of this host, and notifies the hosts that know of losses which it
// withdraws.
func (q *Quarantine) recordProof(record func(now time.Time) (suspicion.Proof, suspicion.Withdrawal)) {
	var w suspicion.Withdrawal
	var msg targetsAliveMsg
	q.locked(func(now time.Time) {
		var p suspicion.Proof
		p, w = record(now)
		q.reachability.markAlive(p.Target, p.Until)
		msg.Proofs = []suspicion.ProofRecord{p.Record(now)}
		if len(w.Affected) > 0 {
			q.notifyWaiters()
		}
	})
	if len(w.Affected) == 0 {
		return
	}
	q.count.Add(countAlive, 1)
	q.log.Info("target did not crash", zap.String("target", string(msg.Proofs[0].Target)),
		zap.Int("requests", len(w.Affected)), zap.Int("cleared", len(w.Exonerated)))
	notifyAll(q, q.recipientsOfAll(w.Affected), kindTargetsAlive, msg)
	for _, e := range w.Exonerated {
		q.count.Add(countCleared, 1)
		q.log.Info("request cleared", zap.String("digest", FormatDigest(e.Digest)))
	}
}

// recipientsOfAll returns the hosts that know of any of these requests.
func (q *Quarantine) recipientsOfAll(list []suspicion.Exonerated) []ports.HostID {
	var ids []ports.HostID
	for _, e := range list {
		for _, id := range q.recipients(e.Digest, e.Was) {
			if !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

func (q *Quarantine) onTargetsAlive(_ context.Context, from peer.HostID, msg targetsAliveMsg) (struct{}, error) {
	withdrawn := 0
	q.locked(func(now time.Time) {
		for _, r := range msg.Proofs {
			if p, ok := r.Proof(now); ok {
				q.reachability.markAlive(p.Target, p.Until)
				withdrawn += len(q.tracker.RecordProof(now, p, false).Affected)
			}
		}
		q.notifyWaiters()
	})
	q.log.Debug("targets did not crash, by another host",
		zap.String("from", string(from)), zap.Int("requests", withdrawn))
	return struct{}{}, nil
}

// proofRecords returns the proofs against losses of a record, for its sender, which does not know of
// them. The caller holds the lock.
func (q *Quarantine) proofRecords(now time.Time, r suspicion.Record) (out []suspicion.ProofRecord) {
	for _, p := range q.tracker.Proofs(now, r) {
		out = append(out, p.Record(now))
	}
	return out
}

const (
	// maxVerifications bounds the targets that a host verifies at the same time. In a failed zone of
	// a large deployment more targets are lost, which are not alive.
	maxVerifications = 16
	// maxVerificationProbes is the number of probes for one verification. A target may turn the first
	// one away because it is full.
	maxVerificationProbes = 3
	// verificationInterval is the least time between two such probes of a target.
	verificationInterval = 100 * time.Millisecond
)

// Verify checks in the background whether a target that this host lost is alive. probe sends one
// probe and returns when it has ended; TargetAnswered must be called for the answer. Probes end
// once the target's losses are disproved, by whatever answer, or maxVerificationProbes have failed.
func (q *Quarantine) Verify(target ports.RunID, probe func()) {
	begin := false
	q.locked(func(now time.Time) {
		_, lost := q.tracker.Unproven(now, target)
		begin = lost && !q.verifying[target] && len(q.verifying) < maxVerifications
		switch {
		case begin:
			q.verifying[target] = true
		case !q.verifying[target]:
			q.tracker.EndVerification(target)
		}
	})
	if begin {
		go q.verify(target, probe)
	}
}

// verify probes a target until its losses are disproved.
func (q *Quarantine) verify(target ports.RunID, probe func()) {
	for failed := 0; ; {
		provable, lost := q.provableFrom(target, failed < maxVerificationProbes)
		if !lost {
			return
		}
		time.Sleep(time.Until(provable))
		next := time.Now().Add(verificationInterval)
		if at, lost := q.unproven(target); !lost || at.After(provable) {
			continue // disproved meanwhile, or lost again
		}
		q.count.Add(countVerified, 1)
		probe()
		if at, lost := q.unproven(target); lost && !at.After(provable) {
			failed++
		}
		time.Sleep(time.Until(next))
	}
}

// unproven returns when an answer can disprove the last loss of a target, and false if there is none
// to disprove.
func (q *Quarantine) unproven(target ports.RunID) (provable time.Time, lost bool) {
	q.locked(func(now time.Time) {
		provable, lost = q.tracker.Unproven(now, target)
	})
	return provable.Add(q.proofGrace), lost
}

// provableFrom is like unproven. If there is nothing to disprove, or no probe is left, it ends the
// verification.
func (q *Quarantine) provableFrom(target ports.RunID, probesLeft bool) (provable time.Time, lost bool) {
	q.locked(func(now time.Time) {
		provable, lost = q.tracker.Unproven(now, target)
		if lost = lost && probesLeft; !lost {
			delete(q.verifying, target)
			q.tracker.EndVerification(target)
			q.notifyWaiters()
		}
	})
	return provable.Add(q.proofGrace), lost
}
