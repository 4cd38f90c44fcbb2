package target

import (
	"time"

	"github.com/cactusproxy/cactusproxy/ports"
)

// Headers by which a request controls the simulated target that runs it.
const (
	// HeaderCrash, with any value, crashes the target that runs the request.
	HeaderCrash = "X-Crash"
	// HeaderRunFor sets the service time of the request, as a Go duration.
	HeaderRunFor = "X-Run-For"
	// HeaderAnswerBytes adds that many bytes of padding to the response.
	HeaderAnswerBytes = "X-Answer-Bytes"
	// HeaderRequestID is echoed in the response's headers and body.
	HeaderRequestID = "X-Request-Id"
	// HeaderKey is the idempotency key; it is recorded with the run.
	HeaderKey = "Idempotency-Key"
)

// DefaultHealthPath is the path of the health endpoint if Options.HealthPath is empty.
const DefaultHealthPath = "/healthz"

// Options are the settings that are fixed for the lifetime of a target.
type Options struct {
	ID ports.HostID
	// Slots is the number of calls that run at once; 0 means 1.
	Slots int
	// Queue is the number of calls that may wait for a slot; further ones are shed.
	Queue int
	// MaxConns is the number of connections open at once; further ones are closed before
	// anything is read from them. 0 means no limit.
	MaxConns int
	// HealthPath is the path of the health endpoint; empty means DefaultHealthPath.
	HealthPath string
	// ProbeTime is how long a health request holds a slot; with 0 it takes none.
	ProbeTime time.Duration
	// Seed makes service times and slow periods reproducible.
	Seed uint64
	// Behaviour is the initial behaviour.
	Behaviour Behaviour
}

// Behaviour is what can be changed while the target runs. Durations are nanoseconds in JSON. The
// zero value finishes each call at once and reports the true state.
type Behaviour struct {
	// Limit is the rate limit that the target announces, in requests per second; 0 announces none.
	Limit float64 `json:"limit,omitempty"`
	// ServiceMean is the mean service time; with 0 calls finish at once.
	ServiceMean time.Duration `json:"serviceMean"`
	// ServiceSigma is the sigma of the lognormal service time; 0 makes it constant.
	ServiceSigma float64 `json:"serviceSigma"`
	// SlowFactor multiplies each service time; 0 means 1.
	SlowFactor float64 `json:"slowFactor"`
	// Straggle adds random slow periods.
	Straggle Straggle `json:"straggle"`
	// ColdStart is how long the target is slow after a start; the factor on its service times
	// falls linearly from ColdFactor to 1.
	ColdStart  time.Duration `json:"coldStart"`
	ColdFactor float64       `json:"coldFactor"`
	// FailFast responds to each call with status 500 at once, without taking a slot.
	FailFast bool `json:"failFast"`
	// Shed rejects each call before running it, with RetryAfter in the response if that is not 0.
	Shed       bool          `json:"shed"`
	RetryAfter time.Duration `json:"rest,omitempty"`
	// BreakOff closes the connection in the middle of each response.
	BreakOff bool `json:"breakOff"`
	// Silent omits the headers of package targetapi, except the one that marks a shed request.
	Silent bool `json:"silent"`
	// ReportLag is the age of the reported load and health.
	ReportLag time.Duration `json:"reportLag"`
	// FalseLoad, if set, is reported in place of the load.
	FalseLoad *int `json:"falseLoad,omitempty"`
	// FalseHealth, if set, is reported in place of the health.
	FalseHealth *bool `json:"falseHealth,omitempty"`
}

// Straggle describes slow periods at random times.
type Straggle struct {
	// Factor multiplies the service time during a slow period; 0 disables slow periods.
	Factor float64 `json:"factor"`
	// Share is the fraction of time that is slow, between 0 and 1, both excluded.
	Share float64 `json:"share"`
	// Period is the length of one slow period.
	Period time.Duration `json:"period"`
}
