// Package directory is what all hosts know of the platform's record: the
// configuration by routes, the targets and the entry hosts. Source is the port
// to the platform; State merges what comes from it and from other hosts, in any
// order and any number of times.
package directory

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/routing"
)

// Topic is a part of the record that is read and watched by itself.
type Topic uint8

const (
	// TopicConfig is the configuration, and the orders to evacuate zones.
	TopicConfig Topic = iota
	// TopicTargets is the list of targets.
	TopicTargets
	// Topics is the number of topics.
	Topics
)

// String returns the name of the topic in logs.
func (t Topic) String() string {
	if t == TopicConfig {
		return "config"
	}
	return "targets"
}

// Errors of a Source, to be tested with errors.Is. Any other error, and these,
// mean that nothing is known.
var (
	// ErrHistoryGone says that changes since the revision asked about are no
	// longer kept: the topic has to be read whole.
	ErrHistoryGone = errors.New("history of the platform's record is gone")
	// ErrRefused says that the platform answered and turned the call away.
	ErrRefused = errors.New("platform refused the call")
)

// Source is the platform's record. Implementations are safe for concurrent use.
type Source interface {
	// Read returns a topic whole, as of one moment. It fails with context.DeadlineExceeded
	// once the platform has been silent for a time: an answer that keeps coming is awaited,
	// however long it is.
	Read(ctx context.Context, t Topic, silence time.Duration) (Changes, error)
	// Watch returns what changed in a topic after a revision, as soon as there
	// is something, or an empty Changes after wait. Silence is that of Read, beyond wait.
	Watch(ctx context.Context, t Topic, after Revision, wait, silence time.Duration) (Changes, error)
	// Hosts returns the entry hosts that were last announced.
	Hosts(ctx context.Context) ([]Host, error)
	// Announce writes all entry hosts down for those that start with stale seeds.
	Announce(ctx context.Context, hosts []Host) error
}

// Changes is a step of the record.
type Changes struct {
	// Revision is that up to which the step leads.
	Revision Revision `msgpack:"revision"`
	// AllTargets is set if Targets was read whole: those that it does not name
	// are gone.
	AllTargets bool `msgpack:"all_targets"`
	// Partial is set if AllTargets holds for the targets of Buckets alone, a set of bits;
	// the receiver's others are as the sender's. See State.Buckets.
	Partial bool   `msgpack:"partial"`
	Buckets uint64 `msgpack:"buckets"`
	// Newest is the newest revision of a state that the step makes the receiver equal
	// to, 0 for other steps.
	Newest Revision `msgpack:"newest"`
	// Config is nil if it did not change.
	Config *routing.Config `msgpack:"config"`
	// ConfigUnread is set in an answer of the platform whose configuration can not be read:
	// the one at hand is not the newest.
	ConfigUnread bool `msgpack:"-"`
	// Waited is the time for which the platform held a watch that it then answered with no
	// change at all; 0 for other answers.
	Waited time.Duration `msgpack:"-"`
	// Delta is in place of Config where the receiver is likely to have what it
	// begins at.
	Delta   *routing.Delta `msgpack:"delta"`
	Targets []Target       `msgpack:"targets"`
	// Evacuations are orders to evacuate zones, and their ends. AllEvacuations, if not 0, is
	// the revision as of which they are all: older orders that it does not name have ended.
	Evacuations    []Evacuation `msgpack:"evacuations"`
	AllEvacuations Revision     `msgpack:"all_evacuations"`
	// Digest is that of the sender's list after the step, DigestAt the newest revision in
	// it; 0 if not told.
	Digest   uint64   `msgpack:"digest"`
	DigestAt Revision `msgpack:"digest_at"`
	// Hold is how long targets that were removed without notice are still to be
	// used. See State.Merge.
	Hold time.Duration `msgpack:"hold"`
}

// Empty reports whether a step changes nothing.
func (c Changes) Empty() bool {
	return c.Config == nil && c.Delta == nil && len(c.Targets) == 0 && !c.AllTargets && len(c.Evacuations) == 0 && c.AllEvacuations == 0
}

// Target is one target in the record.
type Target struct {
	ID       ports.HostID `msgpack:"id"`
	Revision Revision     `msgpack:"revision"`
	// Removed is set for a target that left the record; the fields below are
	// those it had, if known.
	Removed bool `msgpack:"removed"`
	// Unreadable is set for one that was removed because its entry can not be read: it
	// names no target, whatever it named before.
	Unreadable bool `msgpack:"unreadable"`
	// Incarnation tells the target's runs apart.
	Incarnation ports.Incarnation `msgpack:"incarnation"`

	Service string `msgpack:"service"`
	Addr    string `msgpack:"addr"`
	Zone    string `msgpack:"zone"`
	// Slots is the number of requests the target runs at once.
	Slots int `msgpack:"slots"`
	// Draining targets get no new request.
	Draining bool `msgpack:"draining"`
	// WarmUp is how long the target was still slow when the record was written.
	WarmUp time.Duration `msgpack:"warm_up"`
}

// Host is one entry host. Its address on the peer network names it, so that the
// addresses of a few seeds are enough to begin with.
type Host struct {
	Addr string `msgpack:"addr" json:"addr"`
	Zone string `msgpack:"zone" json:"zone"`
	// Start is when its process started, in nanoseconds since 1970, or 0 if not known.
	// It tells a host that came back from what was known of it before.
	Start int64 `msgpack:"start" json:"start"`
}

// ID returns the name by which other hosts know the host.
func (h Host) ID() ports.HostID { return ports.HostID(h.Addr) }
