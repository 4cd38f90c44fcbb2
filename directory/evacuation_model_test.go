package directory

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// A model checker: an operator, the store, two hosts that watch it and one that they forward to.
// Messages are delayed, reordered or lost, and hosts restart and fetch the state from another
// host.
const (
	modelHosts    = 3
	modelWatchers = 2
	modelZones    = 2
	modelRestarts = 1
)

// modelBounds limits the evacuations and ends that the operator orders, and the messages in
// transit; further messages are lost.
type modelBounds struct{ evacuations, messages int }

// safeguards are the mechanisms of the protocol; each can be disabled, to show that the search
// finds the fault that it prevents.
type safeguards struct {
	// ends remembers ended evacuations, digest compares digests besides the newest revision, and
	// all sends the revision as of which a host's list is complete.
	ends, digest, all bool
	modelBounds
}

// modelMessage carries evacuations to a host, a complete list as of a revision unless that is 0.
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
	// ended is the newest end of an evacuation that each host has seen, by zone.
	ended    [modelHosts][modelZones]Revision
	messages []modelMessage
}

func modelZone(i int) string { return string(rune('a' + i)) }

// clone returns a copy that can be changed independently.
func (s modelState) clone() modelState {
	for i := range s.hosts {
		s.hosts[i].zones = maps.Clone(s.hosts[i].zones)
	}
	s.messages = slices.Clone(s.messages)
	return s
}

// key is equal for equal states.
func (s *modelState) key() string {
	b := make([]byte, 0, 128)
	for _, o := range s.store {
		b = appendEvacuation(b, o)
	}
	b = append(b, byte(s.restarts))
	for i := range s.hosts {
		b = append(b, byte(s.hosts[i].newest), byte(s.hosts[i].completeAt))
		for z := range modelZones {
			b = append(b, byte(s.ended[i][z]))
			b = appendEvacuation(b, s.hosts[i].zones[modelZone(z)].Evacuation)
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
		b = appendEvacuation(b, o)
	}
	return string(b)
}

func appendEvacuation(b []byte, o Evacuation) []byte {
	ended := byte(0)
	if o.Ended {
		ended = 1
	}
	return append(b, byte(o.Revision), ended)
}

// active returns the evacuations in force in the store.
func (s *modelState) active() (list []Evacuation) {
	for _, o := range s.store {
		if o.Revision > 0 && !o.Ended {
			list = append(list, o)
		}
	}
	return list
}

// snapshot returns the message by which a host sends all it knows.
func (g safeguards) snapshot(e *Evacuations) (m modelMessage) {
	m.list, m.all = e.snapshot()
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

// merge merges a message on a host and returns what was new.
func (g safeguards) merge(s *modelState, host int, m modelMessage) []Evacuation {
	e := &s.hosts[host]
	applied := e.merge(now, m.list, m.all)
	for _, o := range applied {
		if z := int(o.Zone[0] - 'a'); o.Ended {
			s.ended[host][z] = max(s.ended[host][z], o.Revision)
		}
	}
	if !g.ends {
		maps.DeleteFunc(e.zones, func(_ string, o EvacuationState) bool { return o.Ended })
	}
	return applied
}

// sync makes a host fetch the state of another one if that one's heartbeat shows that it is
// behind.
func (g safeguards) sync(s *modelState, to, from int) {
	newest, digest := s.hosts[from].Newest(), s.hosts[from].Digest()
	behind := s.hosts[to].Behind(newest, digest)
	if !g.digest {
		behind = s.hosts[to].Newest() < newest
	}
	if behind {
		g.merge(s, to, g.snapshot(&s.hosts[from]))
	}
}

// deliver delivers a message; a watcher forwards what was new to it.
func (g safeguards) deliver(s *modelState, i int) {
	m := s.messages[i]
	s.messages = slices.Delete(s.messages, i, i+1)
	applied := g.merge(s, m.to, m)
	if m.to >= modelWatchers || len(applied) == 0 {
		return
	}
	for to := range modelHosts {
		if to != m.to {
			g.send(s, modelMessage{to: to, list: applied})
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
		if s.revision < Revision(g.evacuations) {
			event(func(n *modelState) {
				n.revision++
				previous := n.store[z]
				n.store[z] = Evacuation{Zone: modelZone(z), Revision: n.revision, Ended: previous.Revision > 0 && !previous.Ended}
				for w := range modelWatchers {
					g.send(n, modelMessage{to: w, list: []Evacuation{n.store[z]}})
				}
			})
		}
	}
	for w := range modelWatchers {
		event(func(n *modelState) { g.send(n, modelMessage{to: w, all: n.revision, list: n.active()}) })
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
					g.merge(n, to, g.snapshot(&n.hosts[from]))
				})
			}
		}
	}
	return list
}

// regressed reports whether a host has an evacuation in force although it has seen its end.
func (s *modelState) regressed() bool {
	for i := range s.hosts {
		for z, end := range s.ended[i] {
			if o := s.hosts[i].zones[modelZone(z)]; o.Revision > 0 && !o.Ended && o.Revision <= end {
				return true
			}
		}
	}
	return false
}

// converges reports whether all hosts match the store once no event interferes: one reads the
// store in full, and the others compare its heartbeat with their state.
func (g safeguards) converges(s modelState) bool {
	s = s.clone()
	g.merge(&s, 0, modelMessage{all: s.revision, list: s.active()})
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

// search visits every reachable state, and returns their number and a description of the first
// faulty one.
func (g safeguards) search() (states int, fault string) {
	first := modelState{}
	seen := map[string]bool{first.key(): true}
	queue := []modelState{first}
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		if !g.converges(s) {
			return len(seen), fmt.Sprintf("a host does not converge to the store: %+v", s)
		}
		for _, n := range g.next(s) {
			if n.regressed() {
				return len(seen), fmt.Sprintf("a host regressed: %+v, %+v", s, n)
			}
			if k := n.key(); !seen[k] {
				seen[k] = true
				queue = append(queue, n)
			}
		}
	}
	return len(seen), ""
}

// Whatever is lost, delayed or duplicated, and whichever host restarts: no host may return to an
// evacuation that it saw end, and once a watcher has read the store and its heartbeat has
// arrived, all hosts must evacuate the same zones as the store.
func TestEveryReachableStateConverges(t *testing.T) {
	for _, bounds := range []modelBounds{{3, 1}, {2, 2}} {
		states, fault := safeguards{ends: true, digest: true, all: true, modelBounds: bounds}.search()
		assert.Equal(t, fault, "")
		t.Logf("%+v: %d states", bounds, states)
		assert.Check(t, states > 10000)
	}
}

// Each safeguard is necessary: without it the same search finds a faulty state.
func TestSearchFindsAFaultWithoutEachSafeguard(t *testing.T) {
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
