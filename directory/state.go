package directory

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/cactusproxy/cactusproxy/internal/invariant"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/routing"
)

// rememberRemovedFor is how long a removed target is remembered, so that an older entry from a
// slow peer does not bring it back. Peers that were silent for longer send their whole state.
const rememberRemovedFor = time.Minute

// State is the replicated state on one host. Merging is idempotent and does not depend on order:
// the configuration is ordered by its version, each target by the revision of its entry. It is
// not safe for concurrent use.
type State struct {
	config *routing.Config
	// evacuations are the zone evacuations.
	evacuations Evacuations
	targets     map[ports.HostID]*targetState
	newest      Revision
	completeAt  Revision
	// staleEntries counts entries of earlier incarnations of targets that were held back.
	staleEntries int64
	// refusedConfigs counts configurations that failed the checks, and deltas whose result
	// differed from the sender's configuration.
	refusedConfigs int64
	// buckets are digests of the listed targets; see Buckets.
	buckets [bucketCount]uint64
	// services are the usable targets by service. So the cost of a change depends on the targets
	// of its service, not on all targets.
	services map[string]*service
	// interned holds the names of services and zones, so that thousands of targets share them.
	interned map[string]string
	// removed are the targets that are removed and still remembered, stale those with a stale
	// entry.
	removed, stale map[ports.HostID]*targetState
}

// bucketCount is the number of parts in which two states are compared. Of 3,000 targets, one
// that differs causes some 50 to be sent instead of all.
const bucketCount = 64

func bucketOf(id ports.HostID) int { return int(xxhash.Sum64String(string(id)) % bucketCount) }

// targetState is a target's entry with its history on this host.
type targetState struct {
	Usable
	// usableUntil is when a removed target stops being used; zero for one that is not removed.
	usableUntil time.Time
	// removedAt is when this host first learned of the removal.
	removedAt time.Time
	// stale is a held-back entry of the target; nil if there is none.
	stale *staleEntry
	// changed is set until the target is visited; see State.Changed.
	changed bool
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		targets:  make(map[ports.HostID]*targetState),
		services: make(map[string]*service),
		interned: make(map[string]string),
		removed:  make(map[ports.HostID]*targetState),
		stale:    make(map[ports.HostID]*targetState),
	}
}

// Config returns the configuration, or nil if none is known.
func (s *State) Config() *routing.Config { return s.config }

// Evacuations returns the zone evacuations, which the caller must not modify.
func (s *State) Evacuations() *Evacuations { return &s.evacuations }

// Newest returns the highest revision of any target's entry.
func (s *State) Newest() Revision { return s.newest }

// Digest is equal for states that list the same targets at the same revisions. Equal newest
// revisions do not imply that: a change that was lost no longer shows once the next one has
// arrived.
func (s *State) Digest() uint64 {
	var sum uint64
	for _, b := range s.buckets {
		sum ^= b
	}
	return sum
}

// Buckets returns the digests of the parts of the list of targets: a host that is behind sends
// them and receives only the parts that differ.
//
// Otherwise a host that misses one change would be sent all of thousands of targets, which
// saturates slow links.
func (s *State) Buckets() []uint64 { return slices.Clone(s.buckets[:]) }

// digest is a listed target's contribution to the digest of its bucket.
func (k *targetState) digest() uint64 {
	if k == nil || k.Removed {
		return 0
	}
	return xxhash.Sum64String(fmt.Sprint(k.ID, " ", k.Revision, " ", k.Incarnation))
}

// StaleEntries returns how many entries of earlier incarnations of targets were held back so
// far.
func (s *State) StaleEntries() int64 { return s.staleEntries }

// RefusedConfigs returns how many configurations were refused because they failed the checks or
// differed from the sender's.
func (s *State) RefusedConfigs() int64 { return s.refusedConfigs }

// HasTargets reports whether the list of targets was ever complete.
func (s *State) HasTargets() bool { return s.completeAt > 0 }

// Merge merges changes and reports whether any were new.
func (s *State) Merge(now time.Time, c Changes) bool { return !s.Apply(now, c).Empty() }

