// Package directory holds the state of the platform's store that all hosts replicate: the
// routing configuration, the zone evacuations, the targets, and the list of entry hosts.
//
// Source is the interface to the store. What a read or a watch returns, and what hosts send each
// other, is a Changes value. State merges these values idempotently and in any order, like a
// replicated data type, so that hosts with the same input converge.
package directory

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/routing"
)

// Topic is a part of the store that is read and watched separately.
type Topic uint8

const (
	// TopicConfig covers the configuration and the zone evacuations.
	TopicConfig Topic = iota
	// TopicTargets covers the list of targets.
	TopicTargets
	// Topics is the number of topics.
	Topics
)

// String returns the topic's name for logs.
func (t Topic) String() string {
	if t == TopicConfig {
		return "config"
	}
	return "targets"
}

// Errors returned by a Source, to be tested with errors.Is. After any error, these included, the
// state of the store is unknown.
var (
	// ErrHistoryGone means that the store no longer keeps the changes since the requested
	// revision: the topic has to be read in full.
	ErrHistoryGone = errors.New("store no longer keeps the history since the requested revision")
	// ErrRefused means that the store responded and refused the call.
	ErrRefused = errors.New("platform store refused the call")
)

// Source reads and watches the platform's store. Implementations are safe for concurrent use.
type Source interface {
	// Read returns a whole topic as of one moment. It fails with context.DeadlineExceeded once
	// the store has sent nothing for silence; a response that keeps arriving may take any time.
	Read(ctx context.Context, t Topic, silence time.Duration) (Changes, error)
	// Watch returns what changed in a topic after a revision as soon as there is a change, or an
	// empty Changes after wait. Silence is as in Read and starts after wait.
	Watch(ctx context.Context, t Topic, after Revision, wait, silence time.Duration) (Changes, error)
	// Hosts returns the list of entry hosts that was last announced.
	Hosts(ctx context.Context) ([]Host, error)
	// Announce writes the list of entry hosts, for hosts that start with stale seeds.
	Announce(ctx context.Context, hosts []Host) error
}

// Changes is a change set: what a read or a watch of the store returned, or what one host sends
// another.
type Changes struct {
	// Revision is the revision up to which the change set leads.
	Revision Revision `msgpack:"revision"`
	// AllTargets is set if Targets is the complete list: targets that it does not contain are
	// gone.
	AllTargets bool `msgpack:"all_targets"`
	// Partial is set if AllTargets applies only to the targets in Buckets, a bit set; the
	// receiver has the same other targets as the sender. See State.Buckets.
	Partial bool   `msgpack:"partial"`
	Buckets uint64 `msgpack:"buckets"`
	// Newest is the newest revision of the state that this change set brings the receiver up to,
	// 0 for other change sets.
	Newest Revision `msgpack:"newest"`
	// Config is nil if the configuration did not change.
	Config *routing.Config `msgpack:"config"`
	// ConfigUnreadable is set in an answer of the store whose configuration can not be decoded,
	// so that the current one is not the newest.
	ConfigUnreadable bool `msgpack:"-"`
	// Waited is how long the store held a watch that it then answered without any change; 0 for
	// other answers.
	Waited time.Duration `msgpack:"-"`
	// StoreTime is the reading of the store's steady clock when it made the answer, 0 if unknown.
	StoreTime time.Duration `msgpack:"-"`
	// Delta replaces Config where the receiver is likely to have the version it is based on.
	Delta   *routing.Delta `msgpack:"delta"`
	Targets []Target       `msgpack:"targets"`
	// Evacuations are zone evacuations and ends of evacuations. AllEvacuations, if not 0, is the
	// revision as of which the list is complete: older evacuations that it does not contain have
	// ended.
	Evacuations    []Evacuation `msgpack:"evacuations"`
	AllEvacuations Revision     `msgpack:"all_evacuations"`
	// Digest is the digest of the sender's list of targets after these changes, DigestAt the
	// newest revision in it; 0 if unknown.
	Digest   uint64   `msgpack:"digest"`
	DigestAt Revision `msgpack:"digest_at"`
	// Hold is for how long targets that were removed without draining are still used. See
	// State.Apply.
	Hold time.Duration `msgpack:"hold"`
	// OutageHold is the same by an outage of the store that this host knows of itself.
	OutageHold time.Duration `msgpack:"-"`
}

// Empty reports whether the change set contains no changes.
func (c Changes) Empty() bool {
	return c.Config == nil && c.Delta == nil && len(c.Targets) == 0 && !c.AllTargets && len(c.Evacuations) == 0 && c.AllEvacuations == 0
}

// Target is a target's entry in the store.
type Target struct {
	ID       ports.HostID `msgpack:"id"`
	Revision Revision     `msgpack:"revision"`
	// Removed is set for a target whose entry is gone; the fields below are those it had, if
	// known.
	Removed bool `msgpack:"removed"`
	// Unreadable is set for a target that was removed because its entry can not be decoded,
	// whatever the entry contained before.
	Unreadable bool `msgpack:"unreadable"`
	// Incarnation distinguishes successive processes of the target.
	Incarnation ports.Incarnation `msgpack:"incarnation"`

	Service string `msgpack:"service"`
	Addr    string `msgpack:"addr"`
	Zone    string `msgpack:"zone"`
	// Slots is the number of requests that the target processes concurrently.
	Slots int `msgpack:"slots"`
	// Draining is set for a target that gets no new requests.
	Draining bool `msgpack:"draining"`
	// WarmUp is for how long the target was still going to be slow when the entry was written.
	WarmUp time.Duration `msgpack:"warm_up"`
}

// Host is an entry host. Its address on the peer network identifies it, so that the addresses of
// a few seeds are enough to start with.
type Host struct {
	Addr string `msgpack:"addr" json:"addr"`
	Zone string `msgpack:"zone" json:"zone"`
	// Start is when the host's process started, in nanoseconds since 1970, or 0 if unknown. It
	// distinguishes a restarted host from its previous process.
	Start int64 `msgpack:"start" json:"start"`
}

// ID returns the ID of the host on the peer network.
func (h Host) ID() ports.HostID { return ports.HostID(h.Addr) }
