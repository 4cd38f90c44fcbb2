// Package placement decides which target a call goes to, from load reports that targets sent a
// moment ago.
//
// It is designed for noisy neighbors: targets slow down several times over in many short
// episodes, so that a report of 100 ms ago says little. A host therefore probes a few targets for
// each call, estimates the response time at each from its TargetState, and sends the call to the
// cheapest one, probes further, waits or refuses as Decide says. Old reports decay to the
// Baseline of all recent reports.
package placement

import (
	"time"

	"github.com/cactusproxy/cactusproxy/targetapi"
)

const (
	// freshAge is the age up to which a report is used as it is. Slow episodes last about 150 ms,
	// so that after a tenth of that one in ten has ended.
	freshAge = 15 * time.Millisecond
	// slowdownTTL is the age at which a reported slowdown has lost all weight.
	slowdownTTL = 150 * time.Millisecond
	// callsTTL is the age at which a reported number of calls has lost all weight: a queue takes
	// a few service times to build up or drain.
	callsTTL = 600 * time.Millisecond
	// initialSlowdown is the slowdown assumed before any target has reported its own.
	initialSlowdown = 2.0
	// baselineWeight is the weight of one report in the moving averages of a Baseline.
	baselineWeight = 0.02
	// otherZoneCost is the fixed extra cost of a target in another availability zone, in mean
	// service times. bytesPerServiceTime is the number of bytes between zones that costs as much
	// as one usual service time.
	otherZoneCost       = 0.15
	bytesPerServiceTime = 32 << 10
	// crowding is the extra service time, as a fraction, at a target with all slots but one in
	// use. It also ranks targets that would start a call at once.
	crowding = 0.5
	// coldFactor is the factor by which service takes longer at a target that has just started.
	coldFactor = 2.0
	// objectiveSlack is the factor by which an estimated response time may exceed the objective.
	// The estimate is too long by that much for targets that do not slow down when nearly full;
	// without the slack, one call in 70 was refused at 0.8 of the capacity.
	objectiveSlack = 1.1
	// scarceLoad is the number of calls per slot, by recent reports, from which on slots are
	// reserved for calls that can meet their objective.
	scarceLoad = 0.5
	// queueFactor times its slots is the queue length at which a target gets no more calls:
	// targets refuse, or never answer, what they can not queue.
	queueFactor = 2
)

// Baseline is the moving average of recent load reports, kept separately for the host's own
// availability zone and for others. It stands in for a target without a recent report: when a
// zone is overloaded, all of its targets are likely to be full.
type Baseline struct {
	// OtherCallsPerSlot is the number of calls of other hosts per slot; Slowdown is as
	// in targetapi.Load.
	OtherCallsPerSlot float64
	Slowdown          float64
}

// NewBaseline returns the Baseline to use before the first report.
func NewBaseline() Baseline { return Baseline{Slowdown: initialSlowdown} }

// Observe adds the report of a target with the given number of slots; others is the number of
// calls of other hosts there.
func (u *Baseline) Observe(l targetapi.Load, others, slots int) {
	u.OtherCallsPerSlot += baselineWeight * (float64(others)/float64(slots) - u.OtherCallsPerSlot)
	u.Slowdown += baselineWeight * (l.Slowdown - u.Slowdown)
}

// TargetState is what a host knows of the load of one target.
type TargetState struct {
	// Load is the target's last report and ReportedAt when it came; the zero time means never.
	Load       targetapi.Load
	ReportedAt time.Time
	// OtherCalls is the number of calls of other hosts in the last report; InFlight is the number
	// of calls of this host that are there now.
	//
	// What this host knows itself is never stale. When its own calls were counted as reported,
	// and those sent since were added to that, a host with few probes refused half of what an
	// otherwise idle service could run.
	OtherCalls int
	InFlight   int
	// Slots is the number of calls that the target runs at once, as the platform lists it or the
	// target last reported.
	Slots     int
	OtherZone bool
	Cold      bool
	// Baseline replaces the report to the degree that it is old.
	Baseline Baseline
}

