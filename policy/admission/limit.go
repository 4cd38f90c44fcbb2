package admission

// Observed counts what became of the requests of a service in an interval.
type Observed struct {
	// Admitted are requests that were admitted, NoRoom those of them that found no room at any
	// target.
	Admitted float64 `msgpack:"admitted"`
	NoRoom   float64 `msgpack:"no_room"`
	// Answered are responses of targets that report no load, Late those of them that missed
	// their objective.
	Answered float64 `msgpack:"answered"`
	Late     float64 `msgpack:"late"`
}

// Add adds the counts of o, multiplied by weight.
func (a *Observed) Add(o Observed, weight float64) {
	a.Admitted += weight * o.Admitted
	a.NoRoom += weight * o.NoRoom
	a.Answered += weight * o.Answered
	a.Late += weight * o.Late
}

const (
	// usualLate is the fraction of late responses that does not count as lack of room: slow periods
	// of targets make one in ten late without any.
	usualLate = 0.25
	// lateGain is how much less is admitted if all responses are late, so that queues drain.
	lateGain = 0.7
	// leastByLateness is the fraction of the demand that is admitted in any case where lateness
	// limits it: responses may be late for another reason.
	leastByLateness = 0.2
)

// unreported reports whether the targets don't report their load.
func (a *Observed) unreported() bool { return a.Answered > 0 }

// lateness returns by how much more responses are late than usual, 0 to 1.
func (a *Observed) lateness() float64 {
	if !a.unreported() {
		return 0
	}
	return max(0, a.Late/a.Answered-usualLate) / (1 - usualLate)
}

// served returns how many requests there was room for. Where targets report no load, their queues
// hide the lack of it; they answer at the rate of their capacity then.
func (a *Observed) served() float64 {
	if a.unreported() {
		return a.Answered * (1 - lateGain*a.lateness())
	}
	return max(0, a.Admitted-a.NoRoom)
}

// pressure returns the fraction of requests that lack room.
func (a *Observed) pressure() float64 { return a.NoRoom/max(a.Admitted, 1) + a.lateness() }

const (
	// enterPressure is the fraction of requests without room above which a service is limited.
	// Short bursts below the capacity leave a few without room.
	enterPressure = 0.03
	// leavePressure is the fraction below which it is no longer limited, once its room exceeds the
	// demand.
	leavePressure = 0.01
	// headroom is the fraction by which more is admitted than found room lately, so that a free slot
	// always gets a request and the limit follows targets that come back. The requests that find no
	// room then are spare ones. Less leaves slots empty under overload; more takes room from tenants
	// within their share where a partition leaves few hosts on a side.
	headroom = 0.2
	// seenWeight is the weight of an interval in the moving averages of results.
	seenWeight = 0.4
)

// Limit is the number of requests in an interval that a service has room for. It starts without a
// limit.
type Limit struct {
	limited, started bool
	room             float64
	// seen and demand are the moving averages of the results and the demand of an interval.
	seen   Observed
	demand float64
}

// Update adjusts the limit by the results and the demand of the last interval.
func (l *Limit) Update(o Observed, demand float64) {
	if !l.started {
		l.started, l.seen, l.demand = true, o, demand
	}
	l.seen.Add(l.seen, -seenWeight)
	l.seen.Add(o, seenWeight)
	l.demand += seenWeight * (demand - l.demand)
	pressure := l.seen.pressure()
	// Where requests find room, fewer of them don't mean that there is less: else a load that fell
	// would be refused for seconds.
	if room := l.seen.served()*(1+headroom) + 1; room > l.room || pressure > enterPressure && o.pressure() > enterPressure {
		l.room = room
	}
	if l.seen.unreported() {
		l.room = max(l.room, leastByLateness*l.demand)
	}
	switch {
	case pressure > enterPressure:
		l.limited = true
	case pressure < leavePressure && l.room > l.demand:
		l.limited = false
	}
}

// Level returns the level at which as much of a demand is admitted as of that of the last
// intervals. The demand tells how it is divided, and may cover a longer time.
func (l *Limit) Level(d *Demand, weights Weights) Level {
	if !l.limited {
		return Level{}
	}
	return Shares(l.room/max(l.demand, 1)*d.Total(), d, weights)
}
