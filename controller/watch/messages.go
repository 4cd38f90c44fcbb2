package watch

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Messages between hosts.
const (
	kindBeat peer.Kind = peer.KindWatch + iota
	kindChanges
	kindSync
	kindHosts
	// kindRelay is kindChanges to a host that passes it on to others of its zone.
	kindRelay
	// kindRefused tells that the store did not serve the sender's try to take over.
	kindRefused
	// kindConfirm asks a host that watches the store how new its configuration is.
	kindConfirm
)

// beat is a watcher's heartbeat, to all hosts.
type beat struct {
	Host directory.Host `msgpack:"host"`
	// StoreOK, StoreAge and StoreWait are as in watchers.Beat.
	StoreOK   bool          `msgpack:"store_ok"`
	StoreAge  time.Duration `msgpack:"store_age"`
	StoreWait time.Duration `msgpack:"store_wait"`
	// Version, Newest and Digest say what the watcher knows, so that a host that
	// missed a change notices.
	Version uint64             `msgpack:"version"`
	Newest  directory.Revision `msgpack:"newest"`
	Digest  uint64             `msgpack:"digest"`
	// Evacuations and EvacuationsAt are the digest of the orders to evacuate zones and the
	// newest revision of one. They stand apart from the targets, which change all the time:
	// a lost order would hide behind the next change of a target.
	Evacuations   uint64             `msgpack:"evacuations"`
	EvacuationsAt directory.Revision `msgpack:"evacuations_at"`
	// Hosts is a digest of the hosts that the watcher knows.
	Hosts uint64 `msgpack:"hosts"`
}

// step is the body of kindChanges.
type step = peer.Packed[directory.Changes]

// relayed is the body of kindRelay.
type relayed struct {
	// Step is a step as it was encoded once for all hosts.
	Step msgpack.RawMessage `msgpack:"step"`
	// Zone asks the receiver to pass the step on to all hosts of its zone; else those of
	// To get it through it.
	Zone bool           `msgpack:"zone"`
	To   []ports.HostID `msgpack:"to"`
}

// refused is the empty body of kindRefused.
type refused struct{}

// confirmRequest is the empty body of kindConfirm.
type confirmRequest struct{}

// confirmReply tells how new the configuration of a host is that watches the store.
type confirmReply struct {
	// Version is the one that it has.
	Version uint64 `msgpack:"version"`
	// Known is set if the store told it so, Age how long before the reply there was certainly
	// none newer.
	Known bool          `msgpack:"known"`
	Age   time.Duration `msgpack:"age"`
}

// syncRequest asks for all that a host knows.
type syncRequest struct {
	// Refer is set by a host that knows nothing yet: if there are many hosts, it is told of
	// a few that know, and not what they know.
	Refer bool `msgpack:"refer"`
	// Host is who asks, Version the configuration that it has.
	Host    directory.Host `msgpack:"host"`
	Version uint64         `msgpack:"version"`
	// Buckets are those of its list of targets.
	Buckets []uint64 `msgpack:"buckets"`
}

// hostsMessage tells whom a host knows, both ways.
type hostsMessage struct {
	Hosts hostList `msgpack:"hosts"`
	// Gone are hosts that were taken off the list.
	Gone hostList `msgpack:"gone"`
}

// syncReply is all that a host knows.
type syncReply struct {
	// Fresh is set if the host hears from a watcher, or is one.
	Fresh bool `msgpack:"fresh"`
	// Ask, if not empty, are hosts of the asker's zone that are to be asked in place of
	// this one.
	Ask     []ports.HostID `msgpack:"ask"`
	Changes step           `msgpack:"changes"`
	// Hosts are those that the host knows; one that is not fresh does not tell.
	Hosts hostList `msgpack:"hosts"`
}

// hostList is hosts as they travel.
type hostList = peer.Packed[[]directory.Host]
