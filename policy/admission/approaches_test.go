package admission

import "hash/fnv"

// approach is a way of deciding on admission in the model.
type approach interface {
	start(m *model)
	decide(host int, r Request) Decision
	// probed tells the moving average of calls for each slot, noted what became of an admitted
	// request.
	probed(host int, load float64)
	noted(host int, o Observed)
	// tick is called at each Interval.
	tick()
}

// nothing admits everything: the present state.
type nothing struct{}

func (nothing) start(*model)                 {}
func (nothing) decide(int, Request) Decision { return Decision{Admitted: true, Share: 1} }
func (nothing) probed(int, float64)          {}
func (nothing) noted(int, Observed)          {}
func (nothing) tick()                        {}

// levels is approach (a): each host moves a threshold over (rank, hash of the tenant) by the
// queues that it sees, as DAGOR does. Hosts exchange nothing.
type levels struct {
	nothing
	m     *model
	hosts []levelHost
}

type levelHost struct {
	level    int
	load     float64
	seen     [MaxRanks * levelUsers]float64
	admitted float64
}

const (
	levelUsers = 128
	// levelLoad is the number of calls for each slot above which the service counts as overloaded.
	levelLoad = 0.9
	// levelDown and levelUp are the changes of the admitted requests in an interval.
	levelDown, levelUp = 0.05, 0.01
)

func (l *levels) start(m *model) {
	l.m, l.hosts = m, make([]levelHost, m.hosts)
	for i := range l.hosts {
		l.hosts[i].level = MaxRanks*levelUsers - 1
	}
}

func levelOf(k Key) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(k.Tenant))
	return k.Rank*levelUsers + int(h.Sum32()%levelUsers)
}

func (l *levels) decide(host int, r Request) Decision {
	h := &l.hosts[host]
	at := levelOf(r.Key)
	h.seen[at]++
	if at > h.level {
		return Decision{Share: 0.3}
	}
	h.admitted++
	return Decision{Admitted: true, Share: 1}
}

func (l *levels) probed(host int, load float64) { l.hosts[host].load = load }

func (l *levels) tick() {
	for i := range l.hosts {
		h := &l.hosts[i]
		want := h.admitted * (1 + levelUp)
		if h.load > levelLoad {
			want = h.admitted * (1 - levelDown)
		}
		sum, level := 0.0, 0
		for level < len(h.seen)-1 && sum+h.seen[level] <= want {
			sum += h.seen[level]
			level++
		}
		if h.load <= levelLoad {
			level = max(level, h.level+1)
		}
		h.level = min(level, len(h.seen)-1)
		h.admitted *= 0.9
		for j := range h.seen {
			h.seen[j] *= 0.9
		}
	}
}

// gossip is approach (b): each host keeps half of what it knows about demand and results and
// sends the other half to a random host (push-sum), so that all approach the mean.
type gossip struct {
	nothing
	m     *model
	hosts []*gossipHost
}

type gossipHost struct {
	demand, own Demand // own is what the host saw since the last tick
	seen        Observed
	limit       Limit
	level       Level
	weight      float64
}

func (g *gossip) start(m *model) {
	g.m = m
	for range m.hosts {
		g.hosts = append(g.hosts, &gossipHost{weight: 1})
	}
}

func (g *gossip) decide(host int, r Request) Decision {
	h := g.hosts[host]
	if !r.Hopeless() {
		h.own.Add(r.Key, 1)
	}
	return h.level.Decide(r, g.m.rng.Float64(), g.m.rng.Float64())
}

func (g *gossip) noted(host int, o Observed) { g.hosts[host].seen.Add(o, 1-demandDecay) }

func (g *gossip) tick() {
	for i, h := range g.hosts {
		h.demand.Merge(&h.own, 1)
		h.own = Demand{}
		to := g.m.rng.IntN(g.m.hosts)
		if to == i || g.m.group(to) != g.m.group(i) {
			continue
		}
		h.demand.Scale(0.5)
		h.seen.Add(h.seen, -0.5)
		h.weight /= 2
		o := g.hosts[to]
		o.demand.Merge(&h.demand, 1)
		o.seen.Add(h.seen, 1)
		o.weight += h.weight
	}
	for _, h := range g.hosts {
		var all Demand
		var seen Observed
		all.Merge(&h.demand, float64(g.m.hosts)/h.weight)
		seen.Add(h.seen, float64(g.m.hosts)/h.weight)
		h.limit.Update(seen, all.Total()*(1-demandDecay))
		h.level = h.limit.Level(&all, nil)
		h.demand.Scale(demandDecay)
		h.seen.Add(h.seen, demandDecay-1)
	}
}

// group is 1 for hosts that are cut off from the rest.
func (m *model) group(host int) int {
	if m.cut && host >= m.hosts*2/3 {
		return 1
	}
	return 0
}

// owners is approach (c): one host adds up what all that reach it report, and tells them the level
// an interval later.
type owners struct {
	nothing
	m *model
	// hosts are the reports of each group of hosts that reach each other, views what their owners
	// know, next the levels on their way and known those that hosts know.
	demand      [2]Demand
	seen        [2]Observed
	views       [2]View
	next, known [2]Level
}

func (o *owners) start(m *model) { o.m = m }

func (o *owners) decide(host int, r Request) Decision {
	g := o.m.group(host)
	if !r.Hopeless() {
		o.demand[g].Add(r.Key, 1)
	}
	return o.known[g].Decide(r, o.m.rng.Float64(), o.m.rng.Float64())
}

func (o *owners) noted(host int, s Observed) { o.seen[o.m.group(host)].Add(s, 1) }

func (o *owners) tick() {
	for g := range o.views {
		o.views[g].Report(&o.demand[g], o.seen[g])
		o.known[g], o.next[g] = o.next[g], o.views[g].Next(nil)
		o.demand[g], o.seen[g] = Demand{}, Observed{}
	}
}
