package ledger

import (
	"time"

	"pgregory.net/rapid"
)

// script is one history: what the callers send and what fails, drawn before
// anything runs.
type script struct {
	Sends  []sendStep
	Faults []faultStep
	// Skews is how far each host's clock is off.
	Skews []time.Duration
	// Pooled has the hosts write through a coordinator.
	Pooled bool
	// Views are the hosts that each host takes for the coordinator at first.
	Views []int
}

// fate is what happens to a send once it holds the claim.
type fate int

const (
	fateAnswered    fate = iota // it runs and the answer comes
	fateAnswerLost              // it runs and the connection breaks
	fateRequestLost             // it does not run, but bytes have left
	fateNotSent                 // no target is found
	fateShed                    // a target sheds it, then another runs it
	fateShedTwice               // all targets shed it
	fates
)

// sendStep is one send of a key to a host.
type sendStep struct {
	At       time.Duration
	Host     int
	Key      int
	Stranger bool // another caller
	Changed  bool // another body
	Deadline time.Duration
	Fate     fate
	// Pauses hold the host up: after the call has arrived, between claim and
	// sending, on the way to the target, and after the answer.
	Pauses [4]time.Duration
}

// faultKind is what goes wrong.
type faultKind int

const (
	faultDown  faultKind = iota // the store refuses all
	faultSlow                   // the store takes Arg
	faultLost                   // every second answer to a write is lost
	faultLate                   // writes get no answer and land after Arg
	faultCut                    // nothing passes from Host to Other
	faultFar                    // messages from Host take Arg
	faultView                   // Host takes Other for the coordinator
	faultCrash                  // Host crashes, and is back at the end
	faults
)

// faultStep is one fault from At for a time.
type faultStep struct {
	At   time.Duration
	For  time.Duration
	Kind faultKind
	Host int
	// Other is the host at the far end of a cut, or the coordinator.
	Other int
	Arg   time.Duration
}

// Shape of a history.
const (
	scriptHosts = 3
	// scriptKeys: the even ones are the caller's own, the odd ones issued.
	scriptKeys = 4
	scriptSpan = 8 * time.Second
	// maxSkew is what ReopenAfter allows for.
	maxSkew = 180 * time.Millisecond
)

func millis(lo, hi int) *rapid.Generator[time.Duration] {
	return rapid.Map(rapid.IntRange(lo, hi), func(n int) time.Duration {
		return time.Duration(n) * time.Millisecond
	})
}

// seldom draws a pause: most often none, sometimes longer than any deadline.
func seldom(t *rapid.T, label string) time.Duration {
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
		At:       millis(0, int(scriptSpan.Milliseconds())).Draw(t, "at"),
		Host:     rapid.IntRange(0, scriptHosts-1).Draw(t, "host"),
		Key:      rapid.IntRange(0, scriptKeys-1).Draw(t, "key"),
		Stranger: oneIn(t, 12, "stranger"),
		Changed:  oneIn(t, 12, "changed"),
		Deadline: millis(20, 2500).Draw(t, "deadline"),
		Fate:     fate(rapid.IntRange(0, int(fates)-1).Draw(t, "fate")),
	}
	for i := range s.Pauses {
		s.Pauses[i] = seldom(t, "pause")
	}
	return s
}

func drawFault(t *rapid.T) faultStep {
	return faultStep{
		At:    millis(0, int(scriptSpan.Milliseconds())).Draw(t, "at"),
		For:   millis(10, 4000).Draw(t, "for"),
		Kind:  faultKind(rapid.IntRange(0, int(faults)-1).Draw(t, "kind")),
		Host:  rapid.IntRange(0, scriptHosts-1).Draw(t, "host"),
		Other: rapid.IntRange(0, scriptHosts-1).Draw(t, "other"),
		Arg:   millis(5, 3000).Draw(t, "arg"),
	}
}

// narrow has all sends use n of the keys, so that more of them meet.
func (s *script) narrow(first, n int) {
	for i := range s.Sends {
		s.Sends[i].Key = (first + s.Sends[i].Key%n) % scriptKeys
	}
}

func drawScript(t *rapid.T) script {
	s := script{
		Sends:  rapid.SliceOfN(rapid.Custom(drawSend), 2, 10).Draw(t, "sends"),
		Faults: rapid.SliceOfN(rapid.Custom(drawFault), 0, 5).Draw(t, "faults"),
	}
	s.narrow(rapid.IntRange(0, scriptKeys-1).Draw(t, "firstKey"), rapid.IntRange(1, scriptKeys).Draw(t, "keys"))
	s.Pooled = rapid.Bool().Draw(t, "pooled")
	first := rapid.IntRange(0, scriptHosts-1).Draw(t, "coordinator")
	for range scriptHosts {
		s.Views = append(s.Views, first)
		s.Skews = append(s.Skews, millis(-int(maxSkew.Milliseconds()), int(maxSkew.Milliseconds())).Draw(t, "skew"))
	}
	return s
}
