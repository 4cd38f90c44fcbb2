package watchers

import "time"

// transitWindow is how long the shortest way of a watcher's heartbeats is remembered, at least.
// A watcher that was suspended has its clock behind for good, and all that it sends seems to
// be late by that until its best way is forgotten.
const transitWindow = 30 * time.Second

// Transit learns how late the heartbeats of one watcher are. The clocks of two hosts can not be
// compared, but the way of one heartbeat can be with that of the fastest.
//
// Failure: the link of a host is full, and a heartbeat waits in it for seconds. Symptom: what
// it says of the store's last answer is taken for news, and the host denies routes that were
// added meanwhile. The wait shows as a longer way than that of heartbeats before. It is not
// safe for concurrent use.
type Transit struct {
	// best is the least difference of clocks in this window and in the one before.
	best  [2]time.Duration
	known [2]bool
	until time.Time
}

// Late returns how much longer a heartbeat was on its way than the fastest of late. sent is
// the sender's steady clock as it left, now this host's as it arrived.
func (t *Transit) Late(now time.Time, sent time.Duration) time.Duration {
	if !now.Before(t.until) {
		t.best[1], t.known[1] = t.best[0], t.known[0]
		t.known[0] = false
		t.until = now.Add(transitWindow)
	}
	way := now.Sub(epoch) - sent
	if !t.known[0] || way < t.best[0] {
		t.best[0], t.known[0] = way, true
	}
	fastest := t.best[0]
	if t.known[1] {
		fastest = min(fastest, t.best[1])
	}
	return way - fastest
}

// epoch is a moment that this host's steady clock is read against.
var epoch = time.Now()
