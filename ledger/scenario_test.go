package ledger

import (
	"time"

	"pgregory.net/rapid"
)

// scenario is what the callers send and which faults occur, drawn before anything
// runs.
type scenario struct {
	Sends  []sendStep
	Faults []faultStep
	// Skews are the clock errors of the hosts.
	Skews []time.Duration
	// Pooled makes the hosts write through a coordinator.
	Pooled bool
	// Views are the hosts that each host initially considers the coordinator.
	Views []int
}

// ending is what happens to a request once its claim is held.
type ending int

const (
	endAnswered     ending = iota // runs, and the response arrives
	endResponseLost               // runs, and the connection breaks
	endRequestLost                // does not run, but bytes were sent
	endNotSent                    // no target was found
	endShed                       // shed by one target, then run by another
	endShedTwice                  // shed by all targets
	numEndings
)

// sendStep is one request with a key to a host.
type sendStep struct {
	At          time.Duration
	Host        int
	Key         int
	OtherCaller bool
	OtherBody   bool
	Deadline    time.Duration
	Ending      ending
	// Pauses delay the host: after the call has arrived, between claim and sending,
	// on the way to the target, and after the response.
	Pauses [4]time.Duration
}

// faultKind is the kind of a fault.
type faultKind int

const (
	faultStoreDown       faultKind = iota // the store refuses everything
	faultStoreSlow                        // the store has a delay of Arg
	faultReplyLost                        // every second reply to a write is lost
	faultWriteDelayed                     // writes get no reply and are applied after Arg
	faultLinkDown                         // no messages from Host to Other
	faultHostSlow                         // messages from Host have a delay of Arg
	faultCoordinatorView                  // Host considers Other the coordinator
	faultCrash                            // Host crashes and restarts at the end
	numFaultKinds
)

// faultStep is one fault that starts At and lasts For.
type faultStep struct {
	At   time.Duration
	For  time.Duration
	Kind faultKind
	Host int
	// Other is the other end of a link, or the coordinator.
	Other int
	Arg   time.Duration
}

// Dimensions of a scenario.
const (
	scenarioHosts = 3
	// Keys with an even index are chosen by the caller, the others are issued.
	scenarioKeys     = 4
	scenarioDuration = 8 * time.Second
	// maxSkew is within the clock difference that ReclaimDelay tolerates.
	maxSkew = 180 * time.Millisecond
)

func millis(lo, hi int) *rapid.Generator[time.Duration] {
	return rapid.Map(rapid.IntRange(lo, hi), func(n int) time.Duration {
		return time.Duration(n) * time.Millisecond
	})
}

// drawPause draws a pause: usually none, sometimes longer than any deadline.
func drawPause(t *rapid.T, label string) time.Duration {
	if rapid.IntRange(0, 3).Draw(t, label+"?") > 0 {
		return 0
	}
	return millis(1, 5000).Draw(t, label)
}

func oneIn(t *rapid.T, n int, label string) bool {
	return rapid.IntRange(0, n-1).Draw(t, label) == n-1
}

func drawSend(t *rapid.T) sendStep {
	s := sendStep{
		At:          millis(0, int(scenarioDuration.Milliseconds())).Draw(t, "at"),
		Host:        rapid.IntRange(0, scenarioHosts-1).Draw(t, "host"),
		Key:         rapid.IntRange(0, scenarioKeys-1).Draw(t, "key"),
		OtherCaller: oneIn(t, 12, "stranger"),
		OtherBody:   oneIn(t, 12, "changed"),
		Deadline:    millis(20, 2500).Draw(t, "deadline"),
		Ending:      ending(rapid.IntRange(0, int(numEndings)-1).Draw(t, "fate")),
	}
	for i := range s.Pauses {
		s.Pauses[i] = drawPause(t, "pause")
	}
	return s
}

func drawFault(t *rapid.T) faultStep {
	return faultStep{
		At:    millis(0, int(scenarioDuration.Milliseconds())).Draw(t, "at"),
		For:   millis(10, 4000).Draw(t, "for"),
		Kind:  faultKind(rapid.IntRange(0, int(numFaultKinds)-1).Draw(t, "kind")),
		Host:  rapid.IntRange(0, scenarioHosts-1).Draw(t, "host"),
		Other: rapid.IntRange(0, scenarioHosts-1).Draw(t, "other"),
		Arg:   millis(5, 3000).Draw(t, "arg"),
	}
}

// limitKeys makes all requests use n of the keys, so that more of them conflict.
func (s *scenario) limitKeys(first, n int) {
	for i := range s.Sends {
		s.Sends[i].Key = (first + s.Sends[i].Key%n) % scenarioKeys
	}
}

func drawScenario(t *rapid.T) scenario {
	s := scenario{
		Sends:  rapid.SliceOfN(rapid.Custom(drawSend), 2, 10).Draw(t, "sends"),
		Faults: rapid.SliceOfN(rapid.Custom(drawFault), 0, 5).Draw(t, "faults"),
	}
	s.limitKeys(rapid.IntRange(0, scenarioKeys-1).Draw(t, "firstKey"), rapid.IntRange(1, scenarioKeys).Draw(t, "keys"))
	s.Pooled = rapid.Bool().Draw(t, "pooled")
	first := rapid.IntRange(0, scenarioHosts-1).Draw(t, "coordinator")
	for range scenarioHosts {
		s.Views = append(s.Views, first)
		s.Skews = append(s.Skews, millis(-int(maxSkew.Milliseconds()), int(maxSkew.Milliseconds())).Draw(t, "skew"))
	}
	return s
}
