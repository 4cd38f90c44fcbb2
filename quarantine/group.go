package quarantine

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/suspicion"
)

// Requests that are alike but for their credential are held back together once several of them have crashed
// targets, see package suspicion. Hosts tell each other which of them they have answered.

// maxAnswered bounds the answered requests of which other hosts are told in one round.
const maxAnswered = 1024

// recordGood records that a request was answered, to tell the other hosts if its group is tracked. The caller
// holds the lock.
func (q *Quarantine) recordGood(now time.Time, id suspicion.ID) {
	if q.tracker.RecordGood(now, id) && len(q.answered) < maxAnswered {
		q.answered = append(q.answered, id)
	}
}

// shareAnswered tells the other hosts which requests of tracked groups this one has answered. In a large cluster
// it would be too much for the links.
func (q *Quarantine) shareAnswered(ids []suspicion.ID) {
	if len(ids) > 0 && len(q.members()) <= maxFullBroadcast {
		broadcast(q, kindAnswered, answeredMsg{Requests: ids})
	}
}

// onAnswered takes in what other hosts answered, so that a caller who goes to another host isn't refused
// with its group.
func (q *Quarantine) onAnswered(_ context.Context, _ peer.HostID, msg answeredMsg) (struct{}, error) {
	q.locked(func(now time.Time) {
		for _, id := range msg.Requests {
			q.tracker.RecordGood(now, id)
		}
		q.notifyWaiters()
	})
	return struct{}{}, nil
}

// reportGroup reports that this host has begun to track a group of requests.
func (q *Quarantine) reportGroup(r suspicion.Record) {
	q.count.Add(countGroups, 1)
	q.log.Warn("requests alike but for their credential crash targets",
		zap.String("digest", FormatDigest(r.Digest)), zap.Int("losses", len(r.Losses)))
}
