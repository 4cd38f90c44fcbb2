package upstream

import (
	"errors"
	"io"
	"sync"
)

// responseBody returns its connection to the pool once the response has been read to its end, and
// closes the connection if the reader stops earlier.
type responseBody struct {
	io.ReadCloser
	pool *pool
	conn *conn
	eof  bool
	once sync.Once
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.eof = true
	}
	return n, err
}

func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
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
