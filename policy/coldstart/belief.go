// Package coldstart decides how many calls a host sends to targets that are cold. It answers
// a load of which many targets are cold at once, as after a zone was evacuated or lost power:
// they are idle and look best to every host at the same moment, bear a few requests a second
// from all hosts together, and fall over well above that.
package coldstart

import "time"

// Source is what a belief about a target rests on.
type Source uint8

const (
	// Unheard: nothing says whether the target is cold.
	Unheard Source = iota
	// Record is the target's entry in the platform's record, written some seconds ago.
	Record
	// Return is the end of the evacuation of the target's zone: it may have turned cold
	// meanwhile, unnoticed by its entry.
	Return
	// Answer is the target's own health answer.
	Answer
)

// String returns the name of the source in logs.
func (s Source) String() string {
	switch s {
	case Record:
		return "record"
	case Return:
		return "zone-returned"
	case Answer:
		return "answer"
	default:
		return "unheard"
	}
}

// How long a target's own word that it is warm counts: a target that falls over, or turns cold
// where it is, is back sooner than the record tells of it. A word is good for any calls for
// freshFor, and for one call until wordFor.
const (
	freshFor = 250 * time.Millisecond
	wordFor  = time.Second
)

// Belief is until when a target is taken for cold, and what that rests on. The zero value says that
// nothing is known.
type Belief struct {
	Until  time.Time
	Source Source
	// heardAt is when the target itself last said whether it is cold, used is set once a call
	// was sent by that word.
	heardAt time.Time
	used    bool
}

// Cold reports whether the target is taken for cold.
func (b Belief) Cold(now time.Time) bool { return now.Before(b.Until) }

// Warm reports whether the target said a moment ago that it is not cold, and nothing speaks
// against it since.
//
// Without it, hosts that may not probe any more for now would send a target that is back cold the
// calls of a warm one.
func (b Belief) Warm(now time.Time) bool {
	counts := freshFor
	if !b.used {
		counts = wordFor
	}
	return !b.Cold(now) && !b.heardAt.IsZero() && now.Sub(b.heardAt) < counts
}

// Use notes that a call is sent to a target that is taken for warm.
func (b *Belief) Use() { b.used = true }

// Basis returns what a target that is not taken for warm is held to: Unheard if its last word that
// it is warm is too old.
func (b Belief) Basis(now time.Time) Source {
	if !b.Cold(now) {
		return Unheard
	}
	return b.Source
}

// Certain reports whether the target itself said so: asking it again tells nothing more.
func (b Belief) Certain() bool { return b.Source == Answer }

// Presume takes in a sign other than the target's own word. It never shortens what is believed.
func (b *Belief) Presume(now, until time.Time, s Source) {
	if now.Before(until) && until.After(b.Until) {
		*b = Belief{Until: until, Source: s, heardAt: b.heardAt, used: b.used}
	}
}

// Hear takes in how much longer the target is cold by its own answer, 0 if it is not.
func (b *Belief) Hear(now time.Time, left time.Duration) {
	*b = Belief{Until: now.Add(left), Source: Answer, heardAt: now}
}
