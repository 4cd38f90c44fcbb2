package watchers

import (
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// HeartbeatInterval is the time between two heartbeats of a watcher.
	HeartbeatInterval = 250 * time.Millisecond
	// silentAfter is the age of the last heartbeat at which a watcher counts as
	// gone: two lost or late heartbeats. A leaving target must be known everywhere
	// within 2 s; noticing the silence, taking over and reading take 1 s of it.
	silentAfter = 600 * time.Millisecond
	// WatchTimeout is how long the store holds a watch without news. Together with the
	// time allowed for its answer it bounds how late a watcher notices that the
	// store has stopped answering it, which has to fit into the same 2 s.
	WatchTimeout = 900 * time.Millisecond
	// SecondaryWatchTimeout is how long the store holds a watch of the second watcher. Changes
	// reach it at once all the same; it only notices later that the store has stopped
	// answering it, and as soon as the first one is missed a third host takes over. It
	// saves a third of the calls on a calm minute.
	SecondaryWatchTimeout = 2500 * time.Millisecond
	// answerTime is the time allowed for an answer of the store beyond the wait; a
	// watcher's word is old when its last answer is older than both together.
	answerTime = 400 * time.Millisecond
)

// Heartbeat is the last heartbeat of a watcher.
type Heartbeat struct {
	ReceivedAt time.Time
	// StoreOK is false while the store fails the watcher, StoreAge how old its
	// last answer was when the heartbeat was sent.
	StoreOK  bool
	StoreAge time.Duration
	// StoreWait is how long the store holds the watcher's watches.
	StoreWait time.Duration
}

// staleAfter is the age of the last answer at which the watcher's word is old.
func (b Heartbeat) staleAfter() time.Duration { return max(b.StoreWait, WatchTimeout) + answerTime }

// Fresh reports whether a watcher's word can be relied on at a moment.
func (b Heartbeat) Fresh(now time.Time) bool {
	silence := now.Sub(b.ReceivedAt)
	return b.StoreOK && silence < silentAfter && b.StoreAge+silence < b.staleAfter()
}

// expires returns when a fresh heartbeat stops being fresh.
func (b Heartbeat) expires() time.Time {
	return b.ReceivedAt.Add(min(silentAfter, b.staleAfter()-b.StoreAge))
}

// FreshWatchers returns the watchers that can be relied on.
func FreshWatchers(now time.Time, beats map[ports.HostID]Heartbeat) []ports.HostID {
	ids, _ := freshWatchers(now, beats)
	return ids
}

// anyHeard reports whether a watcher is heard, served by the store or not.
func anyHeard(now time.Time, beats map[ports.HostID]Heartbeat) bool {
	for _, b := range beats {
		if now.Sub(b.ReceivedAt) < silentAfter {
			return true
		}
	}
	return false
}

// freshWatchers returns the watchers that can be relied on, and when there will
// be fewer than wanted unless more is heard.
func freshWatchers(now time.Time, beats map[ports.HostID]Heartbeat) (ids []ports.HostID, expiry time.Time) {
	var ends []time.Time
	for id, b := range beats {
		if b.Fresh(now) {
			ids = append(ids, id)
			ends = append(ends, b.expires())
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	if len(ends) >= WantedWatchers {
		expiry = ends[len(ends)-WantedWatchers]
	}
	return ids, expiry
}
