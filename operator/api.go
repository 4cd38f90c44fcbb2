// Package operator implements the HTTP API for operators: planning, applying and
// rolling back configuration changes, their status and history, and the metrics.
// Requests and replies are JSON; changes need a bearer token. Package
// operator/client is the client.
package operator

import (
	"net/http"
	"time"

	"github.com/cactusproxy/cactusproxy/controller/config"
)

// Paths of the API.
const (
	PathPlan     = "/v1/plan"
	PathApply    = "/v1/apply"
	PathRollback = "/v1/rollback"
	PathStatus   = "/v1/status"
	PathHistory  = "/v1/history"
	PathMetrics  = "/metrics"
)

// MaxWait bounds how long a request may wait for its change to be in force.
const MaxWait = time.Minute

// PlanRequest asks what applying a declaration would change.
type PlanRequest struct {
	Workspace config.File  `json:"workspace"`
	Template  *config.File `json:"template,omitempty"`
}

// ApplyRequest asks to change a workspace to its declaration.
type ApplyRequest struct {
	// ID identifies the change, so that a retry with the same ID applies only once.
	ID  string `json:"id"`
	Who string `json:"who"`
	// Base is the workspace version that the plan was computed against. It is
	// required, so that no concurrent change is overwritten.
	Base      *uint64      `json:"base"`
	Workspace config.File  `json:"workspace"`
	Template  *config.File `json:"template,omitempty"`
	// WaitMillis is how long to wait for the change to be in force on every host,
	// in milliseconds, up to MaxWait; 0 does not wait.
	WaitMillis int64 `json:"waitMillis,omitempty"`
}

// RollbackRequest asks to restore an earlier version of a workspace as a new change.
type RollbackRequest struct {
	ID         string  `json:"id"`
	Who        string  `json:"who"`
	Base       *uint64 `json:"base"`
	Workspace  string  `json:"workspace"`
	To         uint64  `json:"to"`
	WaitMillis int64   `json:"waitMillis,omitempty"`
}

// ChangeReply is the reply to ApplyRequest and RollbackRequest.
type ChangeReply struct {
	config.Outcome
	// Status is set if the change was applied and the request asked to wait.
	Status *config.Status `json:"status,omitempty"`
}

// HistoryReply lists changes, newest first.
type HistoryReply struct {
	Changes []config.Change `json:"changes"`
}

// ErrorReply is the reply to a request that was malformed or unauthorized, or that
// failed because the platform was unavailable.
type ErrorReply struct {
	Error string `json:"error"`
}

// StatusOf returns the HTTP status code for a result.
func StatusOf(r config.Result) int {
	switch r {
	case config.ResultApplied, config.ResultUnchanged:
		return http.StatusOK
	case config.ResultConflict:
		return http.StatusConflict
	case config.ResultInvalid:
		return http.StatusUnprocessableEntity
	case config.ResultUncertain:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}
