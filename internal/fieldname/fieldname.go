// Package fieldname checks names of HTTP header fields. net/http accepts names with blanks and leaves such fields out
// when it writes them.
package fieldname

import (
	"net/http"
	"strings"
)

// Valid reports whether a name is a token (RFC 9110, section 5.6.2).
func Valid(name string) bool {
	for i := range len(name) {
		if !isTokenByte(name[i]) {
			return false
		}
	}
	return name != ""
}

// AllValid reports whether the names of all fields are valid.
func AllValid(h http.Header) bool {
	for name := range h {
		if !Valid(name) {
			return false
		}
	}
	return true
}

func isTokenByte(b byte) bool {
	return 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || '0' <= b && b <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
