package directpath

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against detours to targets that turn connections away, while others are reached.
func TestHostThatOpensConnectionsIsNotCutOff(t *testing.T) {
	var h Host
	for range 100 {
		h.Failed("a")
		assert.Check(t, !h.CutOff())
		h.Opened(noon)
		h.Failed("b")
		assert.Check(t, !h.CutOff())
		h.Opened(noon)
	}
	h.Failed("a")
	h.Failed("a")
	assert.Check(t, !h.CutOff(), "one target only")
	h.Failed("b")
	assert.Check(t, h.CutOff())
	h.Opened(noon)
	assert.Check(t, !h.CutOff())
}

func TestHostThatHearsFromATargetIsNotSilent(t *testing.T) {
	var h Host
	assert.Check(t, h.SilentSince(noon))
	h.Heard(noon)
	assert.Check(t, !h.SilentSince(noon))
	assert.Check(t, h.SilentSince(noon.Add(1)))
}
