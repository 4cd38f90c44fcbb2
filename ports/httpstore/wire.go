package httpstore

import "github.com/cactusproxy/cactusproxy/ports"

// Paths of the platform's service. Requests to the table are POST with a JSON
// body; values of rows are base64 there.
const (
	PathGet     = "/v1/table/get"
	PathScan    = "/v1/table/scan"
	PathCommit  = "/v1/table/commit"
	PathObjects = "/v1/objects/"
	PathHosts   = "/v1/hosts"
)

// HeaderNotApplied is set to 1 by the platform on an answer of status 429 or 500
// and above that says: the request had no effect and will have none. Without it
// such an answer to a write leaves open what happened.
const HeaderNotApplied = "Platform-Not-Applied"

// QueryKnown is the query parameter of PathHosts with the version that the
// reader holds.
const QueryKnown = "known"

// GetRequest is the body of PathGet.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest is the body of PathScan.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// RowsResponse answers PathGet and PathScan.
type RowsResponse struct {
	Rows []ports.Row `json:"rows"`
}

// CommitRequest is the body of PathCommit; the answer is a
// ports.CommitResult.
type CommitRequest struct {
	Ops []ports.Op `json:"ops"`
}
