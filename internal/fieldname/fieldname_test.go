package fieldname_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/internal/fieldname"
)

func TestValid(t *testing.T) {
	for _, name := range []string{"a", "Content-Length", "X_Y", "!#$%&'*+-.^_`|~09"} {
		assert.Check(t, fieldname.Valid(name), "%q", name)
	}
	for _, name := range []string{"", "X Y", "X ", " X", "X\tY", "X\x01", "X:", "X\x7f", "Ä"} {
		assert.Check(t, !fieldname.Valid(name), "%q", name)
		assert.Check(t, !fieldname.AllValid(http.Header{"Ok": nil, name: nil}), "%q", name)
	}
	assert.Check(t, fieldname.AllValid(nil))
}
