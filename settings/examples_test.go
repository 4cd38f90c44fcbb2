package settings

import (
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

func TestExamplesLoad(t *testing.T) {
	files, err := filepath.Glob("../examples/*/settings.json")
	assert.NilError(t, err)
	assert.Equal(t, len(files), 2)
	for _, f := range files {
		_, err := Load(f)
		assert.NilError(t, err)
	}
}
