package logging

import (
	"bytes"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

func TestOneLineOfPairsForEachEvent(t *testing.T) {
	var b bytes.Buffer
	log, err := New(&b, "warn")
	assert.NilError(t, err)
	log.Info("dropped")
	log.Warn("target ejected", zap.String("target", "t1"), zap.Int("errors", 20))
	line := b.String()
	assert.Equal(t, strings.Count(line, "\n"), 1)
	assert.Check(t, strings.Contains(line, `msg="target ejected" target=t1 errors=20`), line)

	b.Reset()
	log.With(zap.String("host", "h1")).Warn("failed", zap.Error(errors.Wrap(errors.New("inner"), "outer")))
	assert.Check(t, strings.HasSuffix(b.String(), "error=\"outer: inner\"\n"), b.String())
	_, err = New(&b, "loud")
	assert.ErrorContains(t, err, "loud")
}
