package declare

import (
	"fmt"
	"strings"
)

// Problem is one error in a template or workspace file, at the place where an operator can
// fix it.
type Problem struct {
	File string `json:"file"`
	// Line counts from 1.
	Line int `json:"line"`
	// Field is the path of the field, such as services.bids.timeout; empty for the whole file.
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// String returns "file:line: field: message".
func (p Problem) String() string {
	if p.Field == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Field, p.Message)
}

// Problems holds all errors found in a file. As an error it is never empty.
type Problems []Problem

// Error returns one problem per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// asError returns the problems as an error, or nil if there are none.
func (ps Problems) asError() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}
