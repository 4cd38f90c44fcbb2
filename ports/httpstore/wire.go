package httpstore

import "github.com/cactusproxy/cactusproxy/ports"

// Paths of the platform's HTTP API. Table requests are POST with a JSON body, in which row
// values are base64.
const (
	PathGet     = "/v1/table/get"
	PathScan    = "/v1/table/scan"
	PathCommit  = "/v1/table/commit"
	PathObjects = "/v1/objects/"
	PathHosts   = "/v1/hosts"
)

// HeaderNotApplied is set to 1 by the platform on responses with status 429 or 500 and above
// to guarantee that the request had no effect and will have none. Without it, such a
// response to a write leaves the result uncertain.
const HeaderNotApplied = "Platform-Not-Applied"

// QueryKnown is the query parameter of PathHosts for the version that the reader already
// has.
const QueryKnown = "known"

// GetRequest is the request body of PathGet.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest is the request body of PathScan.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// RowsResponse is the response body of PathGet and PathScan.
type RowsResponse struct {
	Rows []ports.Row `json:"rows"`
}

// CommitRequest is the request body of PathCommit; the response body is a
// ports.CommitResult.
type CommitRequest struct {
	Ops []ports.Op `json:"ops"`
}
