package watchers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/ports"
)

// longest draws the longest random duration.
func longest(d time.Duration) time.Duration { return d }

// A host that hears no watcher reads within the 2 s in which a leaving target must be known, also
// if it draws the latest moment, but leaves a takeover the time it needs.
func TestHostWithoutCurrentWatcherReadsInTime(t *testing.T) {
	v := View{Hosts: hosts(300), Heartbeats: map[ports.HostID]Heartbeat{"w": {SentAt: start, StoreOK: true}}}
	var r DirectReads
	due, _ := r.DueIfStale(start, v, longest)
	assert.Check(t, !due)
	silent := at(heartbeatTimeout)
	due, next := r.DueIfStale(silent, v, longest)
	assert.Check(t, !due)
	assert.Check(t, next.Sub(start) >= heartbeatTimeout+2*turnInterval && next.Sub(start) < 1500*time.Millisecond, "%s", next.Sub(start))
	due, _ = r.DueIfStale(next, v, longest)
	assert.Check(t, due)
}

// Guards against calls that are paid for and tell nothing: a host that reads in vain does so ever
// less often, one that learns something does not wait for longer.
func TestReadsInVainBecomeRare(t *testing.T) {
	v := View{Hosts: hosts(14)}
	var r DirectReads
	reads := 0
	for now := start; now.Before(at(time.Minute)); now = now.Add(10 * time.Millisecond) {
		if due, _ := r.DueIfStale(now, v, longest); due {
			reads++
			r.Done(now, false)
		}
	}
	assert.Check(t, reads >= 4 && reads <= 8, "%d reads", reads)
	r.Done(at(time.Minute), true)
	assert.Check(t, r.May(at(time.Minute+minReadPause), v))
}

// Guards against all hosts reading a store that is out: two failures elsewhere are enough, until the
// store serves a host again or they are long ago.
func TestStoreThatFailsOthersIsNotRead(t *testing.T) {
	var r DirectReads
	failing := map[ports.HostID]time.Time{"a": start, "b": start}
	assert.Check(t, !r.May(at(time.Second), View{FailedTakeovers: failing}))
	assert.Check(t, r.May(at(failureTTL), View{FailedTakeovers: failing}))
	assert.Check(t, r.May(at(time.Second), View{FailedTakeovers: map[ports.HostID]time.Time{"a": start}}))
	beats := map[ports.HostID]Heartbeat{"a": {SentAt: start}, "b": {SentAt: start}}
	assert.Check(t, !r.May(start, View{Heartbeats: beats}))
	served := map[ports.HostID]Heartbeat{"c": {SentAt: start, StoreOK: true}}
	assert.Check(t, r.May(start, View{Heartbeats: served, FailedTakeovers: failing}))
	assert.Check(t, r.May(at(heartbeatTimeout), View{Heartbeats: beats}))
	assert.Check(t, !r.May(start, View{Watching: true}))
}
