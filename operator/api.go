// Package operator is the HTTP interface that operators drive: plan, apply,
// status, history and rollback of the configuration, and the metrics. Package
// operator/client speaks to it.
package operator

import (
	"net/http"
	"time"

	"github.com/cactusproxy/cactusproxy/controller/config"
)

// Paths of the interface.
const (
	PathPlan     = "/v1/plan"
	PathApply    = "/v1/apply"
	PathRollback = "/v1/rollback"
	PathStatus   = "/v1/status"
	PathHistory  = "/v1/history"
	PathMetrics  = "/metrics"
)

// MaxWait bounds the time that a change waits to be in force.
const MaxWait = time.Minute

// PlanRequest asks what applying a declaration would change.
type PlanRequest struct {
	Workspace config.File  `json:"workspace"`
	Template  *config.File `json:"template,omitempty"`
}

// ApplyRequest asks for a workspace to become as declared.
type ApplyRequest struct {
	// ID identifies the change; the same ID never applies twice.
	ID  string `json:"id"`
	Who string `json:"who"`
	// Base is the workspace version that the plan was made against. It must be
	// given, so that no change is overwritten unseen.
	Base      *uint64      `json:"base"`
	Workspace config.File  `json:"workspace"`
	Template  *config.File `json:"template,omitempty"`
	// WaitMillis is how long to wait for the change to be in force everywhere.
	WaitMillis int64 `json:"waitMillis,omitempty"`
}

// RollbackRequest asks for an earlier version of a workspace.
type RollbackRequest struct {
	ID         string  `json:"id"`
	Who        string  `json:"who"`
	Base       *uint64 `json:"base"`
	Workspace  string  `json:"workspace"`
	To         uint64  `json:"to"`
	WaitMillis int64   `json:"waitMillis,omitempty"`
}

// ChangeReply is the answer to ApplyRequest and RollbackRequest.
type ChangeReply struct {
	config.Outcome
	// Status is set if the change was applied and the request waits.
	Status *config.Status `json:"status,omitempty"`
}

// HistoryReply holds changes, the newest first.
type HistoryReply struct {
	Changes []config.Change `json:"changes"`
}

// ErrorReply is the answer to a request that could not be understood, was not
// allowed, or found the platform out.
type ErrorReply struct {
	Error string `json:"error"`
}

// StatusOf returns the HTTP status that goes with a result.
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
