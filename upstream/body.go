package upstream

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/cactusproxy/cactusproxy/internal/fieldname"
)

// responseBody returns its connection to the pool once the response has been read to its end, and
// closes the connection if the reader stops earlier.
type responseBody struct {
	io.ReadCloser
	response *http.Response
	pool     *pool
	conn     *conn
	eof      bool
	once     sync.Once
	// stop ends the wait for the end of the request's context.
	stop func() bool
}

// newResponseBody returns the body of a response. Its connection no longer counts once the request's context has ended,
// also if the reader is held up by a caller that doesn't read: net/http has closed it then.
func newResponseBody(ctx context.Context, resp *http.Response, p *pool, c *conn) *responseBody {
	b := &responseBody{ReadCloser: resp.Body, response: resp, pool: p, conn: c}
	b.stop = context.AfterFunc(ctx, func() {
		b.once.Do(func() { p.discard(c) })
	})
	return b
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if !fieldname.AllValid(b.response.Trailer) {
		return n, errors.Wrap(ErrMalformed, "trailer")
	}
	b.eof = true
	return n, err
}

func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	b.stop()
	b.once.Do(b.release)
	return err
}

func (b *responseBody) release() {
	if b.eof {
		b.pool.release(b.conn)
		return
	}
	b.pool.discard(b.conn)
}
