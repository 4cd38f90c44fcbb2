package targetapi

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

func TestOnlyAShedAnswerSaysNotRun(t *testing.T) {
	shed := http.Header{HeaderShed: {Yes}}
	assert.Check(t, IsShed(http.StatusServiceUnavailable, shed))
	assert.Check(t, !IsShed(http.StatusServiceUnavailable, http.Header{}))
	assert.Check(t, !IsShed(http.StatusInternalServerError, shed))
	assert.Check(t, !IsShed(http.StatusServiceUnavailable, http.Header{HeaderShed: {"true"}}))
}

func TestLoadThatCanNotBeReadIsNone(t *testing.T) {
	for value, want := range map[string]int{"3": 3, "0": 0, "": -1, "-2": -1, "many": -1, "99999999999999999999": -1} {
		assert.Check(t, LoadOf(http.Header{HeaderLoad: {value}}) == want, "value %q", value)
	}
}
