package cactusproxy_test

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/outcome"
)

func TestEveryReasonIsInTheOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("docs/OPERATING.md")
	assert.NilError(t, err)
	for _, r := range outcome.Reasons() {
		assert.Check(t, strings.Contains(string(page), "| `"+string(r)+"` |"), "reason %s", r)
	}
}
