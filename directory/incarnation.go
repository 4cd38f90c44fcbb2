package directory

import "time"

// lateFor is how long a word of an earlier run stands in the record before it is believed.
// A target renews its entry every 1.5 s, and with three renewals missing the platform drops
// it: if the later run lives, its own word is back within that time.
const lateFor = 5 * time.Second

// lateWord is what the record says of an earlier run of a target.
//
// A write of a former run may arrive at the store after the first of the next, so that it is held
// back. The time of day of a target's host may also have been set back, and its new run seem to
// be the earlier one: then nothing replaces its word, and after lateFor it is believed.
type lateWord struct {
	Target
	until time.Time
}

// beginsAfter reports whether a word tells of a later run than another one did.
func (t Target) beginsAfter(old Target) bool {
	return !t.Removed && t.Incarnation.Replaces(old.Incarnation) && t.Incarnation > old.Incarnation
}

// ended reports whether a word tells of a run that had ended when the known one began.
func (k *known) ended(t Target) bool {
	return !t.Removed && t.Incarnation.Replaces(k.Incarnation) && t.Incarnation < k.Incarnation
}

// beforeCopy reports whether the record came back from an older copy between what is known of a
// target and a word of it.
func (k *known) beforeCopy(t Target) bool { return t.Revision.Era() > k.Revision.Era() }

// out reports whether a target was removed and is not used any more. A copy that shows it is older
// than its removal, unless it has come back since: that one stays listed.
func (k *known) out(now time.Time) bool { return k.Removed && !now.Before(k.goneAt) }

// keepLate notes a word of an earlier run, and reports whether it is news.
func (s *State) keepLate(now time.Time, k *known, t Target) bool {
	if t.Revision <= k.Revision || k.lateWord != nil && t.Revision <= k.lateWord.Revision {
		return false
	}
	until := now.Add(lateFor)
	if k.lateWord != nil && k.lateWord.Incarnation == t.Incarnation {
		until = k.lateWord.until
	}
	k.lateWord = &lateWord{Target: t, until: until}
	s.late[k.ID] = k
	return true
}

// acceptLate believes words of earlier runs that nothing replaced for lateFor.
func (s *State) acceptLate(now time.Time) {
	for _, k := range s.late {
		if !now.Before(k.lateWord.until) {
			s.put(now, k, k.lateWord.Target)
		}
	}
}

// learnRun notes which run an older word told of, if the newer one did not tell, and
// reports whether that is news. Hosts hear both in any order.
func (s *State) learnRun(k *known, t Target) bool {
	if k.Incarnation != 0 || t.Incarnation == 0 {
		return false
	}
	before := k.mark()
	k.Incarnation = t.Incarnation
	s.buckets[bucketOf(t.ID)] ^= before ^ k.mark()
	if v := s.services[k.Service]; v != nil {
		k.changed, v.changed = true, true
	}
	return true
}
