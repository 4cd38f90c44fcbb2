package main

import (
	"io/fs"
	"path"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against declarations that are looked up relative to the working directory: run
// from another folder, the program did not find them and most steps failed.
func TestDeclarationsAreFoundFromAnyFolder(t *testing.T) {
	t.Chdir(t.TempDir())
	for _, deployment := range []string{"auction", "repairs"} {
		for _, file := range []string{"template.jsonc", "workspace.jsonc"} {
			text, err := fs.ReadFile(args{}.files(), path.Join(deployment, file))
			assert.NilError(t, err)
			assert.Check(t, len(text) > 0)
		}
	}
}
