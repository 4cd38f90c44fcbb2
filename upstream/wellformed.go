package upstream

import (
	"net/http"

	"github.com/cactusproxy/cactusproxy/internal/fieldname"
)

// Statuses of final responses.
const (
	minStatus = 200
	maxStatus = 599
)

// wellFormed reports whether what net/http has read is a response in the protocol. It accepts any three digits as the
// status, and names of fields with blanks. A field that says where the body ends has no effect under such a name, so that
// the body would be another than the target's.
func wellFormed(resp *http.Response) bool {
	known := minStatus <= resp.StatusCode && resp.StatusCode <= maxStatus || resp.StatusCode == http.StatusSwitchingProtocols
	return known && fieldname.AllValid(resp.Header)
}
