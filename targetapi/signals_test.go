package targetapi

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

func TestLimitThatCanNotBeReadIsNone(t *testing.T) {
	for value, want := range map[string]Limit{
		"1.0": {Named: true, PerSecond: 1}, "0": {Named: true}, "": {}, "-1": {}, "NaN": {}, "inf": {}, "many": {}, "1e999": {},
	} {
		assert.Equal(t, Default().Signals(http.Header{HeaderLimit: {value}}).Limit, want, "value %q", value)
	}
}

func TestContractWithoutNamesReadsNothing(t *testing.T) {
	h := http.Header{"": {"1"}, HeaderLimit: {"1"}, HeaderLeaving: {Yes}}
	assert.Equal(t, new(Contract).Signals(h), Signals{})
}
