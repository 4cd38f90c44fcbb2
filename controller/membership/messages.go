package membership

import (
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Kinds of messages between membership controllers.
const (
	kindHeartbeat = peer.KindMembership + iota
	kindGossip
	kindSync
	kindPing
	kindPingVia
)

// Record is the state of one entry host as exchanged between hosts. Only the host itself
// changes its record, with a new Seq each time; the others may only set Suspected.
type Record struct {
	ID       ports.HostID `msgpack:"id"`
	Zone     string       `msgpack:"z"`
	Region   string       `msgpack:"r,omitempty"`
	Addr     string       `msgpack:"a"`
	PeerAddr string       `msgpack:"p"`
	// Incarnation increases with each run of the daemon, Seq with each change
	// within a run.
	Incarnation uint64 `msgpack:"i"`
	Seq         uint64 `msgpack:"s"`
	// Config is the sequence number of the configuration in force on the host.
	Config  uint64 `msgpack:"c"`
	Ready   bool   `msgpack:"y,omitempty"`
	Leaving bool   `msgpack:"l,omitempty"`
	// Resuming is set from the end of a pause of the host until a peer has answered it.
	Resuming bool `msgpack:"w,omitempty"`
	// Suspected is set if the host did not answer pings while it had this Seq.
	Suspected bool `msgpack:"x,omitempty"`
}

// newer reports whether r supersedes another record of the same host. A suspicion
// supersedes the record it refers to; the suspected host refutes it with a higher Seq.
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

// syncMsg requests all records if the digests differ. From is the sender's record, which
// introduces it to a host that does not know it yet.
type syncMsg struct {
	Digest uint64
	From   Record
}

// syncReply has all records of the receiver of a syncMsg, or none if the digests agree.
type syncReply struct {
	Records []Record
}

type pingMsg struct{}

// pingViaMsg asks a host to ping another one.
type pingViaMsg struct {
	ID ports.HostID
}
