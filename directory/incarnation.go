package directory

import "time"

// staleEntryDelay is how long an entry of an earlier incarnation has to stand in the store
// before it is accepted. A target renews its entry every 1.5 s, and the platform drops the entry
// after three missed renewals: if the later incarnation is alive, its own entry is back within
// that time.
const staleEntryDelay = 5 * time.Second

// staleEntry is an entry that is held back: one of an earlier incarnation of a target, or one that
// a restored copy of the store holds for a removed target.
//
// A write of a previous incarnation may reach the store after the first write of the next, so it
// is not applied at once. The clock of a target's host may also have been set back, which makes
// the new incarnation look like the earlier one: then nothing replaces the entry, and it is
// accepted after staleEntryDelay.
type staleEntry struct {
	Target
	until time.Time
}

// startedAfter reports whether an entry is of a later incarnation than another one.
func (t Target) startedAfter(old Target) bool {
	return !t.Removed && t.Incarnation.Replaces(old.Incarnation) && t.Incarnation > old.Incarnation
}

// supersedes reports whether an entry is of an incarnation that ended before the known one
// began.
func (k *targetState) supersedes(t Target) bool {
	return !t.Removed && t.Incarnation.Replaces(k.Incarnation) && t.Incarnation < k.Incarnation
}

// predatesRestore reports whether the store was restored from an older copy between the known
// entry and another one.
func (k *targetState) predatesRestore(t Target) bool { return t.Revision.Era() > k.Revision.Era() }

// unusable reports whether a target was removed and its hold has ended. A restored copy that
// lists it is older than its removal, unless the target has returned since: then its entry stays
// listed.
func (k *targetState) unusable(now time.Time) bool { return k.Removed && !now.Before(k.usableUntil) }

// holdStale holds back an entry and reports whether that is new; see staleEntry.
func (s *State) holdStale(now time.Time, k *targetState, t Target) bool {
	if t.Revision <= k.Revision || k.stale != nil && t.Revision <= k.stale.Revision {
		return false
	}
	until := now.Add(staleEntryDelay)
	if k.stale != nil && k.stale.Incarnation == t.Incarnation {
		until = k.stale.until
	}
	k.stale = &staleEntry{Target: t, until: until}
	s.stale[k.ID] = k
	return true
}

// acceptStale accepts held-back entries that nothing has replaced for staleEntryDelay.
func (s *State) acceptStale(now time.Time) {
	for _, k := range s.stale {
		if !now.Before(k.stale.until) {
			s.list(now, k, k.stale.Target)
		}
	}
}

// learnIncarnation takes the incarnation from an older entry if the newer one has none, and
// reports whether that is new. Hosts receive the two in any order.
func (s *State) learnIncarnation(k *targetState, t Target) bool {
	if k.Incarnation != 0 || t.Incarnation == 0 {
		return false
	}
	before := k.digest()
	k.Incarnation = t.Incarnation
	s.buckets[bucketOf(t.ID)] ^= before ^ k.digest()
	if v := s.services[k.Service]; v != nil {
		k.changed, v.changed = true, true
	}
	return true
}
