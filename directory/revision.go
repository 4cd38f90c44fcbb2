package directory

import "fmt"

// Revision orders all changes that the platform made. A higher one is newer.
//
// The record may come back from an older copy, and its numbers are given out again then: each time
// a new era begins, all of whose revisions are above those of the eras before.
type Revision uint64

// numberBits are those of a revision's number; the rest is the era.
const numberBits = 44

// NewRevision returns a revision of an era. It is wrong for numbers from 1<<44 on, a thousand
// changes a second for 500 years.
func NewRevision(era, number uint64) Revision { return Revision(era<<numberBits | number) }

// Era is how often the record came back from an older copy before.
func (r Revision) Era() uint64 { return uint64(r) >> numberBits }

// Number is the revision as the platform counts it.
func (r Revision) Number() uint64 { return uint64(r) & (1<<numberBits - 1) }

// String returns "number" or "era/number".
func (r Revision) String() string {
	if r.Era() == 0 {
		return fmt.Sprint(r.Number())
	}
	return fmt.Sprintf("%d/%d", r.Era(), r.Number())
}
