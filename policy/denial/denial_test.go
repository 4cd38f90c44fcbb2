package denial

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestOnlyTheNewestConfigurationDenies(t *testing.T) {
	for name, tc := range map[string]struct {
		k    ConfigState
		want bool
	}{
		"confirmed just now":              {ConfigState{Version: 5, Newest: 5}, true},
		"confirmed at the limit":          {ConfigState{Version: 5, Newest: 5, Age: MaxAge}, true},
		"newer than any version heard of": {ConfigState{Version: 6, Newest: 5, Age: time.Second}, true},
		"newer version heard of":          {ConfigState{Version: 2, Newest: 5}, false},
		"confirmed too long ago":          {ConfigState{Version: 5, Newest: 5, Age: MaxAge + 1}, false},
		"never confirmed":                 {ConfigState{Version: 5, Newest: 5, Age: Never}, false},
	} {
		assert.Equal(t, tc.k.MayDeny(), tc.want, name)
	}
}
