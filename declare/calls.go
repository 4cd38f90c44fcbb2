package declare

import (
	"net/http"
	"slices"
	"strings"
)

// anyCall is the rule that matches every call of a service.
const anyCall = "*"

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// String returns the rule in the syntax of configuration files.
func (r CallRule) String() string {
	s := strings.TrimSpace(r.Method + " " + r.PathPrefix)
	if s == "" {
		return anyCall
	}
	return s
}

// calls decodes a list of rules such as "POST /bids", "POST", "/bids" or "*".
func (d *decoder) calls(n node) []CallRule {
	var out []CallRule
	for _, s := range d.strings(n, TypeCalls) {
		r, ok := parseCallRule(s)
		if !ok {
			d.fail(n, `%q is not a call such as "POST /bids", "POST", "/bids" or "*"`, s)
			continue
		}
		out = append(out, r)
	}
	return out
}

func parseCallRule(s string) (CallRule, bool) {
	if s == anyCall {
		return CallRule{}, true
	}
	method, path, hasPath := strings.Cut(s, " ")
	if !hasPath && strings.HasPrefix(s, "/") {
		return CallRule{PathPrefix: s}, validPath(s)
	}
	if !slices.Contains(methods, method) {
		return CallRule{}, false
	}
	return CallRule{Method: method, PathPrefix: path}, !hasPath || validPath(path)
}

// validPath reports whether a path prefix can be matched literally: it is absolute and
// contains nothing that a router would normalize or decode.
func validPath(p string) bool {
	if !strings.HasPrefix(p, "/") || strings.Contains(p, "//") || len(p) > maxNameLength {
		return false
	}
	for _, segment := range strings.Split(p, "/") {
		if segment == "." || segment == ".." {
			return false
		}
	}
	return !strings.ContainsFunc(p, func(r rune) bool {
		return r <= ' ' || r > '~' || strings.ContainsRune(`%?#\;`, r)
	})
}
