package invariant

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestOnlyABrokenInvariantReachesTheHandler(t *testing.T) {
	var got []string
	SetHandler(func(name Name, detail string) {
		got = append(got, string(name)+" "+detail)
		Panic(name, detail)
	})
	defer SetHandler(nil)
	Check(true, OwnAnswer, "never formatted %d", 1)
	assert.Equal(t, len(got), 0)
	func() {
		defer func() { assert.Check(t, recover() != nil) }()
		Check(false, OwnAnswer, "target=%s", "t1")
	}()
	assert.DeepEqual(t, got, []string{"own-answer target=t1"})
}
