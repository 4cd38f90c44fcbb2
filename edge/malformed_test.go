package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/platform/standin"
)

// Guards against responses that are none in the protocol: with a status that doesn't exist, or a field whose name holds a
// blank or a control character, so that net/http finds another end of the body than the target meant.
func TestMalformedResponsesAreNotForwarded(t *testing.T) {
	l, cut := newCutCluster(t, 2)
	heads := map[string]string{
		"status 000":          "HTTP/1.1 000 OK\r\n%sContent-Length: 5\r\n\r\nhello",
		"status 099":          "HTTP/1.1 099 OK\r\n%sContent-Length: 5\r\n\r\nhello",
		"status 600":          "HTTP/1.1 600 OK\r\n%sContent-Length: 5\r\n\r\nhello",
		"blank before colon":  "HTTP/1.1 200 OK\r\n%sContent-Length : 5\r\nConnection: close\r\n\r\nhello",
		"blank in a name":     "HTTP/1.1 200 OK\r\n%sX Y: 1\r\nContent-Length: 5\r\n\r\nhello",
		"chunked with blank":  "HTTP/1.1 200 OK\r\n%sTransfer-Encoding : chunked\r\nConnection: close\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"control character":   "HTTP/1.1 200 OK\r\n%sX\x01Y: 1\r\nContent-Length: 5\r\n\r\nhello",
		"tab in a name":       "HTTP/1.1 200 OK\r\n%sX\tY: 1\r\nContent-Length: 5\r\n\r\nhello",
		"blank in a trailer":  "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX Y: 1\r\n\r\n",
		"blank before a name": "HTTP/1.1 200 OK\r\n X-Y: 1\r\n%sContent-Length: 5\r\n\r\nhello",
	}
	l.addRoute("odd", "mutating", func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = fmt.Fprintf(conn, heads[strings.TrimPrefix(r.URL.Path, "/odd/")], sealOf(r.Header.Get(standin.HeaderRequestID)))
	})
	for _, d := range l.daemons {
		for kind := range heads {
			id := fmt.Sprintf("%s-%t", strings.ReplaceAll(kind, " ", "-"), d == cut)
			status := 0
			for try := 0; try < 20 && status != http.StatusBadGateway && status != http.StatusOK; try++ {
				status, _ = l.sendEndless(d, fmt.Sprint(id, "-", try), "/odd/"+strings.ReplaceAll(kind, " ", "%20"), 0)
				time.Sleep(20 * time.Millisecond)
			}
			assert.Check(t, status == http.StatusBadGateway, "%s: status %d", id, status)
		}
	}
}
