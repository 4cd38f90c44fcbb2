package entry

import (
	"bytes"
	"context"
	"crypto/tls"
	"expvar"
	"net"
	"net/http"
	"sync/atomic"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/cactusproxy/cactusproxy/metrics"
)

const (
	// logLinesPerSecond and logLineBurst limit the log lines of one host. Malformed requests come
	// in large numbers from a single caller, and a few lines show what is wrong with them.
	logLinesPerSecond = 10
	logLineBurst      = 100
	// minResponseRecord is the size in bytes from which a TLS record is taken for a response.
	// Under TLS 1.3, responses and alerts have the same record type. The shortest response of
	// net/http takes 103 bytes, an alert with its record header 24.
	minResponseRecord = 64
	// recordTypeApplicationData is the type of TLS records that carry application data.
	recordTypeApplicationData = 0x17
	// statusEncrypted is counted in place of the status of a response under TLS, which can't be
	// read.
	statusEncrypted = "encrypted"
)

// ServerResponseMonitor detects the responses that net/http's server sends by itself, to a
// request that it can't or won't read (400, 417, 431, 501, 505) and that reaches no handler.
// They are counted by status in answers_of_http and logged at a limited rate.
//
// Any write on a connection before a handler has received the request is such a response. The
// check costs one atomic load per write.
type ServerResponseMonitor struct {
	requestID string
	log       *zap.Logger
	limiter   *rate.Limiter
	byStatus  *expvar.Map
	dropped   *expvar.Int
}

// NewServerResponseMonitor returns a monitor that isn't attached to a server yet. requestID is the
// header that identifies the calls of a connection in the log; it may be empty.
func NewServerResponseMonitor(log *zap.Logger, m *metrics.Set, requestID string) *ServerResponseMonitor {
	return &ServerResponseMonitor{
		requestID: requestID,
		log:       log,
		limiter:   rate.NewLimiter(logLinesPerSecond, logLineBurst),
		byStatus:  m.Map("answers_of_http"),
		dropped:   m.Int("answers_of_http_lines_dropped"),
	}
}

// Attach adds the monitor's hooks to a server. It must be called before the server starts, and the
// server must serve on a listener returned by Listener.
func (m *ServerResponseMonitor) Attach(s *http.Server) {
	s.Handler = m.handler(s.Handler)
	s.ConnState = stateChanged
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return context.WithValue(ctx, monitoredConnKey{}, monitoredConnOf(nc))
	}
}

func (m *ServerResponseMonitor) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, _ := r.Context().Value(monitoredConnKey{}).(*monitoredConn); c != nil {
			c.recordRequest(r)
		}
		next.ServeHTTP(w, r)
	})
}

// Listener wraps a listener so that its connections are monitored.
func (m *ServerResponseMonitor) Listener(l net.Listener) net.Listener {
	return &monitoredListener{l, m}
}

type monitoredListener struct {
	net.Listener
	monitor *ServerResponseMonitor
}

// Accept implements net.Listener.
func (l *monitoredListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &monitoredConn{Conn: nc, monitor: l.monitor}
	c.unhandled.Store(true)
	return c, nil
}

type monitoredConnKey struct{}

// monitoredConn is a connection from a caller. With HTTP/1, all fields except the atomic ones
// belong to the goroutine that serves the connection.
type monitoredConn struct {
	net.Conn
	monitor *ServerResponseMonitor
	// unhandled is set while no handler has received the current or next request.
	unhandled atomic.Bool
	// tlsReady is set once a TLS handshake for HTTP/1 is complete.
	tlsReady atomic.Bool
	// calls is the number of requests passed to the handler; lastRequestID identifies the
	// latest one.
	calls         int
	lastRequestID string
}

// monitoredConnOf returns the monitored connection below a server's connection, or nil.
func monitoredConnOf(nc net.Conn) *monitoredConn {
	for {
		if c, ok := nc.(*monitoredConn); ok {
			return c
		}
		outer, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		nc = outer.NetConn()
	}
}

// stateChanged is a ConnState hook of http.Server. A connection becomes active once a request, or
// a part of one, has been read, and idle after a response. On HTTP/2 connections tlsReady stays
// unset, so that none of their writes is counted.
func stateChanged(nc net.Conn, state http.ConnState) {
	c := monitoredConnOf(nc)
	if c == nil {
		return
	}
	if t, ok := nc.(*tls.Conn); ok && state == http.StateActive && !c.tlsReady.Load() {
		c.tlsReady.Store(t.ConnectionState().NegotiatedProtocol != "h2")
	}
	if state == http.StateIdle {
		c.unhandled.Store(true)
	}
}

// recordRequest records that the handler has received a request.
func (c *monitoredConn) recordRequest(r *http.Request) {
	c.unhandled.Store(false)
	if r.ProtoMajor != 1 {
		return
	}
	c.calls++
	c.lastRequestID = r.Header.Get(c.monitor.requestID)
}

// NetConn returns the connection that c wraps.
func (c *monitoredConn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *monitoredConn) Write(b []byte) (int, error) {
	if c.unhandled.Load() {
		c.inspect(b)
	}
	return c.Conn.Write(b)
}

// inspect checks a write that happens without a handler. It may also be part of a TLS handshake or
// the alert that closes a TLS connection.
func (c *monitoredConn) inspect(b []byte) {
	line, _, _ := bytes.Cut(b, []byte("\r\n"))
	proto, statusText, _ := bytes.Cut(line, []byte(" "))
	switch {
	case bytes.HasPrefix(proto, []byte("HTTP/1.")):
		status, _, _ := bytes.Cut(statusText, []byte(" "))
		c.monitor.record(c, string(status), string(statusText))
	case c.tlsReady.Load() && len(b) >= minResponseRecord && b[0] == recordTypeApplicationData:
		c.monitor.record(c, statusEncrypted, statusEncrypted)
	default:
		return
	}
	c.unhandled.Store(false)
}

func (m *ServerResponseMonitor) record(c *monitoredConn, status, statusText string) {
	m.byStatus.Add(status, 1)
	if !m.limiter.Allow() {
		m.dropped.Add(1)
		return
	}
	fields := []zap.Field{
		zap.String("status", status),
		zap.String("answer", statusText),
		zap.Stringer("caller", c.RemoteAddr()),
		zap.Int("calls", c.calls),
	}
	if c.lastRequestID != "" {
		fields = append(fields, zap.String("after", c.lastRequestID))
	}
	m.log.Warn("answered by net/http alone", fields...)
}
