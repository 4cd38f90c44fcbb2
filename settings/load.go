package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// Problem is an error in a settings file.
type Problem struct {
	File string
	// Line counts from 1. It is 0 if the error has no position in the file.
	Line int
	// Field is the dotted path of the field, such as callers.addr. It may be empty.
	Field   string
	Message string
}

// Error formats the problem as "file:line: field: message".
func (p Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	b.WriteString(": ")
	if p.Field != "" {
		b.WriteString(p.Field + ": ")
	}
	b.WriteString(p.Message)
	return b.String()
}

// Load reads and validates a settings file.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(file, data)
}

// Parse decodes and validates settings in JSON with comments. file is only used in errors. The
// error is a Problem, or several of them joined.
func Parse(file string, data []byte) (*Settings, error) {
	src := source{file: file, data: data}
	tree, err := hujson.Parse(data)
	if err != nil {
		return nil, src.syntaxProblem(err)
	}
	src.tree = tree
	plain := tree.Clone()
	plain.Standardize()
	dec := json.NewDecoder(bytes.NewReader(plain.Pack()))
	dec.DisallowUnknownFields()
	s := new(Settings)
	if err := dec.Decode(s); err != nil {
		return nil, src.decodeProblem(err)
	}
	if problems := src.locate(s.check()); len(problems) > 0 {
		return nil, errors.Join(problems...)
	}
	return s, nil
}

// source is a settings file. It finds the positions of errors.
type source struct {
	file string
	data []byte
	tree hujson.Value
}

var syntaxErrorPattern = regexp.MustCompile(`line (\d+), column \d+: (.*)$`)

func (s source) syntaxProblem(err error) error {
	m := syntaxErrorPattern.FindStringSubmatch(err.Error())
	if m == nil {
		return Problem{File: s.file, Message: err.Error()}
	}
	var line int
	_, _ = fmt.Sscan(m[1], &line)
	return Problem{File: s.file, Line: line, Message: m[2]}
}

var unknownFieldPattern = regexp.MustCompile(`unknown field "(.*)"`)

func (s source) decodeProblem(err error) error {
	var typ *json.UnmarshalTypeError
	if errors.As(err, &typ) {
		msg := fmt.Sprintf("want %s, got %s", typ.Type, typ.Value)
		return Problem{File: s.file, Line: s.line(int(typ.Offset)), Field: typ.Field, Message: msg}
	}
	if m := unknownFieldPattern.FindStringSubmatch(err.Error()); m != nil {
		return Problem{File: s.file, Line: s.lineOfName(m[1]), Field: m[1], Message: "unknown field"}
	}
	return Problem{File: s.file, Message: err.Error()}
}

func (s source) line(offset int) int {
	offset = min(max(offset, 0), len(s.data))
	return 1 + bytes.Count(s.data[:offset], []byte("\n"))
}

// lineOfName returns the line of the first object member with this name.
func (s source) lineOfName(name string) int {
	for v := range s.tree.All() {
		obj, ok := v.Value.(*hujson.Object)
		if !ok {
			continue
		}
		for _, m := range obj.Members {
			if lit, ok := m.Name.Value.(hujson.Literal); ok && lit.String() == name {
				return s.line(m.Name.StartOffset)
			}
		}
	}
	return 0
}

// locate converts invalid settings to Problems. The line is that of the field or, if the field is
// absent, of the innermost object that should contain it.
func (s source) locate(invalid []invalidSetting) []error {
	out := make([]error, 0, len(invalid))
	for _, f := range invalid {
		p := Problem{File: s.file, Field: f.field, Message: f.message}
		path := "/" + strings.ReplaceAll(f.field, ".", "/")
		for path != "" {
			if v := s.tree.Find(path); v != nil {
				p.Line = s.line(v.StartOffset)
				break
			}
			path = path[:strings.LastIndex(path, "/")]
		}
		out = append(out, p)
	}
	return out
}
