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

// usualLate is the fraction of late responses that does not count as lack of room: slow periods of
// targets make one in ten late without any.
const usualLate = 0.25

// lacking returns how many admitted requests found no room, by refusals and late responses.
func (a *Observed) lacking() float64 { return a.NoRoom + max(0, a.Late-usualLate*a.Answered) }

const (
	// enterPressure is the fraction of requests without room from which on a service is short of
	// it. Bursts at 0.8 of the capacity leave one in 100 without.
	enterPressure = 0.03
	// leavePressure is the fraction below which it is not, once its room exceeds the demand.
	leavePressure = 0.01
	// headroom is how much more is admitted than found room lately, so that a free slot always
	// finds a request and the limit follows targets that come back. It is spare requests that
	// find no room then.
	headroom = 0.1
	// seenWeight is the weight of an interval in the moving averages of results.
	seenWeight = 0.4
)

// Limit is the number of requests in an interval that a service has room for. It starts without a
// limit.
type Limit struct {
	limited, started bool
	// seen is the moving average of the results of an interval.
	seen Observed
}

// Room returns the limit; false means that there is none.
func (l *Limit) Room() (float64, bool) {
	return max(0, l.seen.Admitted-l.seen.lacking())*(1+headroom) + 1, l.limited
}

// Update adjusts the limit by the results and the demand of the last interval.
func (l *Limit) Update(o Observed, demand float64) {
	if !l.started {
		l.started, l.seen = true, o
	}
	l.seen.Add(l.seen, -seenWeight)
	l.seen.Add(o, seenWeight)
	room, _ := l.Room()
	pressure := l.seen.lacking() / max(l.seen.Admitted, 1)
	switch {
	case pressure > enterPressure:
		l.limited = true
	case pressure < leavePressure && room > demand:
		l.limited = false
	}
}
