// Package targetapi defines the HTTP contract between cactusproxy and targets: the headers by
// which a target reports its load, that it is leaving, and that it refused a request before
// running it, and the response of its health endpoint. A Contract names these headers, so that
// a platform with its own conventions can replace them.
//
// A target that sends none of the headers is served as well, based on what the entry hosts
// measure.
package targetapi

import (
	"net/http"
	"strconv"
)

// Headers that a target sets on its responses for cactusproxy.
const (
	// HeaderLoad is set on each response: the number of calls in flight and queued at the
	// target when the response was started, in decimal, without the call being answered. A
	// smaller number means more room.
	HeaderLoad = "Target-Load"
	// HeaderShed is set to 1 on a response with status 503 to state that the request was not
	// run, not even in part, and will not be. Such a call may be sent to another target. A
	// target that has begun to run a request must not set it, whatever the result.
	HeaderShed = "Target-Shed"
	// HeaderLeaving is set to 1 on each response, whatever its status, from the moment the
	// target knows that it will stop. The target should still accept requests for the next 2
	// seconds; it may refuse later ones with status 503 and HeaderShed. It must finish the
	// calls it has begun.
	HeaderLeaving = "Target-Leaving"
	// HeaderLimit is set on each response, whatever its status, while the target limits the
	// rate of requests from all entry hosts together: a decimal number of requests per second.
	// In any 4 seconds the target gets at most 1.5 times what the rate allows, plus 5 requests.
	// The first response without the header ends the limit.
	HeaderLimit = "Target-Limit"
)

// Yes is the value of HeaderShed and HeaderLeaving that sets them; any other value, or no
// header, means no.
const Yes = "1"

// Health is the JSON body of the health endpoint. The endpoint answers GET with status 200 if
// the target accepts calls, and with 503 if it does not.
type Health struct {
	// Load is as in HeaderLoad.
	Load int `json:"load"`
	// Slots is the number of calls the target runs at once.
	Slots int `json:"slots"`
	// Leaving is as in HeaderLeaving.
	Leaving bool `json:"leaving"`
}

// LoadOf returns the load reported in a response, or -1 if it is missing or malformed.
func LoadOf(h http.Header) int {
	n, err := strconv.Atoi(h.Get(HeaderLoad))
	if err != nil || n < 0 {
		return -1
	}
	return n
}

// IsShed reports whether a response states that the request was not run.
func IsShed(status int, h http.Header) bool {
	return status == http.StatusServiceUnavailable && h.Get(HeaderShed) == Yes
}

// IsLeaving reports whether a response states that its target is leaving.
func IsLeaving(h http.Header) bool { return h.Get(HeaderLeaving) == Yes }