// ObserveLoad records the target's report. A response counts its own call in the report, so it
// has to be recorded before InFlight is decremented.
func (f *TargetState) ObserveLoad(now time.Time, l targetapi.Load) {
	f.Load = l
	f.ReportedAt = now
	f.OtherCalls = max(0, l.Running+l.Waiting-f.InFlight)
	if l.Slots > 0 {
		f.Slots = l.Slots
	}
}

// Age returns the age of the last report.
func (f *TargetState) Age(now time.Time) time.Duration {
	if f.ReportedAt.IsZero() {
		return time.Hour
	}
	return now.Sub(f.ReportedAt)
}

// Fresh reports whether the last report can be used as it is.
func (f *TargetState) Fresh(now time.Time) bool { return f.Age(now) < freshAge }

// Known reports whether the last report still says anything about the calls at the target.
func (f *TargetState) Known(now time.Time) bool { return f.Age(now) < callsTTL }

// weight decays linearly from 1 at age 0 to 0 at ttl.
func weight(age, ttl time.Duration) float64 {
	if age >= ttl {
		return 0
	}
	return 1 - float64(age)/float64(ttl)
}

// calls returns the estimated number of calls at the target.
func (f *TargetState) calls(age time.Duration) float64 {
	t := weight(age, callsTTL)
	baseline := f.Baseline.OtherCallsPerSlot * float64(f.Slots)
	return t*float64(f.OtherCalls) + (1-t)*baseline + float64(f.InFlight)
}

// slowdown returns the estimated slowdown: the reported one, which decays to the baseline with
// age.
func (f *TargetState) slowdown(age time.Duration) float64 {
	t := weight(age, slowdownTTL)
	return t*f.Load.Slowdown + (1-t)*f.Baseline.Slowdown
}

// Full reports whether the target may be unable to queue one more call.
func (f *TargetState) Full(now time.Time) bool {
	return f.calls(f.Age(now)) >= float64((1+queueFactor)*f.Slots)
}

// WouldQueue reports whether one more call would wait for a slot.
func (f *TargetState) WouldQueue(now time.Time) bool { return f.calls(f.Age(now)) >= float64(f.Slots) }

// FreeSlots returns the estimated number of slots that are free.
func (f *TargetState) FreeSlots(now time.Time) float64 {
	return float64(f.Slots) - f.calls(f.Age(now))
}

// Worthwhile reports whether a call should be sent to a target with the given estimated response
// time: if the response would meet its objective, or if a slot is free; while slots are scarce,
// only if both hold.
//
// This is overload control. With queues as long as targets accept, every call waits for two
// rounds of service and nearly all responses are late. A call that is already late, in particular
// one that was refused before, takes the slot of one that could still be in time; and a queue
// tends to be longer than estimated when a call arrives, since other hosts see the same target.
func Worthwhile(f *TargetState, now time.Time, expected, objectiveLeft time.Duration) bool {
	meetsObjective := float64(expected) <= objectiveSlack*float64(objectiveLeft)
	if f.Baseline.OtherCallsPerSlot < scarceLoad {
		return meetsObjective || !f.WouldQueue(now)
	}
	return meetsObjective && !f.WouldQueue(now)
}

// ExpectedTime returns the estimated response time of one more call, in usual service times.
func (f *TargetState) ExpectedTime(now time.Time) float64 {
	age, slots := f.Age(now), float64(f.Slots)
	calls := f.calls(age)
	t := f.slowdown(age) * (1 + max(0, calls+1-slots)/slots + crowding*calls/slots)
	if f.Cold {
		t *= coldFactor
	}
	return t
}

// TransferCost returns the cost of moving some bytes between availability zones, in mean service
// times. It keeps a large response in its zone unless the wait there is long, and lets a small
// one go where it is served soonest.
func TransferCost(bytes float64) float64 { return otherZoneCost + bytes/bytesPerServiceTime }

// Cost returns the estimated response time plus the cost of the transfer if the target is in
// another availability zone, in usual service times. The target with the lowest cost is the best.
func (f *TargetState) Cost(now time.Time, transfer float64) float64 {
	if f.OtherZone {
		return f.ExpectedTime(now) + transfer
	}
	return f.ExpectedTime(now)
}
