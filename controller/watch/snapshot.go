package watch

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/watchers"
	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// maxDifferences is the number of differences to other hosts' states that are made and encoded at
	// a time. Each takes some megabytes with thousands of targets, and hundreds of hosts may ask for
	// one at once.
	maxDifferences = 2
	// differenceTimeout is how long a request waits for its turn: by then its sender has asked others.
	differenceTimeout = catchUpTimeout
)

var errTooManyRequests = errors.New("too many hosts ask for state")

// onSync replies with the state that another host lacks.
func (c *Controller) onSync(ctx context.Context, _ ports.HostID, req syncRequest) (syncReply, error) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteHost(req.Host)
	c.noteVersion(req.Version)
	reply := c.replyWithoutChanges(now)
	if reply.Fresh && req.Refer && c.useRelays() {
		return syncReply{Fresh: true, Referrals: c.referrals(req.Host)}, nil
	}
	if req.lacksAll() {
		reply.Changes = c.sharedSnapshot(now)
		return reply, nil
	}
	c.mu.Unlock()
	changes, err := c.encodeDifference(ctx, req)
	c.mu.Lock()
	reply.Changes = changes
	return reply, err
}

// lacksAll reports whether a host has no state yet.
func (r syncRequest) lacksAll() bool {
	return r.Version == 0 && !slices.ContainsFunc(r.Buckets, func(b uint64) bool { return b != 0 })
}

// replyWithoutChanges returns a reply that has yet to get the changes. c.mu must be held.
//
// It has no list of hosts while this host is not up to date: when all hosts start together, each asks
// the seeds every 20 ms.
func (c *Controller) replyWithoutChanges(now time.Time) syncReply {
	fresh := len(watchers.FreshWatchers(now, c.heartbeats)) > 0 || c.watch != nil && c.watch.storeOK()
	age := c.replica.messageAge(now)
	if !fresh || !c.state.HasTargets() || c.state.Config() == nil {
		return syncReply{Age: age}
	}
	return syncReply{Fresh: true, Hosts: peer.Pack(c.hostList()), Age: age}
}

// encodeDifference returns the changes for a host that has a part of the state.
func (c *Controller) encodeDifference(ctx context.Context, req syncRequest) (packedChanges, error) {
	waiting, cancel := context.WithTimeout(ctx, differenceTimeout)
	defer cancel()
	if c.differences.Acquire(waiting, 1) != nil {
		c.count.differencesRefused.Add(1)
		return packedChanges{}, errTooManyRequests
	}
	defer c.differences.Release(1)
	c.mu.Lock()
	difference := c.state.Snapshot(time.Now(), req.Version, req.Buckets)
	c.mu.Unlock()
	packed, err := peer.PackOnce(difference)
	packed.Value = directory.Changes{} // only the encoded form is sent
	return packed, err
}

// encodedSnapshot is a snapshot encoded for hosts that have no state, with the state it was made
// from.
type encodedSnapshot struct {
	version, digest uint64
	evacuations     uint64
	newest          directory.Revision
	// expiry is when the next hold on a removed target ends; zero if none is held. The holds are
	// relative to encodedAt.
	expiry    time.Time
	encodedAt time.Time
	changes   packedChanges
}

// heldSnapshotTTL is how long a snapshot with held targets is reused, which lengthens the holds by
// as much.
const heldSnapshotTTL = 50 * time.Millisecond

// current reports whether the snapshot still stands for the state that now describes.
func (s *encodedSnapshot) current(now *encodedSnapshot) bool {
	same := s.version == now.version && s.digest == now.digest && s.newest == now.newest &&
		s.evacuations == now.evacuations && s.expiry.Equal(now.expiry)
	return same && (s.expiry.IsZero() || now.encodedAt.Sub(s.encodedAt) < heldSnapshotTTL)
}

// sharedSnapshot returns the whole state for a host that has none. Hundreds of hosts that start at
// once lack all of it, so that snapshot is encoded once and reused: with thousands of targets,
// encoding one for each of them at the same time would take hundreds of megabytes. c.mu must be held.
func (c *Controller) sharedSnapshot(now time.Time) packedChanges {
	next := &encodedSnapshot{
		version: c.version(), digest: c.state.Digest(), newest: c.state.Newest(),
		evacuations: c.state.Evacuations().Digest(), expiry: c.expiry, encodedAt: now,
	}
	if c.cachedSnapshot != nil && c.cachedSnapshot.current(next) {
		return c.cachedSnapshot.changes
	}
	all := c.state.Snapshot(now, 0, nil)
	packed, err := peer.PackOnce(all)
	if err != nil {
		c.deps.Log.Error("failed to encode snapshot", zap.Error(err))
		return peer.Pack(all)
	}
	c.count.snapshots.Add(1)
	c.count.snapshotBytes.Set(int64(len(packed.Encoded)))
	packed.Value = directory.Changes{} // only the encoded form is sent
	next.changes = packed
	c.cachedSnapshot = next
	return packed
}
