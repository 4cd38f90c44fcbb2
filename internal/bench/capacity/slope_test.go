package capacity

import (
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestFitFindsTheLine(t *testing.T) {
	s := Slope{Name: "n", X: "x", Y: "y", Points: []Point{{1, 12}, {2, 14}, {3, 16}, {4, 18}}}
	l := s.Fit()
	assert.Check(t, math.Abs(l.Intercept-10) < 1e-9 && math.Abs(l.Slope-2) < 1e-9)
	assert.Check(t, l.R2 > 0.999 && l.WorstError < 1e-9)
	s.Points[3].Y = 27
	assert.Check(t, s.Fit().WorstError > 0.05)
}

func TestPageKeepsItsTextAndReplacesItsTables(t *testing.T) {
	page := "before\n<!-- begin slopes -->\nold\n<!-- end slopes -->\nafter\n"
	got, err := replaceBetween(page, "slopes", "new\n")
	assert.NilError(t, err)
	assert.Equal(t, got, "before\n<!-- begin slopes -->\nnew\n<!-- end slopes -->\nafter\n")
	_, err = replaceBetween("no marks", "slopes", "new\n")
	assert.ErrorContains(t, err, "slopes")
}

func TestTargetSizeFollowsTheSlopes(t *testing.T) {
	small, large := sampleSlopes(100), sampleSlopes(200)
	assert.Check(t, estimate(large).Hosts > estimate(small).Hosts)
	assert.Check(t, strings.Contains(estimate(small).Table(), "| entry |"))
}

// sampleSlopes returns synthetic slopes in which a call costs callMicros
// microseconds of CPU time.
func sampleSlopes(callMicros float64) Slopes {
	flat := func(y float64) Slope {
		return Slope{Name: "n", Points: []Point{{1, y}, {2, y}, {3, y}, {4, y}}}
	}
	return Slopes{
		Call: flat(callMicros), TargetMemory: flat(1), CallMemory: flat(1), Grant: flat(10),
		MemberBytes: flat(1000), MemberCPU: flat(0.1), ChangeBytes: flat(1000), ChangeCPU: flat(100),
		Start: flat(100), Claims: flat(1000), KeyMemory: flat(100), KeyCPU: flat(10),
	}
}
