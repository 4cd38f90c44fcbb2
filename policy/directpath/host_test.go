package directpath

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/ports"
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

func TestHostThatATargetAnswersIsNotCutOff(t *testing.T) {
	var h Host
	assert.Check(t, h.NoAnswerSince(noon))
	h.Answered(noon)
	assert.Check(t, !h.NoAnswerSince(noon))
	assert.Check(t, h.NoAnswerSince(noon.Add(1)))
}

// Guards against doubts about each target that crashes, while others answer, and against doubts
// that leave out the first of several.
func TestBrokenConnectionsAreDoubtfulIfNoTargetAnswers(t *testing.T) {
	var h Host
	for range 100 {
		assert.Equal(t, len(h.Broke("a")), 0)
		h.Answered(noon)
		assert.Equal(t, len(h.Broke("b")), 0)
		h.Answered(noon)
	}
	assert.Equal(t, len(h.Broke("a")), 0)
	assert.Equal(t, len(h.Broke("a")), 0, "one target only")
	both := h.Broke("b")
	slices.Sort(both)
	assert.DeepEqual(t, both, []ports.HostID{"a", "b"})
	assert.DeepEqual(t, h.Broke("c"), []ports.HostID{"c"})
	assert.Check(t, h.CutOff())
	h.Answered(noon)
	assert.Check(t, !h.CutOff())
}

// Guards against blaming targets for the path of a host that is cut off, and against sparing one
// that is down while others answer.
func TestTimeoutsOfSeveralTargetsTellOfNone(t *testing.T) {
	var h Host
	h.TimedOut("a")
	h.TimedOut("a")
	assert.Check(t, h.TimeoutTellsOfTarget(noon), "one target only")
	h.TimedOut("b")
	assert.Check(t, !h.TimeoutTellsOfTarget(noon))
	h.Answered(noon)
	h.TimedOut("b")
	assert.Check(t, h.TimeoutTellsOfTarget(noon))
	h.TimedOut("a")
	assert.Check(t, !h.TimeoutTellsOfTarget(noon))
	assert.Check(t, h.TimeoutTellsOfTarget(noon.Add(-1)), "a target has answered since it began")
}

// Guards against blaming targets that a path refuses connections to while open ones answer.
func TestRefusalsOfSeveralTargetsTellOfNone(t *testing.T) {
	var h Host
	h.Failed("a")
	assert.Check(t, h.FailureTellsOfTarget())
	h.Failed("b")
	h.Answered(noon)
	assert.Check(t, !h.FailureTellsOfTarget())
	h.Opened(noon)
	assert.Check(t, h.FailureTellsOfTarget())
}

// Guards against requests that are lost one after the other on connections that carry nothing any more, and
// against closing the connections to all targets because some are slow.
func TestConnectionsAreInDoubtIfNoTargetAnswersOnUsedOnes(t *testing.T) {
	var h Host
	later := noon.Add(1)
	assert.Check(t, !h.Unanswered("a", noon))
	assert.Check(t, !h.Unanswered("a", noon), "one target only")
	h.Answered(later)
	h.AnsweredOnUsed(later.Add(1), later)
	assert.Check(t, h.Unanswered("b", noon), "an answer on a new connection does not speak for the others")

	assert.Check(t, !h.Unanswered("a", noon), "the connections of that time are closed")
	h.AnsweredOnUsed(later, noon.Add(-1))
	assert.Check(t, !h.Unanswered("b", noon), "an older connection has answered since")
	assert.Check(t, !h.Unanswered("a", later))
	assert.Check(t, !h.Unanswered("b", later.Add(stallMemory+1)), "long after")
	assert.Check(t, h.Unanswered("a", later.Add(stallMemory+1)))
}
