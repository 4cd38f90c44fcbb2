package placer

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Garbled bytes stand where a target's answer is due and read as 421, which needs no echo
// of the request. The platform lists the target as before. It was left out for as long as
// it ran, and one such answer of each took all targets of a service away from this host.
func TestOneAnswerDoesNotTakeATargetOutForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newRestartLab(t)
		garbled := l.list(100, false)
		l.ended(garbled, pick.Replaced)
		assert.Check(t, !garbled.open(time.Now()))
		time.Sleep(firstReplacedRest)
		for range 3 {
			assert.Check(t, l.list(100, false).open(time.Now()), "listed as before")
		}
		assert.Equal(t, len(l.hints), 0, "the board's mark lasts as long as the run")
		l.ended(garbled, pick.OK)
		l.ended(garbled, pick.Replaced)
		time.Sleep(firstReplacedRest)
		assert.Check(t, garbled.open(time.Now()), "a good answer in between makes it one fault again")
	})
}

// Another target has the address, and the record does not tell so for ten minutes, since
// the store is out. Each call that goes there is refused and costs its caller an attempt:
// there must be few of them.
func TestTargetThatIsReplacedIsTriedSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newRestartLab(t)
		gone := l.list(100, false)
		tries := 0
		for start := time.Now(); time.Since(start) < 10*time.Minute; time.Sleep(100 * time.Millisecond) {
			if gone.open(time.Now()) {
				l.ended(gone, pick.Replaced)
				tries++
			}
		}
		t.Logf("%d calls", tries)
		assert.Check(t, tries <= 25, "%d calls", tries)
	})
}

// The record confirms that the target leaves: that lasts as long as its run.
func TestLeavingByTheRecordLasts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newRestartLab(t)
		for _, run := range []ports.Incarnation{100, 200} {
			l.ended(l.list(run, false), pick.Replaced)
			left := l.list(run, true)
			time.Sleep(time.Hour)
			assert.Check(t, !left.open(time.Now()))
		}
	})
}
