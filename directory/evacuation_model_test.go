package directory

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The model: an operator, the store, two hosts that watch it and one that is told by them. What
// is read or told arrives late, in any order, or never; hosts start anew and ask another one.
const (
	modelHosts    = 3
	modelWatchers = 2
	modelZones    = 2
	modelRestarts = 1
)

// modelBounds are how many orders and ends the operator gives, and how many messages are under
// way at most; more are lost.
type modelBounds struct{ orders, messages int }

// safeguards can be taken out, to see that the check finds what they guard against.
type safeguards struct {
	// ends are remembered, digest is compared besides the newest revision, all tells as of
	// when a host knows all orders.
	ends, digest, all bool
	modelBounds
}

// modelMessage is orders on their way to a host, all as of a revision unless that is 0.
type modelMessage struct {
	to   int
	all  Revision
	list []Evacuation
}

type modelState struct {
	store    [modelZones]Evacuation
	revision Revision
	restarts int
	hosts    [modelHosts]Evacuations
	// ended is the newest end of an order for each zone that each host has heard of.
	ended    [modelHosts][modelZones]Revision
	messages []modelMessage
}

func modelZone(i int) string { return string(rune('a' + i)) }

// clone returns a copy that can be changed.
func (s modelState) clone() modelState {
	for i := range s.hosts {
		s.hosts[i].zones = maps.Clone(s.hosts[i].zones)
	}
	s.messages = slices.Clone(s.messages)
	return s
}

// key is the same for states that are the same.
func (s *modelState) key() string {
	b := make([]byte, 0, 128)
	for _, o := range s.store {
		b = appendOrder(b, o)
	}
	b = append(b, byte(s.restarts))
	for i := range s.hosts {
		b = append(b, byte(s.hosts[i].newest), byte(s.hosts[i].wholeAt))
		for z := range modelZones {
			b = append(b, byte(s.ended[i][z]))
			b = appendOrder(b, s.hosts[i].zones[modelZone(z)].Evacuation)
		}
	}
	slices.SortFunc(s.messages, func(a, b modelMessage) int { return strings.Compare(a.key(), b.key()) })
	for _, m := range s.messages {
		b = append(b, m.key()...)
	}
	return string(b)
}

func (m modelMessage) key() string {
	b := []byte{'|', byte(m.to), byte(m.all)}
	for _, o := range m.list {
		b = append(b, o.Zone...)
		b = appendOrder(b, o)
	}
	return string(b)
}

func appendOrder(b []byte, o Evacuation) []byte {
	ended := byte(0)
	if o.Ended {
		ended = 1
	}
	return append(b, byte(o.Revision), ended)
}

// orders returns those in force in the store.
func (s *modelState) orders() (list []Evacuation) {
	for _, o := range s.store {
		if o.Revision > 0 && !o.Ended {
			list = append(list, o)
		}
	}
	return list
}

// told returns all that a host would tell another one.
func (g safeguards) told(e *Evacuations) (m modelMessage) {
	m.list, m.all = e.whole()
	if !g.all {
		m.all = 0
	}
	slices.SortFunc(m.list, func(a, b Evacuation) int { return strings.Compare(a.Zone, b.Zone) })
	return m
}

func (g safeguards) send(s *modelState, m modelMessage) {
	if len(s.messages) < g.messages {
		s.messages = append(s.messages, m)
	}
}

// take has a host take in orders, and returns what was news.
func (g safeguards) take(s *modelState, host int, m modelMessage) []Evacuation {
	e := &s.hosts[host]
	news := e.take(now, m.list, m.all)
	for _, o := range news {
		if z := int(o.Zone[0] - 'a'); o.Ended {
			s.ended[host][z] = max(s.ended[host][z], o.Revision)
		}
	}
	if !g.ends {
		maps.DeleteFunc(e.zones, func(_ string, o EvacuationState) bool { return o.Ended })
	}
	return news
}

// sync has a host ask another one if a heartbeat of that shows that it lacks something.
func (g safeguards) sync(s *modelState, to, from int) {
	newest, digest := s.hosts[from].Newest(), s.hosts[from].Digest()
	lacks := s.hosts[to].Lacks(newest, digest)
	if !g.digest {
		lacks = s.hosts[to].Newest() < newest
	}
	if lacks {
		g.take(s, to, g.told(&s.hosts[from]))
	}
}

