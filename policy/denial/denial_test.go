package denial

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestOnlyTheNewestConfigurationDenies(t *testing.T) {
	for name, tc := range map[string]struct {
		k    Knowledge
		want bool
	}{
		"confirmed just now":            {Knowledge{Version: 5, Newest: 5}, true},
		"confirmed at the bound":        {Knowledge{Version: 5, Newest: 5, Age: MaxAge}, true},
		"newer than any that was heard": {Knowledge{Version: 6, Newest: 5, Age: time.Second}, true},
		"heard of a newer one":          {Knowledge{Version: 2, Newest: 5}, false},
		"confirmed too long ago":        {Knowledge{Version: 5, Newest: 5, Age: MaxAge + 1}, false},
		"never confirmed":               {Knowledge{Version: 5, Newest: 5, Age: Never}, false},
	} {
		assert.Equal(t, tc.k.Allowed(), tc.want, name)
	}
}
