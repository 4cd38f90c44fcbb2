package health

import "time"

const (
	// firstShed is how long a refusal by the target is held against it.
	firstShed = 50 * time.Millisecond
	// maxSheds bounds how often that time doubles.
	maxSheds = 4
)

// Sheds counts the refusals of a target since its last answer.
type Sheds int

// Refused notes a refusal and returns how long to keep off the target: longer
// for each in a row. A target that refuses at once looks idle, and without this
// it would draw most calls of a service to itself, each of which then has to go
// elsewhere.
func (s *Sheds) Refused() time.Duration {
	d := firstShed << min(int(*s), maxSheds)
	*s++
	return d
}

// Answered notes an answer.
func (s *Sheds) Answered() { *s = 0 }