// Apply merges changes and returns those that were new, for hosts with the same previous state.
//
// Targets can not renew their entries while the store is down: it drops them, and lists them
// again after its return. So a target whose entry was removed without draining is used for Hold
// longer.
func (s *State) Apply(now time.Time, c Changes) (applied Changes) {
	applied.Revision = c.Revision
	applied.Hold = c.Hold
	if s.mergeConfig(c.Config) {
		applied.Config = c.Config
	}
	if s.mergeDelta(c.Delta) {
		applied.Delta = c.Delta
	}
	applied.Evacuations = s.evacuations.merge(now, c.Evacuations, c.AllEvacuations)
	for _, t := range c.Targets {
		if s.mergeTarget(now, t, c) {
			applied.Targets = append(applied.Targets, t)
		}
	}
	if c.AllTargets && c.Revision > s.completeAt {
		applied.Targets = append(applied.Targets, s.removeMissing(now, c)...)
		s.completeAt = c.Revision
	}
	s.newest = max(s.newest, c.Newest)
	s.prune(now)
	s.acceptStale(now)
	return applied
}

// mergeConfig merges a newer configuration. Versions are unique, so that another configuration
// of the current version is ignored, as are stale reads.
//
// A configuration that fails the checks, as from a host whose program has fewer of them, is
// refused: the last good one stays.
func (s *State) mergeConfig(c *routing.Config) bool {
	if c == nil || s.config != nil && c.Version <= s.config.Version {
		return false
	}
	if c.Check() != nil {
		s.refusedConfigs++
		return false
	}
	s.config = c
	return true
}

// mergeDelta applies a delta that is based on the current configuration. Any other is ignored:
// the next heartbeat shows that this host is behind, and it then fetches the whole
// configuration.
func (s *State) mergeDelta(d *routing.Delta) bool {
	if d == nil {
		return false
	}
	next, err := s.config.Apply(*d)
	if err != nil {
		if !errors.Is(err, routing.ErrBaseMismatch) {
			s.refusedConfigs++
		}
		return false
	}
	return s.mergeConfig(next)
}

func (s *State) mergeTarget(now time.Time, t Target, c Changes) bool {
	old := s.targets[t.ID]
	switch {
	case old == nil:
	case old.supersedes(t):
		s.newest = max(s.newest, t.Revision)
		s.staleEntries++
		return s.holdStale(now, old, t)
	case t.startedAfter(old.Target):
		t.Revision = max(t.Revision, old.Revision)
	case !t.Removed && old.predatesRestore(t) && old.unusable(now):
		s.newest = max(s.newest, t.Revision)
		return s.holdStale(now, old, t)
	case t.Revision <= old.Revision:
		return s.learnIncarnation(old, t) || t.Revision == old.Revision && t.Removed && old.extendHold(now, c)
	}
	s.newest = max(s.newest, t.Revision)
	if t.Removed {
		s.remove(now, t, c.hold())
		return true
	}
	s.list(now, old, t)
	return true
}

// maxInterned bounds the interned names; entries by other writers may name anything.
const maxInterned = 1000

// intern returns a string equal to name that all targets with that name share.
func (s *State) intern(name string) string {
	if known, ok := s.interned[name]; ok {
		return known
	}
	if len(s.interned) < maxInterned {
		s.interned[name] = name
	}
	return name
}

// list adds a target or replaces its entry. What is known of the same incarnation is kept.
func (s *State) list(now time.Time, old *targetState, t Target) {
	t.Service, t.Zone = s.intern(t.Service), s.intern(t.Zone)
	k := &targetState{Usable: Usable{Target: t, FirstSeen: now, ListedAt: now}}
	if old != nil && !t.Incarnation.Replaces(old.Incarnation) {
		k.FirstSeen = old.FirstSeen
		k.Incarnation = max(t.Incarnation, old.Incarnation)
	}
	if old != nil && old.stale != nil && old.stale.Revision > t.Revision {
		k.stale = old.stale
	}
	s.targets[t.ID] = k
	s.buckets[bucketOf(t.ID)] ^= old.digest() ^ k.digest()
	s.replace(old, k)
}

// hold returns how long a target is used whose removal was not known before.
func (c Changes) hold() time.Duration { return max(c.Hold, c.OutageHold) }

// extendHold extends the use of a removed target that is still in use, and reports whether it
// did.
//
// The hold that comes with a removal counts from when this host first learned of that: the same
// removal comes again and again, late, from other hosts, and would keep a target in use that left
// seconds ago. An outage that this host knows of ends at a time of its own.
func (k *targetState) extendHold(now time.Time, c Changes) bool {
	until := k.removedAt.Add(c.Hold)
	if own := now.Add(c.OutageHold); own.After(until) {
		until = own
	}
	if k.Draining || k.Unreadable || !k.Removed || !now.Before(k.usableUntil) || !until.After(k.usableUntil) {
		return false
	}
	k.usableUntil = until
	return true
}

