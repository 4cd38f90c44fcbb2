package cactusproxy_test

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// figures matches results of a measurement that a comment gives in place of a reason:
// a fraction without a unit of time, a number of hosts, or that one figure replaced
// another.
var figures = regexp.MustCompile(`\b0\.\d{2,}\b|\b\d{2,} hosts\b|\bin place of \d|, measured\b|\bfleetbench\b`)

// benchmarks are the folders of benchmark code, whose comments may name parameters.
var benchmarks = []string{"internal/bench", "cmd/cactusbench"}

func TestCommentsTellNoFiguresOfRuns(t *testing.T) {
	for path, comments := range shippedComments(t) {
		for _, c := range comments {
			found := figures.FindString(c)
			assert.Check(t, found == "", "%s: a comment contains the measured figure %q; figures belong in the commit message", path, found)
		}
	}
}

// shippedComments returns the comments of non-test code by file, each joined into one
// line.
func shippedComments(t *testing.T) map[string][]string {
	t.Helper()
	all := make(map[string][]string)
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		for _, folder := range benchmarks {
			if strings.HasPrefix(path, folder) {
				return nil
			}
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments|parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		for _, group := range f.Comments {
			all[path] = append(all[path], oneLine(group))
		}
		return nil
	})
	assert.NilError(t, err)
	return all
}

func oneLine(group *ast.CommentGroup) string {
	var out bytes.Buffer
	for _, word := range strings.Fields(group.Text()) {
		out.WriteString(word + " ")
	}
	return out.String()
}
