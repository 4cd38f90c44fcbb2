package watchers

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/ports"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func hosts(n int) []ports.HostID {
	out := make([]ports.HostID, n)
	for i := range out {
		out[i] = ports.HostID(fmt.Sprintf("10.0.0.%d:8649", i+1))
	}
	return out
}

// firstWatch returns how long after from a host starts to watch if it calls Decide at the times
// that Decide returns; -1 if it does not.
func firstWatch(d *Decider, from time.Time, v View) time.Duration {
	now := from
	for now.Before(from.Add(10 * time.Second)) {
		watch, next := d.Decide(now, v)
		if watch {
			return now.Sub(from)
		}
		now = next
	}
	return -1
}

// Both watchers hang at the same moment, just after a target started to leave, and send no more
// heartbeats. Another host must take over soon enough to read the change within 2 s, even if the
// store turns away the first three.
func TestTakesOverWithinASecondWithoutHeartbeats(t *testing.T) {
	all := hosts(14)
	beats := map[ports.HostID]Heartbeat{
		all[0]: {SentAt: start, StoreOK: true},
		all[1]: {SentAt: start, StoreOK: true},
	}
	early := 0
	for _, id := range all[2:] {
		took := firstWatch(NewDecider(id), start, View{Hosts: all, Heartbeats: beats})
		assert.Check(t, took > 0 && took <= heartbeatTimeout+earlyTurns, "%s after %s", id, took)
		if took <= time.Second {
			early++
		}
	}
	assert.Check(t, early >= 4, "%d hosts within a second", early)
}

// The store stops responding to both watchers: their watches hang. They report it when the
// watches time out, and other hosts that the store serves take over.
func TestTakesOverFromWatchersWithoutTheStore(t *testing.T) {
	all := hosts(14)
	late := at(WatchTimeout + 300*time.Millisecond)
	beats := map[ports.HostID]Heartbeat{
		all[0]: {SentAt: late, StoreOK: false},
		all[1]: {SentAt: late, StoreOK: false},
	}
	first := time.Hour
	for _, id := range all[2:] {
		first = min(first, firstWatch(NewDecider(id), late, View{Hosts: all, Heartbeats: beats}))
	}
	assert.Check(t, first >= 0 && first <= 2*turnInterval, "first after %s", first)
}

// While the store is down for all hosts, they must not call it all at once: failed calls are
// billed too.
func TestHostsTryTheStoreInTurnsDuringAnOutage(t *testing.T) {
	for _, n := range []int{14, 121} {
		all := hosts(n)
		tries := 0
		for _, id := range all {
			d := NewDecider(id)
			now := start
			for now.Before(at(4500 * time.Millisecond)) {
				watch, next := d.Decide(now, View{Hosts: all})
				if watch {
					tries++
					d.RecordFailure(now, View{Hosts: all})
					next = now.Add(time.Millisecond)
				}
				now = next
			}
		}
		assert.Check(t, tries <= 100+n, "%d tries of %d hosts", tries, n)
	}
}

func TestSurplusWatcherStepsDown(t *testing.T) {
	all := hosts(14)
	watching := 0
	for _, id := range all[:4] {
		d := NewDecider(id)
		keep := true
		for now := start; now.Before(at(5 * time.Second)); now = now.Add(HeartbeatInterval) {
			beats := make(map[ports.HostID]Heartbeat)
			for _, other := range all[:4] {
				if other != id {
					beats[other] = Heartbeat{SentAt: now, StoreOK: true}
				}
			}
			keep, _ = d.Decide(now, View{Hosts: all, Heartbeats: beats, Watching: true, StoreOK: true})
			if !keep {
				break
			}
		}
		if keep {
			watching++
		}
	}
	assert.Equal(t, watching, WantedWatchers)
}

// None of 129 hosts receives a heartbeat any more. If all but the first few took over at the same
// moment, all of them would watch and relay each change to all.
func TestTurnsOfManyHostsAreSpread(t *testing.T) {
	all := hosts(129)
	at := make(map[time.Duration]int)
	last := time.Duration(0)
	for _, id := range all {
		d := NewDecider(id)
		turn := firstWatch(d, start, View{Hosts: all})
		at[turn]++
		last = max(last, turn)
	}
	for turn, hosts := range at {
		assert.Check(t, hosts <= 16, "%d hosts take over after %s", hosts, turn)
	}
	assert.Check(t, last <= 1600*time.Millisecond, "the last turn is after %s", last)
}

// Hundreds of hosts start together, and those that are no seeds leave the watching to the seeds.
// Each host that takes a turn regardless makes two calls to the store.
func TestDeferredHostWaits(t *testing.T) {
	all := hosts(14)
	for _, id := range all {
		d := NewDecider(id)
		d.DeferUntil(at(time.Second))
		took := firstWatch(d, start, View{Hosts: all})
		assert.Check(t, took >= time.Second, "%s after %s", id, took)
	}
}
