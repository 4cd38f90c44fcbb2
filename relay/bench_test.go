package relay

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkExchange sends 5 kB to a target and reads them back, directly and through another host
// in the same process. The difference is the work of both hosts.
func BenchmarkExchange(b *testing.B) {
	p := newPair(b)
	direct, err := net.Dial("tcp", p.target.Addr)
	assert.NilError(b, err)
	carried, err := p.client.Dial(b.Context(), "b", p.target)
	assert.NilError(b, err)
	for name, conn := range map[string]net.Conn{"direct": direct, "carried": carried} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			data := make([]byte, 5000)
			for b.Loop() {
				_, err := conn.Write(data)
				assert.NilError(b, err)
				_, err = io.ReadFull(conn, data)
				assert.NilError(b, err)
			}
		})
	}
}

// BenchmarkOpen opens and closes connections to a target through another host.
func BenchmarkOpen(b *testing.B) {
	p := newPair(b)
	for b.Loop() {
		conn, err := p.client.Dial(b.Context(), "b", p.target)
		assert.NilError(b, err)
		_ = conn.Close()
	}
}
