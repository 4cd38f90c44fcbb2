package cactusproxy_test

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cactusproxy/cactusproxy/internal/scenario"
)

// TestScripts runs the scenarios of testdata/script, one file per guarantee or failure
// mode. Package internal/scenario documents the script commands.
func TestScripts(t *testing.T) {
	testscript.Run(t, scenario.Params("testdata/script", "examples"))
}
