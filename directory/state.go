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

// forgetAfter is how long a target that is gone is remembered, so that an older
// word of it from a slow peer does not bring it back. Peers that were silent for
// longer send their state whole.
const forgetAfter = time.Minute

// State is what one host knows of the record. Merging is idempotent and does not
// depend on order: the configuration goes by its version, each target by the
// revision of its entry. It is not safe for concurrent use.
type State struct {
	config *routing.Config
	// evacuations are the orders to evacuate zones.
	evacuations Evacuations
	targets     map[ports.HostID]*known
	newest      Revision
	wholeAt     Revision
	// lateWords counts words of earlier runs of targets that were held back.
	lateWords int64
	// refusedConfigs counts configurations that were wrong, and deltas that led to another
	// one than their sender's.
	refusedConfigs int64
	// buckets are digests of the targets that are listed; see Buckets.
	buckets [bucketCount]uint64
	// services are the targets in use, by service. A change costs what its service has, in
	// place of what all have.
	services map[string]*service
	// names has the names of services and zones, so that thousands of targets share them.
	names map[string]string
	// removed and late are the targets that are removed and not forgotten, and those with a
	// late word.
	removed, late map[ports.HostID]*known
}

// bucketCount is the number of parts in which two states are compared. With 3,000
// targets one that differs leads to some 50 being told in place of all.
const bucketCount = 64

func bucketOf(id ports.HostID) int { return int(xxhash.Sum64String(string(id)) % bucketCount) }

// known is a target with what happened to it here.
type known struct {
	Usable
	// goneAt is when a removed target stops being used; the zero time for one
	// that is not removed.
	goneAt time.Time
	// lateWord is a word of an earlier run that stands in the record; nil if there is none.
	lateWord *lateWord
	// changed is set until the target is shown; see State.Changed.
	changed bool
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		targets:  make(map[ports.HostID]*known),
		services: make(map[string]*service),
		names:    make(map[string]string),
		removed:  make(map[ports.HostID]*known),
		late:     make(map[ports.HostID]*known),
	}
}

// Config returns the configuration, or nil if none is known.
func (s *State) Config() *routing.Config { return s.config }

// Evacuations returns the orders to evacuate zones, for reading.
func (s *State) Evacuations() *Evacuations { return &s.evacuations }

// Newest returns the highest revision of any target's entry.
func (s *State) Newest() Revision { return s.newest }

// Digest is the same in states that list the same targets at the same revisions. Two
// states may have the same newest revision and still differ: a change that was lost on
// its way is not missed any more once the next one has arrived.
func (s *State) Digest() uint64 {
	var sum uint64
	for _, b := range s.buckets {
		sum ^= b
	}
	return sum
}

// Buckets returns the digests of the parts of the list of targets: a host that lacks
// something tells them, and hears only of the parts that differ.
//
// A host that misses a change of thousands of targets would else be told all of them, which
// fills slow links.
func (s *State) Buckets() []uint64 { return slices.Clone(s.buckets[:]) }

// mark is what a listed target adds to the digest.
func (k *known) mark() uint64 {
	if k == nil || k.Removed {
		return 0
	}
	return xxhash.Sum64String(fmt.Sprint(k.ID, " ", k.Revision, " ", k.Incarnation))
}

// LateWords returns how many words of earlier runs of targets were held back so far.
func (s *State) LateWords() int64 { return s.lateWords }

// RefusedConfigs returns how many configurations were not taken in since they were wrong or
// not the one that their sender had.
func (s *State) RefusedConfigs() int64 { return s.refusedConfigs }

// HasTargets reports whether the list of targets was ever whole.
func (s *State) HasTargets() bool { return s.wholeAt > 0 }

// Merge takes in a step and reports whether it told anything new.
func (s *State) Merge(now time.Time, c Changes) bool { return !s.Take(now, c).Empty() }

