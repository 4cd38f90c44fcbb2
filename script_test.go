package cactusproxy_test

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cactusproxy/cactusproxy/internal/scenario"
)

// TestScripts runs the scenarios, one file for each promise and failure. The
// language is documented in package internal/scenario.
func TestScripts(t *testing.T) {
	testscript.Run(t, scenario.Params("testdata/script", "examples"))
}
