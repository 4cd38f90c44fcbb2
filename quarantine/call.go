package quarantine

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/suspicion"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Decision tells what to do with an attempt.
type Decision struct {
	// Refuse the attempt: the request is quarantined, or its trial was waited
	// for until ctx ended (see Waited).
	Refuse bool
	// Alone asks for a target that runs nothing else for this attempt.
	Alone bool
	// Waited tells that a refusal is for the wait alone; the request is not
	// known to be guilty.
	Waited bool
	// RetryAfter goes with a refusal.
	RetryAfter time.Duration
}

// Attempt is one admitted attempt. Its methods may be called on nil, which
// stands for an attempt that is not watched.
type Attempt struct {
	q      *Quarantine
	digest uint64
	target ports.RunID
	trial  *trial
	once   sync.Once
}

// trial is the permission that an attempt at a suspect holds.
type trial struct {
	holder string
	// keepers are the hosts that may hold the permission as given.
	keepers []ports.HostID
}

// Admit decides on one attempt, first ones, retries and hedges alike. It returns
// at once unless the request is suspected; then it waits for the permission to
// try it, or for the verdict, until ctx ends. An attempt that is not refused must be ended: by
// Completed, BrokeOff or Close. Digest 0 is admitted unwatched.
func (q *Quarantine) Admit(ctx context.Context, digest uint64) (*Attempt, Decision) {
	if digest == 0 {
		return nil, Decision{}
	}
	if q.entries.Load() == 0 {
		return &Attempt{q: q, digest: digest}, Decision{}
	}
	return q.admitSlowly(ctx, digest)
}

func (q *Quarantine) admitSlowly(ctx context.Context, digest uint64) (*Attempt, Decision) {
	pause := firstPause
	for {
		answer, t, changed := q.decide(ctx, digest)
		switch answer {
		case suspicion.Unrestricted:
			return &Attempt{q: q, digest: digest}, Decision{}
		case suspicion.Refused:
			return nil, q.refuse(Decision{})
		case suspicion.Exclusive:
			q.count.Add(countTrials, 1)
			return &Attempt{q: q, digest: digest, trial: t}, Decision{Alone: true}
		}
		q.count.Add(countTrialWaits, 1)
		if !await(ctx, changed, pause) {
			q.count.Add(countGaveUp, 1)
			return nil, q.refuse(Decision{Waited: true})
		}
		pause = min(2*pause, maxPause)
	}
}

// decide says what to do with an attempt now. Changed tells of the next
// decision about any request.
func (q *Quarantine) decide(ctx context.Context, digest uint64) (a suspicion.Admission, t *trial, changed <-chan struct{}) {
	var state suspicion.State
	var settled bool
	q.locked(func(now time.Time) {
		state = q.tracker.RecordSent(now, digest)
		settled = q.tracker.Settled(now, digest)
		changed = q.changed
	})
	switch {
	case state == suspicion.Clean:
		return suspicion.Unrestricted, nil, changed
	case settled:
		return suspicion.Refused, nil, changed
	case state == suspicion.Quarantined:
		return suspicion.Busy, nil, changed
	}
	a, t = q.ask(ctx, digest)
	return a, t, changed
}

// Pauses between questions to the keeper while another trial runs.
const (
	firstPause = 2 * time.Millisecond
	maxPause   = 50 * time.Millisecond
)

func (q *Quarantine) refuse(d Decision) Decision {
	q.count.Add(countRefused, 1)
	d.Refuse = true
	d.RetryAfter = DefaultRetryAfter
	return d
}

// await waits for a decision, the pause or the end of ctx, which it reports as
// false.
func await(ctx context.Context, changed <-chan struct{}, pause time.Duration) bool {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-changed:
		return true
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Started tells that the first byte is about to go to this target.
func (a *Attempt) Started(target ports.RunID) {
	if a == nil {
		return
	}
	a.target = target
}

// Completed tells that the target's whole answer came, of whatever status.
func (a *Attempt) Completed() {
	if a == nil {
		return
	}
	a.once.Do(func() {
		a.q.reach.up(a.target)
		a.q.completed(a.digest)
		a.endTrial()
	})
}

// BrokeOff tells that the connection ended before the whole answer came, by no
// doing of ours. The caller is to be told only after it returns: by then the
// other hosts are being told, and the caller may send to any of them.
func (a *Attempt) BrokeOff() {
	if a == nil {
		return
	}
	a.once.Do(func() {
		loss := suspicion.Loss{Target: a.target, Trial: a.trial != nil}
		a.q.brokeOff(suspicion.BrokenRun{Digest: a.digest, Loss: loss})
		a.endTrial()
	})
}

// Close ends an attempt that showed nothing: not sent, shed, canceled, timed
// out. After Completed or BrokeOff it does nothing.
func (a *Attempt) Close() {
	if a == nil {
		return
	}
	a.once.Do(a.endTrial)
}

// endTrial gives back the permission, with what the trial has shown.
func (a *Attempt) endTrial() {
	if a.trial == nil {
		return
	}
	msg := endTrialMsg{Digest: a.digest, Holder: a.trial.holder}
	a.q.locked(func(now time.Time) {
		a.q.tracker.EndTrial(a.digest, ports.HostID(a.trial.holder))
		if r, ok := a.q.tracker.Record(now, a.digest); ok {
			msg.Record = append(msg.Record, r)
		}
		a.q.wake()
	})
	for _, id := range a.trial.keepers {
		if id != a.q.link.Self() && !peer.Notify(a.q.link, id, kindEndTrial, msg) {
			a.q.count.Add(countDropped, 1)
		}
	}
}

// newTrial names a trial so that it can not be taken for another one.
func (q *Quarantine) newTrial() *trial {
	n := strconv.FormatUint(q.trials.Add(1), 10)
	return &trial{holder: string(q.link.Self()) + "/" + n}
}
