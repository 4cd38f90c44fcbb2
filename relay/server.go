package relay

import (
	"context"
	"expvar"
	"io"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/upstream"
)

const (
	// maxConns limits the connections that one host carries for others. Each needs two buffers,
	// so that all of them hold 8 MB.
	maxConns = 256
	// bufferSize is the size of a buffer, in bytes.
	bufferSize = 16 << 10
	// linesPerSecond and lineBurst limit the log lines about carried requests.
	linesPerSecond = 20
	lineBurst      = 100
)

// ServerDeps are the dependencies of a Server.
type ServerDeps struct {
	Board   *blackboard.Board
	Streams peer.Streams
	// Dial connects to a target by this host's own path.
	Dial    func(ctx context.Context, t blackboard.Target) (net.Conn, error)
	Metrics *metrics.Set
	Log     *zap.Logger
}

// Server carries connections to targets for other hosts. It is safe for concurrent use.
type Server struct {
	deps    ServerDeps
	limiter *rate.Limiter
	// carried counts connections, refused those that were not carried, by reason.
	carried, lines *expvar.Int
	refused        *expvar.Map

	mu      sync.Mutex
	leaving bool
	active  int
	// streams holds the targets of the streams that are carried.
	streams map[*peer.Stream]ports.RunID
}

// NewServer returns a Server and registers its handler.
func NewServer(d ServerDeps) *Server {
	c := d.Metrics.Counters("relay_server")
	s := &Server{
		deps:    d,
		limiter: rate.NewLimiter(linesPerSecond, lineBurst),
		carried: c("carried"),
		lines:   c("lines_dropped"),
		refused: d.Metrics.Map("relay_refused"),
		streams: make(map[*peer.Stream]ports.RunID),
	}
	d.Metrics.Func("relay_carrying", func() any { return s.Active() })
	d.Streams.HandleStream(kindConnect, s.serve)
	return s
}

// Active returns the number of connections that this host carries.
func (s *Server) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// Drain refuses new connections and asks the hosts that opened the others to close them once
// their requests have ended.
func (s *Server) Drain(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	for stream := range s.streams {
		go func() { _ = stream.Retire() }() // a stream that is gone needs no notice
	}
	return nil
}

// PathLost asks the hosts that reach a target through this one to use other hosts, since this one
// has lost its path. Requests on streams that no longer carry anything would wait in vain.
func (s *Server) PathLost(t blackboard.Target) {
	run := t.RunID()
	s.mu.Lock()
	defer s.mu.Unlock()
	for stream, target := range s.streams {
		if target == run {
			go func() { _ = stream.Retire() }()
		}
	}
}

// serve implements peer.StreamHandler.
func (s *Server) serve(ctx context.Context, from ports.HostID, body []byte, accept func() (*peer.Stream, error)) error {
	t, err := s.connectable(body)
	if err == nil {
		err = s.admit()
	}
	if err != nil {
		s.refused.Add(err.Error(), 1)
		return err
	}
	defer s.release()
	target, err := s.deps.Dial(ctx, t)
	if err != nil {
		reason := dialFailure(err)
		s.refused.Add(reason.Error(), 1)
		return reason
	}
	defer target.Close()
	stream, err := accept()
	if err != nil {
		return err
	}
	s.carried.Add(1)
	stream.OnNote(func(note []byte) { s.logRequest(from, t, note) })
	s.add(stream, t)
	defer s.remove(stream)
	carry(stream, target)
	return nil
}

// dialFailure returns the reason sent to the requesting host for a failed connection. It takes
// errUnreachable as evidence about the target.
func dialFailure(err error) error {
	if errors.Is(err, upstream.ErrPathFault) {
		return errNoPath
	}
	return errUnreachable
}

// connectable returns the target that a host asks for, if it may get new requests as far as this
// host knows.
func (s *Server) connectable(body []byte) (blackboard.Target, error) {
	var msg connectMsg
	if err := msgpack.Unmarshal(body, &msg); err != nil {
		return blackboard.Target{}, err
	}
	for _, list := range s.deps.Board.Targets.Load().ByService {
		for _, t := range list {
			if t.ID == msg.Target && t.Incarnation == msg.Incarnation && t.Addr == msg.Addr && !t.Leaving && !t.Evacuated {
				return t, nil
			}
		}
	}
	return blackboard.Target{}, errUnlisted
}

func (s *Server) admit() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.leaving || s.deps.Board.Status.Load().Leaving:
		return errLeaving
	case s.active >= maxConns:
		return errFull
	default:
		s.active++
		return nil
	}
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

// add registers a stream, and retires it if the host has begun to leave since it was admitted.
func (s *Server) add(stream *peer.Stream, t blackboard.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[stream] = t.RunID()
	if s.leaving {
		go func() { _ = stream.Retire() }()
	}
}

func (s *Server) remove(stream *peer.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, stream)
}

// logRequest writes the line of a request that this host carries.
func (s *Server) logRequest(from ports.HostID, t blackboard.Target, note []byte) {
	if !s.limiter.Allow() {
		s.lines.Add(1)
		return
	}
	var n requestNote
	if err := msgpack.Unmarshal(note, &n); err != nil {
		s.deps.Log.Warn("malformed note on a relayed connection", zap.String("from", string(from)), zap.Error(err))
		return
	}
	s.deps.Log.Info("request carried", zap.String("request", n.Request),
		zap.String("from", string(from)), zap.String("target", string(t.RunID())))
}

var buffers = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// carry copies bytes in both directions until the opener closes the stream or either side breaks
// off. The target's clean end is passed on and its break-off as such, so that an answer without a length
// is not taken for complete, and the loss of a target is distinguished from that of this host.
func carry(stream *peer.Stream, target net.Conn) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		err := copyBytes(stream, target)
		switch {
		case err == nil && stream.CloseWrite() == nil:
		case errors.Is(err, errWrite):
			// The opener is gone. The other direction doesn't notice while it waits for a target that doesn't read.
			_ = target.Close()
			stream.Abort()
		case upstream.CauseOf(err) == upstream.CauseTimeout:
			_ = stream.Close() // the path failed, and not the target
		default:
			stream.Abort()
		}
	}()
	if err := copyBytes(target, stream); errors.Is(err, errWrite) {
		// The target takes no more. It may have answered before it read the whole body.
		<-done
	}
	_ = target.Close()
	<-done
}

// errWrite means that the destination of a copy failed, not its source.
var errWrite = errors.New("write failed")

// copyBytes copies until src ends, and returns nil if it ended cleanly.
func copyBytes(dst io.Writer, src io.Reader) error {
	buf := buffers.Get().(*[bufferSize]byte)
	defer buffers.Put(buf)
	for {
		n, err := src.Read(buf[:])
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				return errors.Mark(werr, errWrite)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
