package admission

import (
	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/peer"
	policy "github.com/cactusproxy/cactusproxy/policy/admission"
)

// kindReport is a host's report to the owner of a service; the reply is the level. It is counted
// from peer.KindAdmission.
const kindReport peer.Kind = 0

// keyed is a number for a rank and tenant.
type keyed struct {
	Rank   uint8   `msgpack:"r"`
	Tenant string  `msgpack:"t"`
	N      float32 `msgpack:"n"`
}

func keyedOf(m map[policy.Key]float64) []keyed {
	list := make([]keyed, 0, len(m))
	for k, n := range m {
		list = append(list, keyed{Rank: uint8(k.Rank), Tenant: k.Tenant, N: float32(n)})
	}
	return list
}

func (k keyed) key() policy.Key { return policy.NewKey(int(k.Rank), k.Tenant) }

// report is what a host saw of a service since its last report.
type report struct {
	Workspace string          `msgpack:"workspace"`
	Service   string          `msgpack:"service"`
	Tracked   []keyed         `msgpack:"tracked"`
	Untracked []float32       `msgpack:"untracked"` // by rank
	Seen      policy.Observed `msgpack:"seen"`
}

func newReport(key blackboard.ServiceKey, d *policy.Demand, seen policy.Observed) report {
	r := report{Workspace: key.Workspace, Service: key.Service, Tracked: keyedOf(d.Tracked), Seen: seen}
	for rank := range d.Ranks {
		n := d.Untracked(rank)
		if n > 0 && r.Untracked == nil {
			r.Untracked = make([]float32, policy.MaxRanks)
		}
		if n > 0 {
			r.Untracked[rank] = float32(n)
		}
	}
	return r
}

func (r *report) key() blackboard.ServiceKey {
	return blackboard.ServiceKey{Workspace: r.Workspace, Service: r.Service}
}

func (r *report) demand() *policy.Demand {
	d := new(policy.Demand)
	for _, k := range r.Tracked {
		d.Add(k.key(), float64(max(k.N, 0)))
	}
	for rank, n := range r.Untracked {
		d.AddUntracked(rank, float64(max(n, 0)))
	}
	return d
}

// levelReply is a policy.Level.
type levelReply struct {
	// Known is false while the owner has too few reports to tell; the last level stays in force.
	Known   bool      `msgpack:"known"`
	Limited bool      `msgpack:"limited"`
	Ranks   []float32 `msgpack:"ranks"`
	Heavy   []keyed   `msgpack:"heavy"`
	Full    float32   `msgpack:"full"`
}

func replyOf(l policy.Level, known bool) levelReply {
	if !known || !l.Limited {
		return levelReply{Known: known}
	}
	r := levelReply{Known: true, Limited: true, Heavy: keyedOf(l.Heavy), Full: float32(l.Full)}
	for _, share := range l.Ranks {
		r.Ranks = append(r.Ranks, float32(share))
	}
	return r
}

func (r *levelReply) level() policy.Level {
	if !r.Limited {
		return policy.Level{}
	}
	l := policy.Level{Limited: true, Heavy: make(map[policy.Key]float64, len(r.Heavy)), Full: float64(r.Full)}
	for rank := range l.Ranks {
		l.Ranks[rank] = 1
		if rank < len(r.Ranks) {
			l.Ranks[rank] = float64(r.Ranks[rank])
		}
	}
	for _, k := range r.Heavy {
		l.Heavy[k.key()] = float64(k.N)
	}
	return l
}