// Take takes in a step and returns what of it was new, as a step for hosts that knew as
// much as this one.
//
// While the store is away targets can not renew their entries: it drops them, and lists them
// again after its return. So a target whose entry went without a drain is used for Hold longer,
// unless it was listed as draining.
func (s *State) Take(now time.Time, c Changes) (news Changes) {
	news.Revision = c.Revision
	news.Hold = c.Hold
	if s.mergeConfig(c.Config) {
		news.Config = c.Config
	}
	if s.mergeDelta(c.Delta) {
		news.Delta = c.Delta
	}
	news.Evacuations = s.evacuations.take(now, c.Evacuations, c.AllEvacuations)
	for _, t := range c.Targets {
		if s.mergeTarget(now, t, c.Hold) {
			news.Targets = append(news.Targets, t)
		}
	}
	if c.AllTargets && c.Revision > s.wholeAt {
		news.Targets = append(news.Targets, s.dropUnnamed(now, c)...)
		s.wholeAt = c.Revision
	}
	s.newest = max(s.newest, c.Newest)
	s.forget(now)
	s.acceptLate(now)
	return news
}

// mergeConfig takes in a newer configuration. Versions are unique: another one of the
// version at hand is passed over, and so is what a stale reading tells.
//
// One that fails the check, as from a host whose program knows fewer checks, is refused: the last
// good one stays.
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

// mergeDelta applies a delta that begins at the configuration at hand. Any other is
// passed over: the next heartbeat shows that this host is behind, and it is told the
// configuration whole.
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

func (s *State) mergeTarget(now time.Time, t Target, hold time.Duration) bool {
	old := s.targets[t.ID]
	switch {
	case old == nil:
	case old.ended(t):
		s.newest = max(s.newest, t.Revision)
		s.lateWords++
		return s.keepLate(now, old, t)
	case t.beginsAfter(old.Target):
		t.Revision = max(t.Revision, old.Revision)
	case !t.Removed && old.beforeCopy(t) && old.out(now):
		s.newest = max(s.newest, t.Revision)
		return s.keepLate(now, old, t)
	case t.Revision <= old.Revision:
		return s.learnRun(old, t) || t.Revision == old.Revision && t.Removed && old.extend(now, hold)
	}
	s.newest = max(s.newest, t.Revision)
	if t.Removed {
		s.remove(now, t, hold)
		return true
	}
	s.put(now, old, t)
	return true
}

// maxNames bounds the names that are shared; entries of other writers may name anything.
const maxNames = 1000

// shared returns a name that is the same string for all targets that have it.
func (s *State) shared(name string) string {
	if have, ok := s.names[name]; ok {
		return have
	}
	if len(s.names) < maxNames {
		s.names[name] = name
	}
	return name
}

// put lists a target. What is known of the same run stays.
func (s *State) put(now time.Time, old *known, t Target) {
	t.Service, t.Zone = s.shared(t.Service), s.shared(t.Zone)
	k := &known{Usable: Usable{Target: t, FirstSeen: now, ListedAt: now}}
	if old != nil && !t.Incarnation.Replaces(old.Incarnation) {
		k.FirstSeen = old.FirstSeen
		k.Incarnation = max(t.Incarnation, old.Incarnation)
	}
	if old != nil && old.lateWord != nil && old.lateWord.Revision > t.Revision {
		k.lateWord = old.lateWord
	}
	s.targets[t.ID] = k
	s.buckets[bucketOf(t.ID)] ^= old.mark() ^ k.mark()
	s.replace(old, k)
}

// extend lengthens the use of a removed target that is still used, and reports
// whether it did.
func (k *known) extend(now time.Time, hold time.Duration) bool {
	until := now.Add(hold)
	if k.Draining || k.Unreadable || !k.Removed || !now.Before(k.goneAt) || !until.After(k.goneAt) {
		return false
	}
	k.goneAt = until
	return true
}

