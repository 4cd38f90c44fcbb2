package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/ports"
)

const kindPipe = KindMembership + 60

// pipes accepts streams and hands them to the test, which lets their handlers return.
type pipes struct {
	accepted chan *Stream
	end      chan struct{}
}

func handlePipes(n *Node) *pipes {
	p := &pipes{accepted: make(chan *Stream, 1), end: make(chan struct{})}
	n.HandleStream(kindPipe, func(ctx context.Context, _ HostID, body []byte, accept func() (*Stream, error)) error {
		if string(body) == "refuse" {
			return errors.New("no room")
		}
		s, err := accept()
		if err != nil {
			return err
		}
		p.accepted <- s
		select {
		case <-p.end:
		case <-ctx.Done():
		}
		return nil
	})
	return p
}

// newStreamPair returns the two ends of a stream; keyed hosts authenticate each frame.
func newStreamPair(t *testing.T, key []byte) (opener, acceptor *Stream, p *pipes) {
	t.Helper()
	a, b := newTestPair(t, func(o *Options) { o.Key = key }, func(o *Options) { o.Key = key })
	p = handlePipes(b)
	opener, err := a.OpenStream(t.Context(), "b", kindPipe, nil)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = opener.Close() })
	return opener, <-p.accepted, p
}

func TestStreamCarriesBytesBothWays(t *testing.T) {
	for _, key := range []string{"", "a secret of all hosts"} {
		opener, acceptor, _ := newStreamPair(t, []byte(key))
		data := bytes.Repeat([]byte("0123456789"), 20_000)
		var wg sync.WaitGroup
		for from, to := range map[*Stream]*Stream{opener: acceptor, acceptor: opener} {
			wg.Go(func() {
				_, err := from.Write(data)
				assert.Check(t, err)
				assert.Check(t, from.CloseWrite())
			})
			wg.Go(func() {
				got, err := io.ReadAll(to)
				assert.Check(t, err)
				assert.Check(t, bytes.Equal(got, data))
			})
		}
		wg.Wait()
	}
}

// Guards against a stream that breaks off and is taken for one that ended.
func TestStreamThatBreaksOffHasNoCleanEnd(t *testing.T) {
	opener, acceptor, p := newStreamPair(t, nil)
	_, err := acceptor.Write([]byte("a part"))
	assert.NilError(t, err)
	close(p.end) // the handler returns, which closes the stream without an end
	got, err := io.ReadAll(opener)
	assert.Equal(t, string(got), "a part")
	assert.Check(t, errors.Is(err, io.ErrUnexpectedEOF) || err != nil && !errors.Is(err, io.EOF), "%v", err)
}

func TestRefusedStreamTellsWhy(t *testing.T) {
	a, b := newTestPair(t, nil, nil)
	handlePipes(b)
	_, err := a.OpenStream(t.Context(), "b", kindPipe, []byte("refuse"))
	assert.Check(t, errors.Is(err, ErrRemote))
	assert.ErrorContains(t, err, "no room")
	_, err = a.OpenStream(t.Context(), "b", kindPipe+1, nil)
	assert.Check(t, errors.Is(err, ErrRemote), "a kind without a handler: %v", err)
	_, err = a.OpenStream(t.Context(), "nobody", kindPipe, nil)
	assert.Check(t, errors.Is(err, ErrNotSent))
	got, err := a.Call(t.Context(), "b", kindEcho, []byte("x"))
	assert.NilError(t, err, "messages go on")
	assert.Equal(t, string(got), "a:x")
}

// Guards against strangers who open streams to targets through a host.
func TestStreamNeedsTheKeyOfTheLink(t *testing.T) {
	for _, key := range []string{"", "another secret"} {
		a, b := newTestPair(t,
			func(o *Options) { o.Key = []byte(key) },
			func(o *Options) { o.Key = []byte("a secret of all hosts") })
		p := handlePipes(b)
		_, err := a.OpenStream(t.Context(), "b", kindPipe, nil)
		assert.Check(t, err != nil)
		assert.Equal(t, len(p.accepted), 0)
	}
}

// Guards against an opener that waits for a host which accepts connections and says nothing.
func TestOpeningAStreamEndsWithItsContext(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	a := newTestNode(t, "a", nil)
	mute := hostEntry(a)
	mute.ID, mute.PeerAddr = "mute", l.Addr().String()
	a.SetPeers([]ports.Host{mute})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	begin := time.Now()
	_, err = a.OpenStream(ctx, "mute", kindPipe, nil)
	assert.Check(t, err != nil)
	assert.Check(t, time.Since(begin) < time.Second)
}

// Guards against an opener that is not told to stop using a stream, or is told in the middle of
// the bytes.
func TestRetiredStreamGoesOnUntilItsOpenerClosesIt(t *testing.T) {
	opener, acceptor, _ := newStreamPair(t, []byte("key"))
	told := make(chan struct{})
	opener.OnRetire(func() { close(told) })
	var notes []string
	acceptor.OnNote(func(b []byte) { notes = append(notes, string(b)) })
	assert.NilError(t, acceptor.Retire())
	_, err := acceptor.Write([]byte("late"))
	assert.NilError(t, err)
	buf := make([]byte, 4)
	_, err = io.ReadFull(opener, buf)
	assert.NilError(t, err)
	<-told
	assert.Check(t, opener.Retired())
	assert.NilError(t, opener.Note([]byte("n1")))
	_, err = opener.Write([]byte("body"))
	assert.NilError(t, err)
	_, err = io.ReadFull(acceptor, buf)
	assert.NilError(t, err)
	assert.Equal(t, string(buf), "body")
	assert.DeepEqual(t, notes, []string{"n1"})
}
