package entry

import (
	"net"
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"github.com/cactusproxy/cactusproxy/outcome"
)

// hopByHop lists the hop-by-hop headers (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forwardable returns a copy of the headers without hop-by-hop headers and without those that
// cactusproxy sets itself. A caller or target that could spoof an outcome could make another
// program repeat a call that must not be repeated.
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

// De facto standard headers that tell a target the address and protocol of the caller.
const (
	headerForwardedFor   = "X-Forwarded-For"
	headerForwardedProto = "X-Forwarded-Proto"
)

// addForwarded appends the caller's address to X-Forwarded-For. Only the last address is reliable;
// those before it come from the caller and may be forged.
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

// setTenant removes the caller's API key from the headers and sets the tenant header, whatever the
// caller sent there in whatever spelling: some targets read X_Name as X-Name.
func (s *Server) setTenant(h http.Header, tenant string) {
	key, name := s.deps.Contract.Key, s.deps.Contract.Tenant
	if key == "" || name == "" {
		return
	}
	for header := range h {
		if sameHeader(header, key) || sameHeader(header, name) {
			delete(h, header)
		}
	}
	if tenant != "" {
		h.Set(name, tenant)
	}
}

// sameHeader reports whether two header names are equal, ignoring letter case and reading
// underscores as hyphens.
func sameHeader(header, name string) bool {
	if len(header) != len(name) {
		return false
	}
	return strings.EqualFold(strings.ReplaceAll(header, "_", "-"), name)
}
