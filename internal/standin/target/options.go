package target

import (
	"time"

	"github.com/cactusproxy/cactusproxy/ports"
)

// Headers by which a request steers the stand-in that runs it.
const (
	// HeaderCrash, with any value, crashes the target that runs the request.
	HeaderCrash = "X-Crash"
	// HeaderRunFor sets the service time of the request, as a Go duration.
	HeaderRunFor = "X-Run-For"
	// HeaderAnswerBytes adds that many bytes of padding to the answer.
	HeaderAnswerBytes = "X-Answer-Bytes"
	// HeaderRequestID is echoed in the answer's headers and body.
	HeaderRequestID = "X-Request-Id"
	// HeaderKey is the idempotency key that the record of runs keeps.
	HeaderKey = "Idempotency-Key"
)

// DefaultHealthPath is where health is served if Options name no other path.
const DefaultHealthPath = "/healthz"

// Options are what stays the same over the life of a target.
type Options struct {
	ID ports.HostID
	// Slots is the number of calls run at once; 0 stands for 1.
	Slots int
	// Queue is the number of calls that may wait for a slot; more are shed.
	Queue int
	// MaxConns is the number of connections taken at once; further ones are
	// closed before anything is read from them. 0 is no limit.
	MaxConns int
	// HealthPath is the path of the health endpoint; empty stands for
	// DefaultHealthPath.
	HealthPath string
	// ProbeTime is how long a health request holds a slot; 0 holds none.
	ProbeTime time.Duration
	// Seed fixes the service times and the slow periods.
	Seed uint64
	// Behaviour is what the target starts with.
	Behaviour Behaviour
}

// Behaviour is what can be changed while the target runs. Durations are
// nanoseconds in JSON. The zero value runs each call at once and tells the
// truth.
type Behaviour struct {
	// Limit is the requests a second that it names as its limit; it names none if 0.
	Limit float64 `json:"limit,omitempty"`
	// ServiceMean is the mean service time; 0 runs calls at once.
	ServiceMean time.Duration `json:"serviceMean"`
	// ServiceSigma is the sigma of the lognormal service time; 0 is constant.
	ServiceSigma float64 `json:"serviceSigma"`
	// SlowFactor multiplies each service time; 0 stands for 1.
	SlowFactor float64 `json:"slowFactor"`
	// Straggle adds periods in which the target is slow.
	Straggle Straggle `json:"straggle"`
	// ColdStart is how long after its start the target is slow; the factor
	// falls evenly from ColdFactor to 1.
	ColdStart  time.Duration `json:"coldStart"`
	ColdFactor float64       `json:"coldFactor"`
	// FailFast answers each call with 500 at once, without taking a slot.
	FailFast bool `json:"failFast"`
	// Shed refuses each call before running it, and asks for Rest if that is not 0.
	Shed bool          `json:"shed"`
	RetryAfter time.Duration `json:"rest,omitempty"`
	// BreakOff closes the connection in the middle of each answer.
	BreakOff bool `json:"breakOff"`
	// Silent sends none of the headers of package targetapi, except the sign
	// of a shed request.
	Silent bool `json:"silent"`
	// ReportLag is how old the reported load and health are.
	ReportLag time.Duration `json:"reportLag"`
	// FalseLoad, if set, is reported in place of the load.
	FalseLoad *int `json:"falseLoad,omitempty"`
	// FalseHealth, if set, is reported in place of the health.
	FalseHealth *bool `json:"falseHealth,omitempty"`
}

// Straggle describes slow periods that come at random moments.
type Straggle struct {
	// Factor multiplies the service time in a slow period; 0 means that there
	// are none.
	Factor float64 `json:"factor"`
	// Share is the share of time that is slow, above 0 and below 1.
	Share float64 `json:"share"`
	// Period is the length of one slow period.
	Period time.Duration `json:"period"`
}
