package targetapi

import (
	"net/http"
	"strconv"
	"time"
)

// Contract is by which headers callers, cactusproxy and targets speak to each
// other. Default is cactusproxy's own; a platform with a contract of its own
// hands another one to entry and dispatch. An empty name means that the header
// does not exist there.
type Contract struct {
	// RequestID is set by callers, each request with an ID of its own, and echoed
	// by targets. It tells an answer from a late one to an earlier request on the
	// same connection.
	RequestID string
	// Timeout is the time left for the call in milliseconds, Attempts the number
	// of attempts left and Depth the number of calls that led to this one.
	Timeout  string
	Attempts string
	Depth    string
	// Target names the target that a request is meant for. Any other target that
	// has its address by now refuses it with status 421.
	Target string
	// Instance names the target that answered, in answers to probes.
	Instance string
	// Key is the caller's API key, which never reaches a target; Tenant names the tenant
	// that holds it, for targets, whatever the caller said there.
	Key    string
	Tenant string
	// Seal is set by targets on all they answer but refusals of what they did not run. An
	// answer without it does not come from a target that ran the request.
	Seal string
	// Shed is set by a target on a refusal of a request that it did not run, with
	// whatever status unless ShedStatus is set.
	Shed       string
	ShedStatus int
	// Leaving is set by targets that are to stop.
	Leaving string
	// Limit is set by targets that take only so many requests a second, from all hosts
	// together, as a decimal number.
	Limit string
	// Load is read by ReadLoad.
	Load     string
	ReadLoad func(value string) (Load, bool)
	// WarmUp tells in a health answer how much longer the target is cold, as a number with
	// its unit.
	WarmUp string
	// InternalHeaders are headers of cactusproxy's own that are passed on neither way.
	InternalHeaders []string
	// Forwarded adds X-Forwarded-For and X-Forwarded-Proto for targets.
	Forwarded bool
	// FractionalRetryAfter lets Retry-After carry fractions of a second.
	FractionalRetryAfter bool
	// NotRunStatuses are taken by callers for the promise that a request was not
	// run, whoever sends them.
	NotRunStatuses []int
}

// Load is what a target tells of itself.
type Load struct {
	// Running and Waiting are requests at the target, Slots how many it runs at
	// once; Slots is 0 if it does not tell.
	Running, Waiting, Slots int
	// Slowdown is how long work takes there at the moment, 1 being as usual.
	Slowdown float64
}

// Default is the contract of headers.go.
func Default() *Contract {
	return &Contract{
		Timeout:    "Cactusproxy-Timeout-Ms",
		Attempts:   "Cactusproxy-Attempts",
		Depth:      "Cactusproxy-Depth",
		Shed:       HeaderShed,
		ShedStatus: http.StatusServiceUnavailable,
		Leaving:    HeaderLeaving,
		Limit:      HeaderLimit,
		Load:       HeaderLoad,
		ReadLoad:   readDefaultLoad,
		InternalHeaders:        []string{HeaderLoad, HeaderShed, HeaderLeaving, HeaderLimit},
		Forwarded:  true,
	}
}

func readDefaultLoad(value string) (Load, bool) {
	n, err := strconv.Atoi(value)
	if err != nil || n < 0 {
		return Load{}, false
	}
	return Load{Running: n, Slowdown: 1}, true
}

// IsShed reports whether an answer says that the target did not run the request.
func (c *Contract) IsShed(status int, h http.Header) bool {
	if c.ShedStatus != 0 && status != c.ShedStatus {
		return false
	}
	return h.Get(c.Shed) == Yes
}

// IsMisdirected reports whether another target has the address by now.
func (c *Contract) IsMisdirected(status int) bool {
	return c.Target != "" && status == http.StatusMisdirectedRequest
}

// IsFrom reports whether a health answer is from a target, and not from another that has its
// address by now.
func (c *Contract) IsFrom(target string, h http.Header) bool {
	if c.Instance == "" {
		return true
	}
	from := h.Get(c.Instance)
	return from == "" || from == target
}

// IsAnswerTo reports whether an answer is one to the request with these headers.
// A refusal may lack the echo: some targets refuse before they read the header.
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

// isRefusal reports whether a target says that it did not run the request.
func (c *Contract) isRefusal(status int, h http.Header) bool {
	return c.IsMisdirected(status) || c.IsShed(status, h)
}

// HasSeal reports whether an answer, of whatever status, comes from a target that ran the
// request.
func (c *Contract) HasSeal(h http.Header) bool {
	return c.Seal == "" || h.Get(c.Seal) != ""
}

// IsNotRunStatus reports whether callers take a status for the promise that the
// request was not run.
func (c *Contract) IsNotRunStatus(status int) bool {
	for _, s := range c.NotRunStatuses {
		if s == status {
			return true
		}
	}
	return false
}

// Strip removes what targets say to cactusproxy from an answer to a caller. The
// caller may itself be a target that passes an answer on as it came: a shed
// signal of the target behind it would then say of the caller's own request
// that it was not run.
func (c *Contract) Strip(h http.Header) {
	for _, name := range c.InternalHeaders {
		h.Del(name)
	}
}

// FormatRetryAfter writes a time for the header Retry-After.
func (c *Contract) FormatRetryAfter(d time.Duration) string {
	if c.FractionalRetryAfter {
		return strconv.FormatFloat(d.Seconds(), 'f', 2, 64)
	}
	whole := (d + time.Second - 1) / time.Second
	return strconv.FormatInt(int64(whole), 10)
}
