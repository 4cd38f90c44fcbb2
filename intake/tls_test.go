package intake_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/intake"
	"github.com/cactusproxy/cactusproxy/metrics"
)

// Guards against cutting off requests that are being served under TLS, where what the server reads tells nothing of what a
// connection waits for; idle connections make room.
func TestRequestsThatAreServedUnderTLSStay(t *testing.T) {
	for _, http2 := range []bool{false, true} {
		held, began := make(chan struct{}), make(chan struct{}, maxConns)
		s := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/held" {
				began <- struct{}{}
				<-held
			}
		}))
		in := intake.New(intake.Options{Name: "test", MaxConns: maxConns, TLS: true, Metrics: metrics.New(), Log: zap.NewNop()})
		in.Attach(s.Config)
		s.Listener = in.Server(in.Accepted(s.Listener))
		s.EnableHTTP2 = http2
		s.StartTLS()
		client := func() *http.Client {
			transport := s.Client().Transport.(*http.Transport).Clone()
			t.Cleanup(transport.CloseIdleConnections)
			return &http.Client{Transport: transport, Timeout: 10 * time.Second}
		}
		ended := make(chan error, maxConns)
		for range maxConns - 1 {
			go func() {
				resp, err := client().Get(s.URL + "/held")
				if err == nil {
					err = resp.Body.Close()
				}
				ended <- err
			}()
			<-began
		}
		for range 3 { // each leaves an idle connection behind
			resp, err := client().Get(s.URL + "/")
			assert.NilError(t, err)
			assert.NilError(t, resp.Body.Close())
			time.Sleep(20 * time.Millisecond) // until the server waits for the next request
		}
		close(held)
		for range maxConns - 1 {
			assert.NilError(t, <-ended)
		}
		s.CloseClientConnections()
		s.Close()
	}
}
