package targetapi

import (
	"net/http"
	"strconv"
	"time"
)

// Contract names the headers by which callers, cactusproxy and targets communicate. Default
// returns cactusproxy's own; a platform with other conventions passes a different one to the
// entry and dispatch packages. An empty name means that the contract has no such header.
type Contract struct {
	// RequestID is set by callers to a unique ID for each request and echoed by targets. It
	// distinguishes a response from a late one to an earlier request on the same connection.
	RequestID string
	// Timeout is the time left for the call in milliseconds, Attempts the number of attempts
	// left, and Depth the number of calls that led to this one.
	Timeout  string
	Attempts string
	Depth    string
	// Target names the target that a request is meant for. Another target that now has its
	// address refuses the request with status 421.
	Target string
	// Instance names the responding target in health responses.
	Instance string
	// Key is the caller's API key, which is never sent to targets. Tenant tells targets which
	// tenant holds the key; a value sent by the caller is replaced.
	Key    string
	Tenant string
	// Seal is set by targets on all responses except refusals of requests that they did not
	// run. A response without it does not come from a target that ran the request.
	Seal string
	// Shed is set by a target on the refusal of a request that it did not run, with status
	// ShedStatus, or with any status if that is 0.
	Shed       string
	ShedStatus int
	// Leaving is set by targets that are about to stop.
	Leaving string
	// Limit is set by targets that limit the requests per second from all hosts together, as a
	// decimal number.
	Limit string
	// Load carries the target's load report, parsed by ReadLoad.
	Load     string
	ReadLoad func(value string) (Load, bool)
	// WarmUp is the remaining warm-up time of a cold target in health responses, as a number
	// with its unit.
	WarmUp string
	// InternalHeaders are the headers between cactusproxy and targets, which are not passed on
	// in either direction.
	InternalHeaders []string
	// Forwarded adds X-Forwarded-For and X-Forwarded-Proto to requests to targets.
	Forwarded bool
	// FractionalRetryAfter allows fractions of a second in Retry-After.
	FractionalRetryAfter bool
	// NotRunStatuses are the statuses that callers take to mean that a request was not run,
	// whoever sent them.
	NotRunStatuses []int
}

// Load is a target's report of its own load.
type Load struct {
	// Running and Waiting are the requests at the target, Slots how many it runs at once; Slots
	// is 0 if not reported.
	Running, Waiting, Slots int
	// Slowdown is the current duration of work there relative to the usual one; 1 means as
	// usual.
	Slowdown float64
}

// Default returns the contract with the headers of this package.
func Default() *Contract {
	return &Contract{
		Timeout:         "Cactusproxy-Timeout-Ms",
		Attempts:        "Cactusproxy-Attempts",
		Depth:           "Cactusproxy-Depth",
		Shed:            HeaderShed,
		ShedStatus:      http.StatusServiceUnavailable,
		Leaving:         HeaderLeaving,
		Limit:           HeaderLimit,
		Load:            HeaderLoad,
		ReadLoad:        readDefaultLoad,
		InternalHeaders: []string{HeaderLoad, HeaderShed, HeaderLeaving, HeaderLimit},
		Forwarded:       true,
	}
}

func readDefaultLoad(value string) (Load, bool) {
	n, err := strconv.Atoi(value)
	if err != nil || n < 0 {
		return Load{}, false
	}
	return Load{Running: n, Slowdown: 1}, true
}

// IsShed reports whether a response states that the target did not run the request.
func (c *Contract) IsShed(status int, h http.Header) bool {
	if c.ShedStatus != 0 && status != c.ShedStatus {
		return false
	}
	return h.Get(c.Shed) == Yes
}

// IsMisdirected reports whether a response states that another target now has the address.
func (c *Contract) IsMisdirected(status int) bool {
	return c.Target != "" && status == http.StatusMisdirectedRequest
}

// IsFrom reports whether a health response may come from the given target, rather than from
// another that now has its address.
func (c *Contract) IsFrom(target string, h http.Header) bool {
	if c.Instance == "" {
		return true
	}
	from := h.Get(c.Instance)
	return from == "" || from == target
}

// Names reports whether a health response names the given target, or the contract has no such
// header.
func (c *Contract) Names(target string, h http.Header) bool {
	return c.Instance == "" || h.Get(c.Instance) == target
}

// IsAnswerTo reports whether a response belongs to the request with these headers. A refusal
// may lack the echoed ID: some targets refuse before they read the header.
func (c *Contract) IsAnswerTo(request, answer http.Header, status int) bool {
	if c.RequestID == "" {
		return true
	}
	want, have := request.Get(c.RequestID), answer.Get(c.RequestID)
	if have == "" && c.isRefusal(status, answer) {
		return true
	}
	return have == want
}

// isRefusal reports whether a response states that the target did not run the request.
func (c *Contract) isRefusal(status int, h http.Header) bool {
	return c.IsMisdirected(status) || c.IsShed(status, h)
}

// HasSeal reports whether a response, of whatever status, comes from a target that ran the
// request.
func (c *Contract) HasSeal(h http.Header) bool {
	return c.Seal == "" || h.Get(c.Seal) != ""
}

// IsNotRunStatus reports whether callers take a status to mean that the request was not run.
func (c *Contract) IsNotRunStatus(status int) bool {
	for _, s := range c.NotRunStatuses {
		if s == status {
			return true
		}
	}
	return false
}

// Strip removes the headers meant for cactusproxy from a response to a caller. The caller may
// itself be a target that passes the response on: a shed header from the target behind it would
// then state that the caller's own request was not run.
func (c *Contract) Strip(h http.Header) {
	for _, name := range c.InternalHeaders {
		h.Del(name)
	}
}

// FormatRetryAfter formats a duration for the Retry-After header.
func (c *Contract) FormatRetryAfter(d time.Duration) string {
	if c.FractionalRetryAfter {
		return strconv.FormatFloat(d.Seconds(), 'f', 2, 64)
	}
	whole := (d + time.Second - 1) / time.Second
	return strconv.FormatInt(int64(whole), 10)
}
