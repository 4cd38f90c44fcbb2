package declare

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// MaxFileSize is the maximum size of a template or workspace file, in bytes. The parser
// recurses into nested values, so an unbounded file could exhaust the stack.
const MaxFileSize = 256 << 10

// source is a file that is being parsed.
type source struct {
	file string
	text []byte
}

// line returns the line number of a byte offset, starting at 1.
func (s *source) line(offset int) int {
	offset = min(max(offset, 0), len(s.text))
	return 1 + bytes.Count(s.text[:offset], []byte("\n"))
}

// node is a value in a file, with its path. The zero node represents an absent field.
type node struct {
	src   *source
	field string
	value *hujson.Value
}

func (n node) absent() bool { return n.value == nil }

func (n node) kind() hujson.Kind {
	if n.absent() {
		return 0
	}
	return n.value.Value.Kind()
}

// text returns the value of a string, or the source text of a number.
func (n node) text() string {
	if lit, ok := n.value.Value.(hujson.Literal); ok {
		return lit.String()
	}
	return ""
}

func (n node) child(name string, v *hujson.Value) node {
	field := name
	if n.field != "" {
		field = n.field + "." + name
	}
	return node{src: n.src, field: field, value: v}
}

// items returns the elements of an array.
func (n node) items() []node {
	arr, ok := n.value.Value.(*hujson.Array)
	if !ok {
		return nil
	}
	out := make([]node, len(arr.Elements))
	for i := range arr.Elements {
		out[i] = node{src: n.src, field: n.field + "[" + strconv.Itoa(i) + "]", value: &arr.Elements[i]}
	}
	return out
}

// parseFile parses a file, whose top-level value must be an object.
func parseFile(file string, text []byte) (node, error) {
	src := &source{file: file, text: bytes.Clone(text)}
	if len(text) > MaxFileSize {
		return node{}, Problems{{File: file, Line: 1, Message: fmt.Sprintf("file is larger than %d bytes", MaxFileSize)}}
	}
	v, err := hujson.Parse(src.text)
	if err != nil {
		line, msg := splitSyntaxError(err)
		return node{}, Problems{{File: file, Line: line, Message: msg}}
	}
	n := node{src: src, value: &v}
	if n.kind() != '{' {
		return node{}, Problems{{File: file, Line: src.line(v.StartOffset), Message: "want an object"}}
	}
	return n, nil
}

// splitSyntaxError extracts the line number from the parser's message, which reads "hujson:
// line 3, column 7: ...".
func splitSyntaxError(err error) (line int, msg string) {
	msg = strings.TrimPrefix(err.Error(), "hujson: ")
	if _, scanErr := fmt.Sscanf(msg, "line %d,", &line); scanErr != nil {
		return 1, msg
	}
	return line, msg
}
