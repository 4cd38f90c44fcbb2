package main

import (
	"io/fs"
	"path"
	"testing"

	"gotest.tools/v3/assert"
)

// Somebody tries the program that was just built in another folder: nine of twelve steps
// failed, since the declarations were looked for beside the caller.
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
