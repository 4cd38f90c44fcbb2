package outcome

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestEveryReasonHasAStatus(t *testing.T) {
	for _, r := range Reasons() {
		assert.Check(t, r.info().status >= 200, "reason %s", r)
	}
	assert.Check(t, !Reason("made-up").Valid())
}

func TestRefusalsAreNotRunAndUncertaintyIsUnknown(t *testing.T) {
	assert.Equal(t, Refuse(ReasonQueueFull).Outcome, NotRun)
	assert.Equal(t, Uncertain(ReasonBrokeOff).Outcome, Unknown)
	assert.Equal(t, Uncertain(ReasonBrokeOff).Status(), 502)
	assert.Equal(t, NotRun.String(), "not-run")
}
