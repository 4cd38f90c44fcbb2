package directory

import "fmt"

// Revision orders all changes in the platform's store; a higher one is newer.
//
// The store may be restored from an older copy and then assigns the same numbers again. Each
// restore begins a new era, all of whose revisions are higher than those of the eras before.
type Revision uint64

// numberBits is the number of low bits that hold the number; the rest hold the era.
const numberBits = 44

// NewRevision returns a revision of an era. The number must be below 1<<44, which lasts for 500
// years at a thousand changes per second.
func NewRevision(era, number uint64) Revision { return Revision(era<<numberBits | number) }

// Era returns how often the store had been restored from an older copy.
func (r Revision) Era() uint64 { return uint64(r) >> numberBits }

// Number returns the revision number that the platform assigned.
func (r Revision) Number() uint64 { return uint64(r) & (1<<numberBits - 1) }

// String returns "number" or, in eras after the first, "era/number".
func (r Revision) String() string {
	if r.Era() == 0 {
		return fmt.Sprint(r.Number())
	}
	return fmt.Sprintf("%d/%d", r.Era(), r.Number())
}
