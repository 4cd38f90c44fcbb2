package membernet

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestHostsMeetOverTCP(t *testing.T) {
	rep, err := Run(t.Context(), 5, 10*time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, rep.Hosts, 5)
}

// BenchmarkHosts produces the results in docs/design/membership.md. Run it with
// -benchtime 1x.
func BenchmarkHosts(b *testing.B) {
	for _, n := range []int{15, 50, 100, 150} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				rep, err := Run(context.Background(), n, 20*time.Second)
				assert.NilError(b, err)
				b.Log(rep)
				b.ReportMetric(rep.BytesPerSecond, "B/s/host")
				b.ReportMetric(rep.FramesPerSecond, "frames/s/host")
				b.ReportMetric(rep.CPUPercent, "cpu%/host")
			}
		})
	}
}
