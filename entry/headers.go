package entry

import (
	"net/http"
	"net/textproto"
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
