package watchers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestHeartbeatThatWaitedIsLate(t *testing.T) {
	var tr Transit
	start := time.Now()
	arrive := func(at, way time.Duration) time.Duration {
		return tr.Late(start.Add(at), at-way+time.Hour)
	}
	assert.Equal(t, arrive(0, 3*time.Millisecond), time.Duration(0))
	assert.Equal(t, arrive(time.Second, time.Millisecond), time.Duration(0))
	assert.Equal(t, arrive(2*time.Second, 801*time.Millisecond), 800*time.Millisecond)
	assert.Equal(t, arrive(40*time.Second, 2001*time.Millisecond), 2*time.Second, "the window before counts")
}

// A watcher was suspended for four seconds, and its clock stays behind. Its heartbeats are
// taken for late ones until the time before is forgotten, and then no more.
func TestClockThatStoodStillIsForgiven(t *testing.T) {
	var tr Transit
	start := time.Now()
	assert.Equal(t, tr.Late(start, time.Hour), time.Duration(0))
	const stood = 4 * time.Second
	for at := stood; at < 3*transitWindow; at += BeatEvery {
		late := tr.Late(start.Add(at), time.Hour+at-stood)
		if at < transitWindow {
			assert.Equal(t, late, stood)
		}
		if at > 2*transitWindow {
			assert.Equal(t, late, time.Duration(0))
		}
	}
}
