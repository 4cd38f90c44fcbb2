package placer

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/ports"
)

// A corrupted response reads as status 421, which needs no echo of the request ID, while the
// platform still lists the target. Guards against excluding the target for the rest of its run:
// one such response from each would leave the host without targets.
func TestReplacedAnswerIsNotPermanent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestPlacer(t)
		tg := l.listRun(100, false)
		l.endCall(tg, pick.Replaced)
		assert.Check(t, !tg.available(time.Now()))
		time.Sleep(initialReplacedBackoff)
		for range 3 {
			assert.Check(t, l.listRun(100, false).available(time.Now()), "target is listed as before")
		}
		assert.Equal(t, len(l.leavingHints), 0, "a leaving mark on the board would last for the whole run")
		l.endCall(tg, pick.OK)
		l.endCall(tg, pick.Replaced)
		time.Sleep(initialReplacedBackoff)
		assert.Check(t, tg.available(time.Now()), "a good answer in between resets the backoff")
	})
}

// Another target has the address, and the platform's record does not show it for ten minutes
// because of a store outage. Each call sent there is refused and costs its caller an attempt,
// so there must be few of them.
func TestTargetThatIsReplacedIsTriedSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestPlacer(t)
		gone := l.listRun(100, false)
		tries := 0
		for start := time.Now(); time.Since(start) < 10*time.Minute; time.Sleep(100 * time.Millisecond) {
			if gone.available(time.Now()) {
				l.endCall(gone, pick.Replaced)
				tries++
			}
		}
		t.Logf("%d calls", tries)
		assert.Check(t, tries <= 25, "%d calls", tries)
	})
}

// Once the platform's record confirms that the target is leaving, it gets no calls for the rest
// of its run.
func TestLeavingByTheRecordLasts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestPlacer(t)
		for _, run := range []ports.Incarnation{100, 200} {
			l.endCall(l.listRun(run, false), pick.Replaced)
			left := l.listRun(run, true)
			time.Sleep(time.Hour)
			assert.Check(t, !left.available(time.Now()))
		}
	})
}