// remove records that a target's entry is gone or can not be decoded. An undecodable entry does
// not keep its target in use: it is not the result of an outage of the store.
func (s *State) remove(now time.Time, t Target, hold time.Duration) {
	k := s.targets[t.ID]
	if k == nil {
		t.Removed = true
		k = &targetState{Usable: Usable{Target: t}, usableUntil: now, removedAt: now}
		s.targets[t.ID], s.removed[t.ID] = k, k
		return
	}
	if k.Draining || t.Unreadable {
		hold = 0
	}
	if !k.Removed {
		k.usableUntil, k.removedAt = now.Add(hold), now
		s.buckets[bucketOf(t.ID)] ^= k.digest()
	}
	if t.Unreadable {
		k.usableUntil = now
	}
	k.Removed = true
	k.Unreadable = t.Unreadable
	k.Revision = t.Revision
	k.Incarnation = max(k.Incarnation, t.Incarnation)
	k.stale = nil
	s.removed[t.ID] = k
	delete(s.stale, t.ID)
}

// removeMissing removes the targets that a complete list does not contain, and returns them.
func (s *State) removeMissing(now time.Time, c Changes) (dropped []Target) {
	listed := make(map[ports.HostID]bool, len(c.Targets))
	for _, t := range c.Targets {
		listed[t.ID] = true
	}
	for id, k := range s.targets {
		if !listed[id] && !k.Removed && k.Revision <= c.Revision && c.covers(id) {
			s.remove(now, Target{ID: id, Revision: c.Revision}, c.hold())
			s.newest = max(s.newest, c.Revision)
			dropped = append(dropped, k.Target)
		}
	}
	return dropped
}

// prune drops targets that were removed long ago.
func (s *State) prune(now time.Time) {
	for id, k := range s.removed {
		if now.Sub(k.usableUntil) > rememberRemovedFor {
			s.services[k.Service].drop(k)
			delete(s.targets, id)
			delete(s.removed, id)
			delete(s.stale, id)
		}
	}
}

// CompleteAt returns the revision as of which all targets are known, 0 if they never were.
func (s *State) CompleteAt() Revision { return s.completeAt }

// Advance records that every change up to a revision was merged, as after a watch.
func (s *State) Advance(to Revision) {
	if s.completeAt > 0 {
		s.completeAt = max(s.completeAt, to)
	}
}

// Snapshot returns the state for a host that is behind and has a version of the configuration,
// or 0. Of the targets it contains those in buckets that differ from theirs, or all if theirs is
// empty. Removed targets are included, so that the snapshot does not bring them back.
func (s *State) Snapshot(now time.Time, version uint64, theirs []uint64) Changes {
	buckets := s.differing(theirs)
	c := Changes{Revision: s.completeAt, AllTargets: s.completeAt > 0, Partial: true, Buckets: buckets, Newest: s.newest}
	if s.config != nil && s.config.Version > version {
		c.Config = s.config
	}
	c.Evacuations, c.AllEvacuations = s.evacuations.snapshot()
	for _, k := range s.targets {
		t := k.Target
		if buckets&(1<<bucketOf(t.ID)) == 0 {
			continue
		}
		if t.Removed && now.Before(k.usableUntil) {
			c.Hold = max(c.Hold, k.usableUntil.Sub(now))
		}
		c.Targets = append(c.Targets, t)
	}
	slices.SortFunc(c.Targets, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return c
}

// differing returns the buckets that differ from those of another state, as a bit set; all of
// them if that state has none.
func (s *State) differing(theirs []uint64) (set uint64) {
	for i, digest := range s.buckets {
		if len(theirs) != bucketCount || theirs[i] != digest {
			set |= 1 << i
		}
	}
	return set
}

// covers reports whether a change set that is a complete list would contain a target.
func (c Changes) covers(id ports.HostID) bool {
	return !c.Partial || c.Buckets&(1<<bucketOf(id)) != 0
}

// AssertNewer asserts that a configuration put into effect is newer than the previous one.
func AssertNewer(old, next *routing.Config) {
	if old == nil {
		return
	}
	invariant.Check(next.Version > old.Version, invariant.ConfigForward, "%d after %d", next.Version, old.Version)
}