// deliver has a message arrive; a watcher passes on what was news to it.
func (g safeguards) deliver(s *modelState, i int) {
	m := s.messages[i]
	s.messages = slices.Delete(s.messages, i, i+1)
	news := g.take(s, m.to, m)
	if m.to >= modelWatchers || len(news) == 0 {
		return
	}
	for to := range modelHosts {
		if to != m.to {
			g.send(s, modelMessage{to: to, list: news})
		}
	}
}

// next returns the states that one event leads to.
func (g safeguards) next(s modelState) (list []modelState) {
	event := func(f func(n *modelState)) {
		n := s.clone()
		f(&n)
		list = append(list, n)
	}
	for z := range modelZones {
		if s.revision < Revision(g.orders) {
			event(func(n *modelState) {
				n.revision++
				had := n.store[z]
				n.store[z] = Evacuation{Zone: modelZone(z), Revision: n.revision, Ended: had.Revision > 0 && !had.Ended}
				for w := range modelWatchers {
					g.send(n, modelMessage{to: w, list: []Evacuation{n.store[z]}})
				}
			})
		}
	}
	for w := range modelWatchers {
		event(func(n *modelState) { g.send(n, modelMessage{to: w, all: n.revision, list: n.orders()}) })
	}
	for i := range s.messages {
		event(func(n *modelState) { g.deliver(n, i) })
		event(func(n *modelState) { n.messages = slices.Delete(n.messages, i, i+1) })
	}
	for to := range modelHosts {
		for from := range modelHosts {
			if to != from {
				event(func(n *modelState) { g.sync(n, to, from) })
			}
			if to != from && s.restarts < modelRestarts {
				event(func(n *modelState) {
					n.restarts++
					n.hosts[to], n.ended[to] = Evacuations{}, [modelZones]Revision{}
					g.take(n, to, g.told(&n.hosts[from]))
				})
			}
		}
	}
	return list
}

// wentBack reports whether a host keeps to an order although it has heard of its end.
func (s *modelState) wentBack() bool {
	for i := range s.hosts {
		for z, end := range s.ended[i] {
			if o := s.hosts[i].zones[modelZone(z)]; o.Revision > 0 && !o.Ended && o.Revision <= end {
				return true
			}
		}
	}
	return false
}

// settles reports whether all hosts know what the store holds once no event interferes: one
// reads the whole record, and the others compare its heartbeat with what they know.
func (g safeguards) settles(s modelState) bool {
	s = s.clone()
	g.take(&s, 0, modelMessage{all: s.revision, list: s.orders()})
	for i := 1; i < modelHosts; i++ {
		g.sync(&s, i, 0)
	}
	for i := range s.hosts {
		for z, o := range s.store {
			if s.hosts[i].Active(modelZone(z)) != (o.Revision > 0 && !o.Ended) {
				return false
			}
		}
	}
	return true
}

// search looks at every state that events can lead to, and returns how many there are and what
// is wrong with the first that is.
func (g safeguards) search() (states int, fault string) {
	first := modelState{}
	seen := map[string]bool{first.key(): true}
	queue := []modelState{first}
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		if !g.settles(s) {
			return len(seen), fmt.Sprintf("a host does not learn what the store holds: %+v", s)
		}
		for _, n := range g.next(s) {
			if n.wentBack() {
				return len(seen), fmt.Sprintf("a host went back: %+v, %+v", s, n)
			}
			if k := n.key(); !seen[k] {
				seen[k] = true
				queue = append(queue, n)
			}
		}
	}
	return len(seen), ""
}

// Whatever is lost, late or said twice, and whoever starts anew: no host goes back to an older
// word of an order, and once a watcher has read the record and its heartbeat is heard, all send
// nothing to just the zones that are to be empty.
func TestEveryStateOfOrdersSettles(t *testing.T) {
	for _, bounds := range []modelBounds{{3, 1}, {2, 2}} {
		states, fault := safeguards{ends: true, digest: true, all: true, modelBounds: bounds}.search()
		assert.Equal(t, fault, "")
		t.Logf("%+v: %d states", bounds, states)
		assert.Check(t, states > 10000)
	}
}

// Each safeguard is needed: without it the same search finds a state that does not settle.
func TestSearchFindsWhatTheSafeguardsGuardAgainst(t *testing.T) {
	for _, g := range []safeguards{
		{digest: true, all: true},
		{ends: true, all: true},
		{ends: true, digest: true},
	} {
		g.modelBounds = modelBounds{3, 1}
		_, fault := g.search()
		t.Logf("%+v: %s", g, fault)
		assert.Check(t, fault != "", "%+v", g)
	}
}
