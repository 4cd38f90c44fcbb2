package localpick

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/ports"
)

var noon = time.Unix(1000, 0)

func newPicker(targets, slots int) *Picker {
	l := New(rand.New(rand.NewPCG(1, 1)))
	l.Configure(slots, 0)
	list := make([]blackboard.Target, targets)
	for i := range list {
		list[i] = blackboard.Target{ID: ports.HostID(fmt.Sprintf("t%03d", i))}
	}
	l.SetTargets(list)
	return l
}

// call picks a target and ends the attempt at once with the given report.
func (l *Picker) call(now time.Time, r pick.Report) ports.HostID {
	t, ok := l.Pick(now, nil, false, false)
	if !ok {
		return ""
	}
	l.Start(t.ID, false)
	l.End(now, t.ID, false, false, r)
	return t.ID
}

func TestOverdueNoticeDivertsCalls(t *testing.T) {
	l := newPicker(3, 2)
	l.MarkOverdue(noon, "t001")
	for range 50 {
		assert.Check(t, l.call(noon, pick.Report{Class: pick.OK, Latency: time.Millisecond, Load: -1}) != "t001")
	}
	later := noon.Add(2 * overdueTTL)
	seen := map[ports.HostID]bool{}
	for range 50 {
		seen[l.call(later, pick.Report{Class: pick.OK, Latency: time.Millisecond, Load: -1})] = true
	}
	assert.Check(t, seen["t001"])
}

// A target that answers errors immediately always looks idle. It must be ejected after a few of
// them, without a notice from another host.
func TestFastFailingTargetIsEjected(t *testing.T) {
	l := newPicker(4, 2)
	failed := 0
	for i := range 500 {
		now := noon.Add(time.Duration(i) * time.Millisecond)
		g, _ := l.Pick(now, nil, false, false)
		class := pick.OK
		if g.ID == "t000" {
			class = pick.Failed
			failed++
		}
		l.Start(g.ID, false)
		l.End(now, g.ID, false, false, pick.Report{Class: class, Latency: time.Millisecond, Load: 0})
	}
	assert.Check(t, failed < 20, "%d calls reached the failing target", failed)
}

func TestSlotsOfOneHostAreBounded(t *testing.T) {
	l := newPicker(2, 2)
	for range 4 {
		g, ok := l.Pick(noon, nil, false, false)
		assert.Check(t, ok)
		l.Start(g.ID, false)
	}
	_, ok := l.Pick(noon, nil, false, false)
	assert.Check(t, !ok)
}

func TestExclusiveAttemptKeepsOtherCallsAway(t *testing.T) {
	l := newPicker(2, 4)
	g, _ := l.Pick(noon, nil, false, true)
	l.Start(g.ID, true)
	for range 4 {
		other, ok := l.Pick(noon, nil, false, false)
		assert.Check(t, ok && other.ID != g.ID)
		l.Start(other.ID, false)
	}
	_, ok := l.Pick(noon, nil, false, true)
	assert.Check(t, !ok)
}

func BenchmarkChoice(b *testing.B) {
	l := newPicker(100, 2)
	for range 50 {
		l.call(noon, pick.Report{Class: pick.OK, Latency: time.Millisecond, Load: 1})
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Pick(noon.Add(time.Millisecond), nil, false, false)
	}
}
