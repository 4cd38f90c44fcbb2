package membership

import (
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Kinds of messages between membership controllers.
const (
	kindBeat = peer.KindMembership + iota
	kindGossip
	kindSync
	kindPing
	kindPingVia
)

// Record is what hosts tell each other about one entry host. Its own host
// writes a new Seq with each change; others add only Suspected.
type Record struct {
	ID       ports.HostID `msgpack:"id"`
	Zone     string       `msgpack:"z"`
	Region   string       `msgpack:"r,omitempty"`
	Addr     string       `msgpack:"a"`
	PeerAddr string       `msgpack:"p"`
	// Incarnation grows with each run of the daemon, Seq with each change
	// within a run.
	Incarnation uint64 `msgpack:"i"`
	Seq         uint64 `msgpack:"s"`
	// Config is the sequence of the configuration in force.
	Config  uint64 `msgpack:"c"`
	Ready   bool   `msgpack:"y,omitempty"`
	Leaving bool   `msgpack:"l,omitempty"`
	// Waking is set from the end of a pause until a peer has answered.
	Waking bool `msgpack:"w,omitempty"`
	// Suspected says that a host could not reach it at this Seq.
	Suspected bool `msgpack:"x,omitempty"`
}

// newer orders records of one host. A suspicion outranks the record that it
// doubts; the doubted host outranks it by a higher Seq.
func (r Record) newer(than Record) bool {
	if r.Incarnation != than.Incarnation {
		return r.Incarnation > than.Incarnation
	}
	if r.Seq != than.Seq {
		return r.Seq > than.Seq
	}
	return r.Suspected && !than.Suspected
}

func (r Record) host() ports.Host {
	return ports.Host{
		ID: r.ID, Role: ports.RoleEntry, State: ports.HostLive,
		Zone: r.Zone, Region: r.Region, Addr: r.Addr, PeerAddr: r.PeerAddr,
	}
}

func recordOf(h ports.Host) Record {
	return Record{ID: h.ID, Zone: h.Zone, Region: h.Region, Addr: h.Addr, PeerAddr: h.PeerAddr}
}

// gossipMsg carries changed records.
type gossipMsg struct {
	Records []Record
}

// syncMsg asks for all records if the digests differ. The sender's record
// makes it known to a host that has not heard of it.
type syncMsg struct {
	Digest uint64
	From   Record
}

// syncReply is empty if the digests agree.
type syncReply struct {
	Records []Record
}

type pingMsg struct{}

// pingViaMsg asks a host to ping another one.
type pingViaMsg struct {
	ID ports.HostID
}
