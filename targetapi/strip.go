package targetapi

import "net/http"

// Strip removes what targets say to cactusproxy from an answer to a caller. The
// caller may itself be a target that passes an answer on as it came: a shed
// signal of the target behind it would then say of the caller's own request
// that it was not run.
func Strip(h http.Header) {
	h.Del(HeaderLoad)
	h.Del(HeaderShed)
	h.Del(HeaderLeaving)
}
