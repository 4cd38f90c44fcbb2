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
	// ownLinesPerSecond and ownLineBurst bound the lines of one host. Requests that can not
	// be read come in numbers from one caller, and a few lines show what is wrong with them.
	ownLinesPerSecond = 10
	ownLineBurst      = 100
	// ownMinRecord tells an answer from an alert under TLS 1.3, where both are in records of
	// the same type, in bytes. net/http's shortest answer has 103, an alert with its record 24.
	ownMinRecord = 64
	// recordData is the type of the records of TLS that carry data.
	recordData = 0x17
	// statusEncrypted stands for the status of an answer under TLS, which can not be read.
	statusEncrypted = "encrypted"
)

// ServerResponseMonitor notices the answers that net/http's server gives by itself: to a request that
// it can not or will not read (400, 417, 431, 501, 505), which reaches no handler. They are
// counted by status in answers_of_http, and a line is written for each, within a bound.
//
// Each write of a connection costs one atomic load. A write before the handler has taken
// the request is net/http's own.
type ServerResponseMonitor struct {
	requestID string
	log       *zap.Logger
	limiter   *rate.Limiter
	byStatus  *expvar.Map
	dropped   *expvar.Int
}

// NewServerResponseMonitor returns a watch without a server. The header requestID, if it is not empty,
// names the calls of a connection.
func NewServerResponseMonitor(log *zap.Logger, m *metrics.Set, requestID string) *ServerResponseMonitor {
	return &ServerResponseMonitor{
		requestID: requestID,
		log:       log,
		limiter:   rate.NewLimiter(ownLinesPerSecond, ownLineBurst),
		byStatus:  m.Map("answers_of_http"),
		dropped:   m.Int("answers_of_http_lines_dropped"),
	}
}

// Attach has a server tell of its connections. It is called before the server serves, on
// what Listener returns.
func (o *ServerResponseMonitor) Attach(s *http.Server) {
	s.Handler = o.handler(s.Handler)
	s.ConnState = stateChanged
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return context.WithValue(ctx, callerConnKey{}, callerConnOf(nc))
	}
}

func (o *ServerResponseMonitor) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, _ := r.Context().Value(callerConnKey{}).(*callerConn); c != nil {
			c.taken(r)
		}
		next.ServeHTTP(w, r)
	})
}

// Listener returns a listener whose connections are watched.
func (o *ServerResponseMonitor) Listener(l net.Listener) net.Listener { return &ownListener{l, o} }

type ownListener struct {
	net.Listener
	own *ServerResponseMonitor
}

// Accept implements net.Listener.
func (l *ownListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nc, nil
	}
	c := &callerConn{TCPConn: tcp, own: l.own}
	c.untaken.Store(true)
	return c, nil
}

type callerConnKey struct{}

// callerConn is a caller's connection. Over HTTP/1 all but its atomic field belongs to the
// goroutine that serves it.
type callerConn struct {
	*net.TCPConn
	own *ServerResponseMonitor
	// untaken is set while no handler has the request that is read or due.
	untaken atomic.Bool
	// shaken is set once TLS has shaken hands for HTTP/1.
	shaken bool
	// calls is how many requests the handler got, last what the newest was called.
	calls int
	last  string
}

// callerConnOf returns the watched connection below a server's, or nil.
func callerConnOf(nc net.Conn) *callerConn {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	c, _ := nc.(*callerConn)
	return c
}

// stateChanged is a hook of http.Server. A connection is active once a request was read on
// it, or a part of one, and idle after an answer. HTTP/2 has its own ways.
func stateChanged(nc net.Conn, state http.ConnState) {
	c := callerConnOf(nc)
	if c == nil {
		return
	}
	if t, ok := nc.(*tls.Conn); ok && state == http.StateActive && !c.shaken {
		c.shaken = t.ConnectionState().NegotiatedProtocol != "h2"
	}
	if state == http.StateIdle {
		c.untaken.Store(true)
	}
}

// taken notes that the handler has a request.
func (c *callerConn) taken(r *http.Request) {
	c.untaken.Store(false)
	if r.ProtoMajor != 1 {
		return
	}
	c.calls++
	c.last = r.Header.Get(c.own.requestID)
}

// Write implements net.Conn.
func (c *callerConn) Write(b []byte) (int, error) {
	if c.untaken.Load() {
		c.unasked(b)
	}
	return c.TCPConn.Write(b)
}

// unasked looks at what is written without a handler. It may also be of a handshake, or the
// alert that closes a connection under TLS.
func (c *callerConn) unasked(b []byte) {
	line, _, _ := bytes.Cut(b, []byte("\r\n"))
	proto, answer, _ := bytes.Cut(line, []byte(" "))
	switch {
	case bytes.HasPrefix(proto, []byte("HTTP/1.")):
		status, _, _ := bytes.Cut(answer, []byte(" "))
		c.own.notice(c, string(status), string(answer))
	case c.shaken && len(b) >= ownMinRecord && b[0] == recordData:
		c.own.notice(c, statusEncrypted, statusEncrypted)
	default:
		return
	}
	c.untaken.Store(false)
}

func (o *ServerResponseMonitor) notice(c *callerConn, status, answer string) {
	o.byStatus.Add(status, 1)
	if !o.limiter.Allow() {
		o.dropped.Add(1)
		return
	}
	fields := []zap.Field{
		zap.String("status", status),
		zap.String("answer", answer),
		zap.Stringer("caller", c.RemoteAddr()),
		zap.Int("calls", c.calls),
	}
	if c.last != "" {
		fields = append(fields, zap.String("after", c.last))
	}
	o.log.Warn("answered by net/http alone", fields...)
}
