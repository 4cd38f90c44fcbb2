package edge_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/platform/standin"
)

// uploadsAnswered is how many uploads each case of a test sends.
const uploadsAnswered = 10

// answerUpload answers an upload before it was read, with a body without a length. It ends the connection as the path
// says: /odd/SIZE/reset or /odd/SIZE/end.
func answerUpload(w http.ResponseWriter, r *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	var size int
	var how string
	if _, err := fmt.Sscanf(strings.ReplaceAll(r.URL.Path, "/", " "), " odd %d %s", &size, &how); err != nil {
		return
	}
	time.Sleep(50 * time.Millisecond) // until the writer of the upload waits
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+sealOf(r.Header.Get(standin.HeaderRequestID))+"\r\n"+strings.Repeat("y", size))
	time.Sleep(20 * time.Millisecond) // until it has arrived
	tcp := conn.(*net.TCPConn)
	if how == "reset" {
		_ = tcp.SetLinger(0)
		return
	}
	_ = tcp.CloseWrite()
	time.Sleep(100 * time.Millisecond)
}

// A target answers an upload at once, without a length, and resets the connection while the upload is being written. The
// write gets the reset, and the read beside it a clean end. Guards against a part of the response that looks whole; a
// response that ends cleanly must stay whole.
func TestResponseThatIsResetDuringTheUploadIsNotWhole(t *testing.T) {
	const upload = 8 << 20 // more than sockets buffer
	l, cut := newCutCluster(t, 2)
	l.addRoute("odd", "upload", answerUpload)
	for _, d := range l.daemons {
		for _, size := range []int{15, 400 << 10} {
			for how, want := range map[string]int{"reset": 0, "end": uploadsAnswered} {
				whole, unanswered := 0, 0
				for i := range uploadsAnswered {
					status, complete := l.sendEndless(d, fmt.Sprintf("%s-%d-%t-%d", how, size, d == cut, i), fmt.Sprintf("/odd/%d/%s", size, how), upload)
					if status == http.StatusOK && complete {
						whole++
					}
					if status == http.StatusServiceUnavailable {
						unanswered++ // not sent, since others have failed
					}
				}
				if want > 0 {
					want -= unanswered
				}
				assert.Check(t, whole == want, "%d of %d are whole, %s, %d bytes, cut off: %t, refused: %d", whole, uploadsAnswered, how, size, d == cut, unanswered)
			}
		}
	}
}
