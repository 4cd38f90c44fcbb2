package operator

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/metrics"
)

// Guards against unauthorized changes: a request without the right token is refused,
// and so is every request to a host without a configured token, where an empty token
// would compare as equal.
func TestChangesNeedAToken(t *testing.T) {
	tests := []struct{ token, header string }{{"", ""}, {"", "Bearer "}, {"right", ""}, {"right", "Bearer righ"}, {"right", "Bearer right1"}}
	for _, tt := range tests {
		for _, path := range []string{PathApply, PathRollback} {
			set := metrics.New()
			h := New(Deps{Metrics: set, Log: zap.NewNop(), Token: tt.token})
			r := httptest.NewRequest(http.MethodPost, path, strings.NewReader("{}"))
			r.Header.Set("Authorization", tt.header)
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			assert.Equal(t, w.Code, http.StatusUnauthorized, "%+v", tt)
			assert.Equal(t, set.Map("operator_refused").Get("token").String(), "1")
		}
	}
}
