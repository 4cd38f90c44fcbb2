package upstream

import (
	"errors"
	"io"
	"sync"
)

// body gives the connection back once the answer was read to its end, and
// closes it if the reader stops earlier.
type body struct {
	io.ReadCloser
	pool  *pool
	conn  *conn
	ended bool
	once  sync.Once
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended = true
	}
	return n, err
}

func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.release)
	return err
}

func (b *body) release() {
	if b.ended {
		b.pool.put(b.conn)
		return
	}
	b.pool.drop(b.conn)
}
