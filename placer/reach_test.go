package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// Guards against a host that reaches none of a service's targets and whose log doesn't say so.
func TestLossOfAllTargetsOfAServiceIsNoted(t *testing.T) {
	begin := time.Unix(1000, 0)
	a, b := new(target), new(target)
	s := &service{targets: map[ports.HostID]*target{"a": a, "b": b}}
	assert.Assert(t, a.markUnreachable(begin))
	assert.Equal(t, s.noteReach(begin, msgUnreachable), reachChange{})
	b.markUnreachable(begin)
	assert.Equal(t, s.noteReach(begin, msgUnreachable), reachChange{message: msgNoneReached, targets: 2})
	assert.Equal(t, s.noteReach(begin, msgUnreachable), reachChange{}, "once for each loss")
	a.markReachable(begin)
	again := reachChange{message: msgAnyReached, targets: 2, after: time.Second}
	assert.Equal(t, s.noteReach(begin.Add(time.Second), msgReachable), again)
}

// Guards against calls that are refused for want of a target although it has answered since: the probes of
// all targets were lost to connections that had stalled, and those after them were answered.
func TestAnswerAfterALostProbeEndsTheBackoff(t *testing.T) {
	now := time.Now()
	s := &service{targets: make(map[ports.HostID]*target)}
	tg := newTarget(blackboard.Target{ID: "t1"}, "a")
	s.targets["t1"] = tg
	record := func(a probeResult, took time.Duration) {
		tg.probeDone = make(chan struct{})
		s.recordProbe(tg, a, took)
	}
	record(probeResult{failure: upstream.CauseTimeout}, probeTimeout)
	assert.Check(t, !tg.available(time.Now()))
	record(probeResult{reached: true}, time.Since(now)+time.Millisecond)
	assert.Check(t, !tg.available(time.Now()), "the answer to an earlier request says nothing")
	record(probeResult{reached: true}, 0)
	assert.Check(t, tg.available(time.Now()))
}

// Guards against a target that turns connections away and gets more of them because it answers on others.
func TestAnswerDoesNotEndTheBackoffAfterARefusedConnection(t *testing.T) {
	now := time.Now()
	tg := newTarget(blackboard.Target{ID: "t1"}, "a")
	tg.recordEnd(now, pick.Report{Class: pick.NotSent})
	tg.recordEnd(now.Add(10*time.Millisecond), pick.Report{Class: pick.OK, Latency: time.Millisecond})
	assert.Check(t, !tg.available(now.Add(20*time.Millisecond)))
}
