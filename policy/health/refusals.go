package health

import "time"

const (
	// firstRest is how long a refusal by the target is held against it.
	firstRest = 50 * time.Millisecond
	// maxDoublings bounds how often that time doubles.
	maxDoublings = 4
)

// Refusals counts in a row what a target did not take: calls that it shed, and
// those for which it gave no connection or broke it off.
type Refusals int

// Refused notes a refusal and returns how long to keep off the target: longer
// for each in a row. A target that refuses at once, or is down, looks idle, and
// without this it would draw most calls of a service to itself, each of which
// then has to go elsewhere. It is no ejection and has no cap: what refuses calls
// is no help to the others.
func (r *Refusals) Refused() time.Duration {
	d := firstRest << min(int(*r), maxDoublings)
	*r++
	return d
}

// Answered notes an answer.
func (r *Refusals) Answered() { *r = 0 }
