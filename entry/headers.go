package entry

import (
	"net"
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"github.com/cactusproxy/cactusproxy/outcome"
)

// hopByHop are the headers that belong to one connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forwardable returns a copy of the headers without those that belong to the
// connection they came on and without any that cactusproxy sets itself: a
// caller or target that could spoof an outcome could make another program
// repeat what must not be repeated.
func forwardable(in http.Header) http.Header {
	out := make(http.Header, len(in))
	for name, values := range in {
		if !strings.HasPrefix(name, outcome.HeaderPrefix) {
			out[name] = values
		}
	}
	for _, named := range in["Connection"] {
		for name := range strings.SplitSeq(named, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}

// Headers that tell a target who called, as other proxies set them.
const (
	headerForwardedFor   = "X-Forwarded-For"
	headerForwardedProto = "X-Forwarded-Proto"
)

// addForwarded appends the caller's address to those of the proxies before it.
// What stands before the last address was said by the caller and may be false.
func addForwarded(h http.Header, r *http.Request) {
	ip, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return
	}
	chain := append(slices.Clone(r.Header[headerForwardedFor]), ip)
	h.Set(headerForwardedFor, strings.Join(chain, ", "))
	proto := "http"
	if r.TLS != nil {
		proto = "https"
	}
	h.Set(headerForwardedProto, proto)
}

// setTenant takes the caller's API key off the headers, and has them name its tenant whatever
// the caller said there, in whatever spelling: some targets read X_Name as X-Name.
func (s *Server) setTenant(h http.Header, tenant string) {
	key, name := s.deps.Contract.Key, s.deps.Contract.Tenant
	if key == "" || name == "" {
		return
	}
	for have := range h {
		if spells(have, key) || spells(have, name) {
			delete(h, have)
		}
	}
	if tenant != "" {
		h.Set(name, tenant)
	}
}

// spells reports whether a header's name is another one but for letter case and underscores.
func spells(have, name string) bool {
	if len(have) != len(name) {
		return false
	}
	return strings.EqualFold(strings.ReplaceAll(have, "_", "-"), name)
}
