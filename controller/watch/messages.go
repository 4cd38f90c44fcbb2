package watch

import (
	"time"

	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/peer"
)

// Messages between hosts.
const (
	kindBeat peer.Kind = peer.KindWatch + iota
	kindChanges
	kindSync
	kindHosts
	// kindRelay is kindChanges to a host that passes it on within its zone.
	kindRelay
	// kindRefused tells that the store did not serve the sender's try to take over.
	kindRefused
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
	// Hosts is a digest of the hosts that the watcher knows.
	Hosts uint64 `msgpack:"hosts"`
}

// refused is the empty body of kindRefused.
type refused struct{}

// syncRequest asks for all that a host knows.
type syncRequest struct {
	// Host is who asks, Version the configuration that it has.
	Host    directory.Host `msgpack:"host"`
	Version uint64         `msgpack:"version"`
	// Buckets are those of its list of targets.
	Buckets []uint64 `msgpack:"buckets"`
}

// hostsMessage tells whom a host knows, both ways.
type hostsMessage struct {
	Hosts []directory.Host `msgpack:"hosts"`
	// Gone are hosts that were taken off the list.
	Gone []directory.Host `msgpack:"gone"`
}

// syncReply is all that a host knows.
type syncReply struct {
	// Fresh is set if the host hears from a watcher, or is one.
	Fresh   bool              `msgpack:"fresh"`
	Changes directory.Changes `msgpack:"changes"`
	// Hosts are those that the host knows.
	Hosts []directory.Host `msgpack:"hosts"`
}
