package watch

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Kinds of messages between hosts.
const (
	kindHeartbeat peer.Kind = peer.KindWatch + iota
	kindChanges
	kindSync
	kindHosts
	// kindRelay carries changes to a host that forwards them to others.
	kindRelay
	// kindRefused says that the store did not serve the sender's attempt to watch.
	kindRefused
	// kindConfirm asks a watcher how recently its configuration was confirmed.
	kindConfirm
)

// heartbeat is sent by a watcher to all hosts.
type heartbeat struct {
	Host directory.Host `msgpack:"host"`
	// Sent is the reading of the sender's steady clock; hosts of earlier releases do not tell it.
	Sent time.Duration `msgpack:"sent"`
	// StoreOK, StoreAge and StoreWait have the meaning they have in watchers.Heartbeat.
	StoreOK   bool          `msgpack:"store_ok"`
	StoreAge  time.Duration `msgpack:"store_age"`
	StoreWait time.Duration `msgpack:"store_wait"`
	// Targets is about the targets alone; Answered is never set by hosts of earlier releases.
	Targets targetsAnswer `msgpack:"targets"`
	// Version, Newest and Digest describe the watcher's state, so that a host that missed a
	// change notices.
	Version uint64             `msgpack:"version"`
	Newest  directory.Revision `msgpack:"newest"`
	Digest  uint64             `msgpack:"digest"`
	// Evacuations and EvacuationsAt are the digest of the evacuations and their newest revision.
	// They are separate from those of the targets, which change all the time: the next change of
	// a target would hide a lost evacuation.
	Evacuations   uint64             `msgpack:"evacuations,omitempty"`
	EvacuationsAt directory.Revision `msgpack:"evacuations_at,omitempty"`
	// Hosts is the digest of the hosts that the watcher knows.
	Hosts uint64 `msgpack:"hosts"`
	// Age is the age of the sender's replica, as in replica.age.
	Age time.Duration `msgpack:"age,omitempty"`
}

// targets tells when the store last answered the sender about targets. If the store serves it,
// that is no longer ago than StoreAge.
func (b heartbeat) targets() targetsAnswer {
	if !b.Targets.Answered && b.StoreOK {
		return targetsAnswer{Answered: true, Age: b.StoreAge}
	}
	return b.Targets
}

// packedChanges is the body of kindChanges.
type packedChanges = peer.Packed[directory.Changes]

// relayed is the body of kindRelay.
type relayed struct {
	// Changes are encoded once for all hosts.
	Changes msgpack.RawMessage `msgpack:"step"`
	// Zone asks the receiver to forward the changes to all hosts of its zone; otherwise it
	// forwards them to those in To.
	Zone bool           `msgpack:"zone"`
	To   []ports.HostID `msgpack:"to"`
	// Tree is the tree by which they are relayed, as in watchers.RelayGroups.
	Tree int `msgpack:"tree,omitempty"`
}

// refused is the body of kindRefused.
type refused struct {
	Targets targetsAnswer `msgpack:"targets"`
}

// targetsAnswer tells when the store last answered the sender about targets, whether it serves it
// otherwise or not.
type targetsAnswer struct {
	// Answered is set if it ever did, Age is how long before the message it last did.
	Answered bool          `msgpack:"answered"`
	Age      time.Duration `msgpack:"age"`
}

// confirmRequest is the empty body of kindConfirm.
type confirmRequest struct{}

// confirmReply says how recently the store confirmed a watcher's configuration.
type confirmReply struct {
	// Version is the watcher's version of the configuration.
	Version uint64 `msgpack:"version"`
	// Known is set if the store confirmed it. Age is how long before the reply there was
	// certainly no newer one.
	Known bool          `msgpack:"known"`
	Age   time.Duration `msgpack:"age"`
	// Start and Clock are the replying process and the reading of its steady clock; hosts of
	// earlier releases do not tell them.
	Start int64         `msgpack:"start"`
	Clock time.Duration `msgpack:"clock"`
}

// syncRequest asks a host for the state that the sender lacks.
type syncRequest struct {
	// Refer is set by a host that has no state yet: if there are many hosts, the reply refers it
	// to a few that have the state instead of carrying it.
	Refer bool `msgpack:"refer"`
	// Host is the sender, Version its version of the configuration.
	Host    directory.Host `msgpack:"host"`
	Version uint64         `msgpack:"version"`
	// Buckets are the digests of the parts of the sender's list of targets.
	Buckets []uint64 `msgpack:"buckets"`
}

// hostsMessage carries the list of hosts, as a request and as the reply.
type hostsMessage struct {
	Hosts hostList `msgpack:"hosts"`
	// Removed are hosts that were removed from the list.
	Removed hostList `msgpack:"gone"`
}

// syncReply carries the state that the sender of a syncRequest lacks.
type syncReply struct {
	// Fresh is set if the replying host is a watcher or hears from one.
	Fresh bool `msgpack:"fresh"`
	// Referrals, if not empty, are hosts of the sender's zone to ask instead of this one.
	Referrals []ports.HostID `msgpack:"ask"`
	Changes   packedChanges  `msgpack:"changes"`
	// Hosts are the hosts known to the replying host; empty unless Fresh is set.
	Hosts hostList `msgpack:"hosts"`
	// Age is the age of the replying host's replica, as in replica.age.
	Age time.Duration `msgpack:"age,omitempty"`
}

// hostList is an encoded list of hosts.
type hostList = peer.Packed[[]directory.Host]
