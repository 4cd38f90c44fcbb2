package targetapi

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLimitThatCanNotBeReadIsNone(t *testing.T) {
	for value, want := range map[string]Limit{
		"1.0": {Named: true, PerSecond: 1}, "0": {Named: true}, "": {}, "-1": {}, "NaN": {}, "inf": {}, "many": {}, "1e999": {},
	} {
		assert.Equal(t, Default().Signals(200, http.Header{HeaderLimit: {value}}).Limit, want, "value %q", value)
	}
}

func TestContractWithoutNamesReadsNothing(t *testing.T) {
	h := http.Header{"": {"1"}, HeaderLimit: {"1"}, HeaderLeaving: {Yes}}
	assert.Equal(t, new(Contract).Signals(200, h), Signals{})
}

func TestRetryAfterIsReadFromRefusalsOnly(t *testing.T) {
	for _, c := range []struct {
		status int
		value  string
		want   time.Duration
	}{
		{503, "3", 3 * time.Second},
		{503, "0.25", 250 * time.Millisecond},
		{503, "", 0},
		{503, "-1", 0},
		{503, "Fri, 04 Dec 2026 00:00:00 GMT", 0},
		{503, "1e300", maxRetryAfter},
		{200, "3", 0},
		{429, "3", 0},
	} {
		got := Default().Signals(c.status, http.Header{"Retry-After": {c.value}}).RetryAfter
		assert.Equal(t, got, c.want, "%d %q", c.status, c.value)
	}
}
