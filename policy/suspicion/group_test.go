package suspicion

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/ports"
)

// testGroup is the group of the requests of these tests.
const testGroup = 1000

// maxLateInAnHour is the number of refusals of 1, 2, 4, 8, 10 and again 10 min that begin within an hour, and one
// loss before them.
const maxLateInAnHour = 10

// groupHost is one host whose callers send requests of testGroup.
type groupHost struct {
	*Tracker
	crashes, late int
	third         time.Duration
	// lateAtFirst is late, up to the end of the first minute.
	lateAtFirst int
}

func newGroupHost() *groupHost { return &groupHost{Tracker: NewTracker(DefaultLimits())} }

// admit asks for one run of a request that was not answered before.
func (h *groupHost) admit(now time.Duration, request Digest) (Admission, Digest) {
	d := h.Subject(at(now), ID{Request: request, Group: testGroup}, false)
	return h.Admit(at(now), d, "host"), d
}

// lose records that a request lost a target.
func (h *groupHost) lose(now time.Duration, request Digest, target ports.RunID, trial bool) {
	h.RecordBrokenRun(at(now), BrokenRun{Digest: request, Group: testGroup, Loss: Loss{Target: target, At: at(now), Trial: trial}})
}

// sendPoison sends a request that crashes the target that runs it, with up to the given number of attempts.
func (h *groupHost) sendPoison(now time.Duration, request Digest, attempts int) {
	for i := range attempts {
		now += time.Duration(i) * time.Millisecond
		a, d := h.admit(now, request)
		if a != Unrestricted && a != Exclusive {
			return
		}
		h.crashes++
		switch {
		case h.crashes == 3:
			h.third = now
		case h.crashes > 3 && now-h.third > 3*time.Second:
			h.late++
			if now < time.Minute {
				h.lateAtFirst++
			}
		}
		h.lose(now, request, ports.RunID(fmt.Sprint("t", h.crashes)), a == Exclusive)
		h.EndTrial(d, "host")
	}
}

// Guards against a caller that sends a request which crashes targets with a new credential each time, so that
// nothing is known of it, whatever others that are alike are answered.
func TestRequestWithANewCredentialEachTimeIsHeldBack(t *testing.T) {
	for _, every := range []time.Duration{300 * time.Millisecond, time.Second, 4 * time.Second, 20 * time.Second} {
		for _, attempts := range []int{1, 2} {
			h := newGroupHost()
			free, isolated, refused := 0, 0, 0
			for now := time.Duration(0); now < time.Hour; now += 100 * time.Millisecond {
				if now%every == 0 {
					h.sendPoison(now, Digest(10+now), attempts)
				}
				h.State(at(now), testGroup)
				switch a, d := h.admit(now+50*time.Millisecond, Digest(11+now)); a {
				case Unrestricted:
					free++
				case Exclusive:
					isolated++
					h.EndTrial(d, "host")
				default:
					refused++
				}
				known := h.Subject(at(now), ID{Request: 7, Group: testGroup}, true)
				assert.Equal(t, h.State(at(now), known), Clean, "a request that was answered before")
			}
			t.Logf("every %s, %d attempts: %d crashes, %d late; others that were never answered: %d run freely, %d isolated, %d refused",
				every, attempts, h.crashes, h.late, free, isolated, refused)
			assert.Check(t, h.lateAtFirst <= 3, "every %s, %d attempts: %d late in the first minute", every, attempts, h.lateAtFirst)
			assert.Check(t, h.late <= maxLateInAnHour, "every %s, %d attempts: %d crashes, %d late", every, attempts, h.crashes, h.late)
		}
	}
}

// Guards against a page that is isolated for all callers since a zone failed under it.
func TestTargetsThatFailTogetherAreNoEvidenceAgainstAGroup(t *testing.T) {
	h := newGroupHost()
	for i := range 20 {
		now := time.Duration(i) * 40 * time.Millisecond
		h.lose(now, Digest(10+i), ports.RunID(fmt.Sprint("t", i%8)), false)
	}
	assert.Equal(t, h.State(at(time.Second), testGroup), Clean)
	h.lose(5*time.Second, 50, "t9", false)
	assert.Equal(t, h.State(at(5*time.Second), testGroup), Clean, "two failures")
}

// Guards against a page that stays isolated, or is isolated again at each failure, since targets failed while
// they ran it.
func TestGroupIsIsolatedForAShortTimeWithoutALossInIsolation(t *testing.T) {
	h := newGroupHost()
	for i := range 3 {
		h.lose(time.Duration(i)*5*time.Second, Digest(10+i), ports.RunID(fmt.Sprint("t", i)), false)
	}
	assert.Equal(t, h.State(at(10*time.Second), testGroup), Suspect)
	assert.Equal(t, h.State(at(10*time.Second+minProbation), testGroup), Clean)
	for i := range 2 {
		now := time.Duration(25+5*i) * time.Second
		h.lose(now, Digest(20+i), ports.RunID(fmt.Sprint("u", i)), false)
		assert.Equal(t, h.State(at(now), testGroup), Clean)
	}
	h.lose(40*time.Second, 30, "u3", false)
	assert.Equal(t, h.State(at(40*time.Second), testGroup), Suspect, "three more")
}

// Guards against hosts that tell each other of a group again and again whose probation is over.
func TestProbationOfAGroupEndsOnAllHosts(t *testing.T) {
	here, there := newGroupHost(), newGroupHost()
	for i := range 3 {
		here.lose(time.Duration(i)*time.Second, Digest(10+i), ports.RunID(fmt.Sprint("t", i)), false)
	}
	r, ok := here.Record(at(2*time.Second), testGroup)
	assert.Check(t, ok)
	there.Merge(at(5*time.Second), aged(r, 3*time.Second), false)
	assert.Equal(t, there.State(at(11*time.Second), testGroup), Suspect)
	assert.Equal(t, there.State(at(12*time.Second), testGroup), Clean)
	there.Merge(at(12*time.Second), aged(r, 10*time.Second), false)
	assert.Equal(t, there.State(at(12*time.Second), testGroup), Clean)
}

// Guards against a host that starts, or was cut off, and lets requests of a group crash targets anew.
func TestGroupsAreToldToHostsThatLackThem(t *testing.T) {
	here, there := newGroupHost(), newGroupHost()
	here.sendPoison(0, 10, 2)
	here.State(at(900*time.Millisecond), 10)
	here.sendPoison(time.Second, 11, 2)
	here.State(at(2*time.Second), 11)
	records, _ := here.HeldBeyond(at(3*time.Second), there.Held(at(3*time.Second)), 0, 100)
	for _, r := range records {
		there.Merge(at(3*time.Second), r, false)
	}
	crashes := here.crashes
	assert.Equal(t, crashes, 4)
	a, _ := there.admit(3*time.Second, 12)
	assert.Equal(t, a, Refused)
	a, _ = there.admit(2*time.Second+minGroupRefusal, 12)
	assert.Equal(t, a, Exclusive, "after the refusal")
}

// Guards against a group that is blamed for targets which answer after all.
func TestGroupOfLostResponsesIsForgotten(t *testing.T) {
	h := newGroupHost()
	for i := range 3 {
		now := time.Duration(i) * time.Second
		target := ports.RunID(fmt.Sprint("t", i))
		h.lose(now, Digest(10+i), target, false)
		h.RecordAnswer(at(now+200*time.Millisecond), Answer{Target: target, Sent: at(now + 150*time.Millisecond), Opened: at(now)})
	}
	assert.Equal(t, h.State(at(3*time.Second), testGroup), Clean)
}
