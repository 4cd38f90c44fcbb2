package edge_test

import (
	"fmt"
	"io"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCalls sends bursts of requests on one connection to a host with one target, all in this
// process. A burst of one is a keep-alive client without pipelining. The processor time includes that
// of the client and of the target.
func BenchmarkCalls(b *testing.B) {
	for _, burst := range []int{1, 8} {
		for _, off := range []bool{true, false} {
			b.Run(fmt.Sprintf("burst=%d/off=%v", burst, off), func(b *testing.B) {
				l := newLocalCluster(b, 0)
				l.callers = fmt.Sprintf(`, "pipeline": {"off": %v}`, off)
				l.start()
				l.counted(2, 0)
				c := l.pipelinedCaller(l.daemons[0])
				assert.NilError(b, c.SetDeadline(time.Now().Add(time.Hour)))
				requests := strings.Repeat(pipelined("GET", "/counted/10", "bench"), burst)
				b.ReportAllocs()
				b.ResetTimer()
				begin := processorTime()
				for n := 0; n < b.N; n += burst {
					_, err := io.WriteString(c, requests)
					assert.NilError(b, err)
					for range burst {
						r, err := c.read()
						assert.NilError(b, err)
						assert.Equal(b, r.status, 200)
					}
				}
				b.ReportMetric(float64((processorTime()-begin).Microseconds())/float64(b.N), "cpu-µs/op")
			})
		}
	}
}