// remove takes in that a target's entry is gone, or names no target any more. One that
// can not be read holds no target in use: it does not come from an outage of the store.
func (s *State) remove(now time.Time, t Target, hold time.Duration) {
	k := s.targets[t.ID]
	if k == nil {
		t.Removed = true
		k = &known{Usable: Usable{Target: t}, goneAt: now}
		s.targets[t.ID], s.removed[t.ID] = k, k
		return
	}
	if k.Draining || t.Unreadable {
		hold = 0
	}
	if !k.Removed {
		k.goneAt = now.Add(hold)
		s.buckets[bucketOf(t.ID)] ^= k.mark()
	}
	if t.Unreadable {
		k.goneAt = now
	}
	k.Removed = true
	k.Unreadable = t.Unreadable
	k.Revision = t.Revision
	k.Incarnation = max(k.Incarnation, t.Incarnation)
	k.lateWord = nil
	s.removed[t.ID] = k
	delete(s.late, t.ID)
}

// dropUnnamed removes the targets that a whole reading does not name, and returns them.
func (s *State) dropUnnamed(now time.Time, c Changes) (dropped []Target) {
	named := make(map[ports.HostID]bool, len(c.Targets))
	for _, t := range c.Targets {
		named[t.ID] = true
	}
	for id, k := range s.targets {
		if !named[id] && !k.Removed && k.Revision <= c.Revision && c.names(id) {
			s.remove(now, Target{ID: id, Revision: c.Revision}, c.Hold)
			s.newest = max(s.newest, c.Revision)
			dropped = append(dropped, k.Target)
		}
	}
	return dropped
}

// forget drops targets that have been gone for long.
func (s *State) forget(now time.Time) {
	for id, k := range s.removed {
		if now.Sub(k.goneAt) > forgetAfter {
			s.services[k.Service].drop(k)
			delete(s.targets, id)
			delete(s.removed, id)
			delete(s.late, id)
		}
	}
}

// Advance notes that every change up to a revision was merged, as after a watch.
func (s *State) Advance(to Revision) {
	if s.wholeAt > 0 {
		s.wholeAt = max(s.wholeAt, to)
	}
}

// Whole returns the state as one step, for a host that has a version of the
// configuration, or 0, and knows less. Of the targets it has those in buckets that differ
// from the host's, or all if that has none. Removed targets are in it, so that it brings
// back none of them.
func (s *State) Whole(now time.Time, version uint64, theirs []uint64) Changes {
	differ := s.differing(theirs)
	c := Changes{Revision: s.wholeAt, AllTargets: s.wholeAt > 0, Partial: true, Buckets: differ, Newest: s.newest}
	if s.config != nil && s.config.Version > version {
		c.Config = s.config
	}
	c.Evacuations, c.AllEvacuations = s.evacuations.whole()
	for _, k := range s.targets {
		t := k.Target
		if differ&(1<<bucketOf(t.ID)) == 0 {
			continue
		}
		if t.Removed && now.Before(k.goneAt) {
			c.Hold = max(c.Hold, k.goneAt.Sub(now))
		}
		c.Targets = append(c.Targets, t)
	}
	slices.SortFunc(c.Targets, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return c
}

// differing returns the buckets that differ from those of another state, as a set of
// bits; all of them if that state has none.
func (s *State) differing(theirs []uint64) (set uint64) {
	for i, digest := range s.buckets {
		if len(theirs) != bucketCount || theirs[i] != digest {
			set |= 1 << i
		}
	}
	return set
}

// names reports whether a step that is whole would name a target.
func (c Changes) names(id ports.HostID) bool {
	return !c.Partial || c.Buckets&(1<<bucketOf(id)) != 0
}

// CheckForward asserts that a configuration put in force is newer than the one
// before it.
func CheckForward(old, next *routing.Config) {
	if old == nil {
		return
	}
	invariant.Check(next.Version > old.Version, invariant.ConfigForward, "%d after %d", next.Version, old.Version)
}
