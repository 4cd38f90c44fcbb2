package watchers

import (
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// HeartbeatInterval is the time between two heartbeats of a watcher.
	HeartbeatInterval = 250 * time.Millisecond
	// heartbeatTimeout is the age of the last heartbeat at which a watcher is considered down:
	// two lost or delayed heartbeats. All hosts must learn of a leaving target within 2 s, of
	// which detecting the failure, taking over and reading the record take 1 s.
	heartbeatTimeout = 600 * time.Millisecond
	// WatchTimeout is how long the store holds a watch without a change. Together with the time
	// allowed for its response it bounds how late a watcher notices that the store stopped
	// responding, which has to fit into the same 2 s.
	WatchTimeout = 900 * time.Millisecond
	// SecondaryWatchTimeout is how long the store holds a watch of the second watcher. Changes
	// still reach that watcher immediately; only the detection of an unresponsive store is
	// slower, and a third host takes over as soon as the first watcher fails. This saves a third
	// of the calls while the record is idle.
	SecondaryWatchTimeout = 2500 * time.Millisecond
	// responseTime is the time allowed for a response of the store beyond the watch timeout; a
	// watcher's information is stale when the store's last response is older than the sum of
	// both.
	responseTime = 400 * time.Millisecond
)

// Heartbeat is the last heartbeat of a watcher.
//
// Heartbeats wait for seconds in the queues of saturated links. Counted from their receipt, two of
// them in every second kept all hosts from noticing that their watchers were out of date.
type Heartbeat struct {
	// SentAt is the earliest time at which it can have been sent.
	SentAt time.Time
	// StoreOK is false while the store fails the watcher; StoreAge is the age of the store's last
	// response when the heartbeat was sent.
	StoreOK  bool
	StoreAge time.Duration
	// StoreWait is the timeout of the watcher's watches.
	StoreWait time.Duration
}

// staleAfter returns the age of the store's last response at which the watcher's information is
// stale.
func (b Heartbeat) staleAfter() time.Duration { return max(b.StoreWait, WatchTimeout) + responseTime }

// Fresh reports whether the watcher's information is current at the given time.
func (b Heartbeat) Fresh(now time.Time) bool {
	silence := now.Sub(b.SentAt)
	return b.StoreOK && silence < heartbeatTimeout && b.StoreAge+silence < b.staleAfter()
}

// expires returns when a fresh heartbeat stops being fresh.
func (b Heartbeat) expires() time.Time {
	return b.SentAt.Add(min(heartbeatTimeout, b.staleAfter()-b.StoreAge))
}

// FreshWatchers returns the watchers whose information is current.
func FreshWatchers(now time.Time, beats map[ports.HostID]Heartbeat) []ports.HostID {
	ids, _ := freshWatchers(now, beats)
	return ids
}

// anyAlive reports whether any watcher sends heartbeats, whether the store serves it or not.
func anyAlive(now time.Time, beats map[ports.HostID]Heartbeat) bool {
	for _, b := range beats {
		if now.Sub(b.SentAt) < heartbeatTimeout {
			return true
		}
	}
	return false
}

// StoreOut reports whether heartbeats are recent and the store serves none of the watchers.
func StoreOut(now time.Time, beats map[ports.HostID]Heartbeat) bool {
	return len(FreshWatchers(now, beats)) == 0 && anyAlive(now, beats)
}

// freshWatchers returns the watchers whose information is current, and when there will be fewer
// than WantedWatchers of them without further heartbeats.
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
