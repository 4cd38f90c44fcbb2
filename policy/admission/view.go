package admission

// demandDecay is the factor by which older demand counts less with each interval, which amounts to a
// window of 1 s. In a shorter one, bursts of small tenants would look like floods.
const demandDecay = 0.75

// View is what an owner knows of a service: the demand and results that hosts report to it. The
// zero value knows nothing. It is not safe for concurrent use.
type View struct {
	demand Demand
	limit  Limit
	// current are the results and the demand reported in this interval.
	current  Observed
	arrivals float64
}

// Report adds what a host saw since its last report.
func (v *View) Report(d *Demand, o Observed) {
	v.demand.Merge(d, 1)
	v.arrivals += d.Total()
	v.current.Add(o, 1)
}

// Next ends an interval and returns the level for the next one.
func (v *View) Next(weights Weights) Level {
	v.limit.Update(v.current, v.arrivals)
	l := v.limit.Level(&v.demand, weights)
	v.demand.Scale(demandDecay)
	v.current, v.arrivals = Observed{}, 0
	return l
}
