// Package placing decides which target a call goes to, from figures that targets
// told a moment ago. It answers a load of many short spells in which a target's
// neighbours slow it down several times: what was true 100 ms ago says little.
package placement

import (
	"time"

	"github.com/cactusproxy/cactusproxy/targetapi"
)

const (
	// freshFor is how long a figure is taken as it is. Spells of slowness last
	// about 150 ms, so that after a tenth of that one in ten has ended.
	freshFor = 15 * time.Millisecond
	// paceFor is how long a figure of a target's pace says anything.
	paceFor = 150 * time.Millisecond
	// callsFor is how long a figure of the calls at a target says anything: a queue
	// takes a few work times to form or to empty.
	callsFor = 600 * time.Millisecond
	// firstPace is the pace reckoned with before any target told its own.
	firstPace = 2.0
	// learnWeight is the weight of one figure in what is usual.
	learnWeight = 0.02
	// farCost is what a target in another availability zone costs more whatever is sent
	// there, and bytesForWork how many bytes between zones cost as much as one usual work
	// time, both in usual work times.
	farCost      = 0.15
	bytesForWork = 32 << 10
	// crowding is how much longer work takes at a target with all slots taken but
	// one, and orders targets that would begin at once.
	crowding = 0.5
	// coldFactor is how much longer work takes at a target that has just started.
	coldFactor = 2.0
	// slack is how much longer than its objective an answer may be reckoned to take: by
	// as much the reckoning is too long for targets that do not slow down when they are
	// nearly full. Without it one call in 70 was refused at 0.8 of the capacity.
	slack = 1.1
	// scarce is the calls for each slot, by what targets told of late, from which on slots
	// are for calls that can be answered in time.
	scarce = 0.5
	// queueFactor times its slots may wait at a target before it gets no more:
	// targets refuse, or never answer, what they can not queue.
	queueFactor = 2
)

// Baseline is what targets told of late, those of the own availability zone and those
// of others each for themselves. It stands for a target that told nothing for a
// while: when one zone has more than it can take, all of its targets are likely to be
// full.
type Baseline struct {
	// OtherCallsPerSlot is calls of other hosts for each slot, Pace as in targetapi.Load.
	OtherCallsPerSlot float64
	Pace  float64
}

// NewBaseline returns what to reckon with before any target told anything.
func NewBaseline() Baseline { return Baseline{Pace: firstPace} }

// Observe takes in what a target with some slots told, of which others is calls of other
// hosts.
func (u *Baseline) Observe(l targetapi.Load, others, slots int) {
	u.OtherCallsPerSlot += learnWeight * (float64(others)/float64(slots) - u.OtherCallsPerSlot)
	u.Pace += learnWeight * (l.Pace - u.Pace)
}

// TargetState are what is known of a target.
type TargetState struct {
	// Load is what the target told last, At when; the zero time is never.
	Load targetapi.Load
	ReportedAt   time.Time
	// OtherCalls is how many of the calls it told of were those of other hosts, InFlight
	// the calls of this host that are there now.
	//
	// What this host knows by itself is never out of date: with figures that counted its
	// own calls as told, and on top of it those sent since, a host that could probe little
	// refused half of what an otherwise idle service could run.
	OtherCalls   int
	InFlight int
	// Slots is the number of calls it runs at once, as the platform lists it.
	Slots int
	OtherZone   bool
	Cold  bool
	// Baseline is what to reckon with in so far as the figures are old.
	Baseline Baseline
}

// ObserveLoad takes in what the target tells of itself. A call counts itself in the answer to
// it, so that an answer is taken in before its call is counted off.
func (f *TargetState) ObserveLoad(now time.Time, l targetapi.Load) {
	f.Load = l
	f.ReportedAt = now
	f.OtherCalls = max(0, l.Running+l.Waiting-f.InFlight)
	if l.Slots > 0 {
		f.Slots = l.Slots
	}
}

// Age returns the age of what the target told.
func (f *TargetState) Age(now time.Time) time.Duration {
	if f.ReportedAt.IsZero() {
		return time.Hour
	}
	return now.Sub(f.ReportedAt)
}

// Fresh reports whether the figures can be used as they are.
func (f *TargetState) Fresh(now time.Time) bool { return f.Age(now) < freshFor }

// Known reports whether the figures say anything of the calls at the target.
func (f *TargetState) Known(now time.Time) bool { return f.Age(now) < callsFor }

// trust is 1 for what was told just now and 0 for what is older than some time.
func trust(age, whole time.Duration) float64 {
	if age >= whole {
		return 0
	}
	return 1 - float64(age)/float64(whole)
}

// calls returns the calls to reckon with at the target.
func (f *TargetState) calls(age time.Duration) float64 {
	t := trust(age, callsFor)
	usual := f.Baseline.OtherCallsPerSlot * float64(f.Slots)
	return t*float64(f.OtherCalls) + (1-t)*usual + float64(f.InFlight)
}

// pace returns the pace to reckon with: the figure, and with age more and more
// the usual one.
func (f *TargetState) pace(age time.Duration) float64 {
	t := trust(age, paceFor)
	return t*f.Load.Pace + (1-t)*f.Baseline.Pace
}

// Full reports whether the target may not be able to queue one more call.
func (f *TargetState) Full(now time.Time) bool {
	return f.calls(f.Age(now)) >= float64((1+queueFactor)*f.Slots)
}

// WouldQueue reports whether one more call would wait for a slot.
func (f *TargetState) WouldQueue(now time.Time) bool { return f.calls(f.Age(now)) >= float64(f.Slots) }

// Worthwhile reports whether a call should go to a target where its answer would
// come after some time: in time for its objective, or at once in a slot that is free; while
// slots are scarce only if both hold.
//
// It answers a load of more calls than the targets can run. With queues as long as
// targets take them every call waits for two rounds, and nearly all answers are late. A call
// that is late already, most of all one that was refused before, takes the slot of one that
// could still be in time; and a queue is longer when a call gets there than it was reckoned, since other
// hosts see the same target.
func Worthwhile(f *TargetState, now time.Time, answer, objectiveLeft time.Duration) bool {
	inTime := float64(answer) <= slack*float64(objectiveLeft)
	if f.Baseline.OtherCallsPerSlot < scarce {
		return inTime || !f.WouldQueue(now)
	}
	return inTime && !f.WouldQueue(now)
}

// ExpectedTime is how long one more call would take until its answer, in usual work times.
func (f *TargetState) ExpectedTime(now time.Time) float64 {
	age, slots := f.Age(now), float64(f.Slots)
	calls := f.calls(age)
	t := f.pace(age) * (1 + max(0, calls+1-slots)/slots + crowding*calls/slots)
	if f.Cold {
		t *= coldFactor
	}
	return t
}

// TransferCost is what sending some bytes to another availability zone and back costs, in usual work
// times. A large answer stays in its zone unless the wait there is long; a small one goes
// where it is soonest.
func TransferCost(bytes float64) float64 { return farCost + bytes/bytesForWork }

// Cost is what a choice goes by: the time until the answer, and the price of the way
// there in the same unit; way is that of another availability zone.
func (f *TargetState) Cost(now time.Time, way float64) float64 {
	if f.OtherZone {
		return f.ExpectedTime(now) + way
	}
	return f.ExpectedTime(now)
}
