// Package targetapi is the contract between cactusproxy and the authors of
// targets: the headers by which a target tells of its load, of its leaving and
// of what it refused before running it, and the answer of its health endpoint.
// A target that sends none of them is served all the same, on what the entry
// hosts measure by themselves.
package targetapi

import (
	"net/http"
	"strconv"
)

// Headers that a target sets on its answers. They are meant for cactusproxy.
const (
	// HeaderLoad is set on each answer: the number of calls in flight and
	// queued at the target when the answer was begun, in decimal, without the
	// call that is answered. A smaller number means more room.
	HeaderLoad = "Target-Load"
	// HeaderShed is set to 1 on an answer with status 503 that says: this
	// request was not run, not even in part, and will not be. Such a call may
	// be sent to another target. A target that has begun to run a request must
	// not set it, whatever came of it.
	HeaderShed = "Target-Shed"
	// HeaderLeaving is set to 1 on each answer, of whatever status, from the
	// moment the target knows that it is to stop. The target should still take
	// what reaches it in the next 2 seconds; later requests may be refused with
	// status 503 and HeaderShed. Calls it has begun are to be finished.
	HeaderLeaving = "Target-Leaving"
	// HeaderLimit is set on each answer, of whatever status, while the target takes only so
	// many requests a second from all entry hosts together: a decimal number. In any 4
	// seconds it gets at most half as many again, and 5. The first answer without it ends
	// the limit.
	HeaderLimit = "Target-Limit"
)

// Yes is the value of HeaderShed and HeaderLeaving; any other value, and an
// absent header, mean no.
const Yes = "1"

// Health is the JSON body of the health endpoint. The endpoint answers GET with
// status 200 if the target takes calls, and with 503 if it does not.
type Health struct {
	// Load is as in HeaderLoad.
	Load int `json:"load"`
	// Slots is the number of calls the target runs at once.
	Slots int `json:"slots"`
	// Leaving is as in HeaderLeaving.
	Leaving bool `json:"leaving"`
}

// LoadOf returns the load that an answer reports, or -1 if it reports none or
// one that can not be read.
func LoadOf(h http.Header) int {
	n, err := strconv.Atoi(h.Get(HeaderLoad))
	if err != nil || n < 0 {
		return -1
	}
	return n
}

// IsShed reports whether an answer says that the request was not run.
func IsShed(status int, h http.Header) bool {
	return status == http.StatusServiceUnavailable && h.Get(HeaderShed) == Yes
}

// IsLeaving reports whether an answer says that its target is to stop.
func IsLeaving(h http.Header) bool { return h.Get(HeaderLeaving) == Yes }
