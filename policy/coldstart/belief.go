// Package coldstart decides how many calls a host sends to targets that are cold. It answers
// a load of which many targets are cold at once, as after a zone was evacuated or lost power:
// they are idle and look best to every host at the same moment, bear a few requests a second
// from all hosts together, and fall over well above that.
package coldstart

import "time"

// Source is what a belief about a target rests on.
type Source uint8

const (
	// Unknown: nothing says whether the target is cold.
	Unknown Source = iota
	// Record is the target's entry in the platform's record, written some seconds ago.
	Record
	// ZoneReturn is the end of the evacuation of the target's zone: it may have turned cold
	// meanwhile, unnoticed by its entry.
	ZoneReturn
	// HealthAnswer is the target's own health answer.
	HealthAnswer
)

// String returns the name of the source in logs.
func (s Source) String() string {
	switch s {
	case Record:
		return "record"
	case ZoneReturn:
		return "zone-returned"
	case HealthAnswer:
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

// Estimate is until when a target is taken for cold, and what that rests on. The zero value says that
// nothing is known.
type Estimate struct {
	ColdUntil  time.Time
	Source Source
	// heardAt is when the target itself last said whether it is cold, used is set once a call
	// was sent by that word.
	heardAt time.Time
	used    bool
}

// Cold reports whether the target is taken for cold.
func (b Estimate) Cold(now time.Time) bool { return now.Before(b.ColdUntil) }

// Warm reports whether the target said a moment ago that it is not cold, and nothing speaks
// against it since.
//
// Without it, hosts that may not probe any more for now would send a target that is back cold the
// calls of a warm one.
func (b Estimate) Warm(now time.Time) bool {
	counts := freshFor
	if !b.used {
		counts = wordFor
	}
	return !b.Cold(now) && !b.heardAt.IsZero() && now.Sub(b.heardAt) < counts
}

// MarkUsed notes that a call is sent to a target that is taken for warm.
func (b *Estimate) MarkUsed() { b.used = true }

// Basis returns what a target that is not taken for warm is held to: Unheard if its last word that
// it is warm is too old.
func (b Estimate) Basis(now time.Time) Source {
	if !b.Cold(now) {
		return Unknown
	}
	return b.Source
}

// Confirmed reports whether the target itself said so: asking it again tells nothing more.
func (b Estimate) Confirmed() bool { return b.Source == HealthAnswer }

// Infer takes in a sign other than the target's own word. It never shortens what is believed.
func (b *Estimate) Infer(now, until time.Time, s Source) {
	if now.Before(until) && until.After(b.ColdUntil) {
		*b = Estimate{ColdUntil: until, Source: s, heardAt: b.heardAt, used: b.used}
	}
}

// Observe takes in how much longer the target is cold by its own answer, 0 if it is not.
func (b *Estimate) Observe(now time.Time, left time.Duration) {
	*b = Estimate{ColdUntil: now.Add(left), Source: HealthAnswer, heardAt: now}
}
