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

// Decision is the result of Admit.
type Decision struct {
	// Refuse is set if the attempt must not be sent: the request is quarantined, or
	// ctx ended while it waited for a trial (see Waited).
	Refuse bool
	// Exclusive is set for a trial: the attempt must have a target to itself.
	Exclusive bool
	// Waited is set if the attempt is refused only because ctx ended while it waited
	// for a trial; the request is not quarantined.
	Waited bool
	// RetryAfter is the delay to suggest to the caller of a refused attempt.
	RetryAfter time.Duration
	// Digest is the digest of the request, or of its group, for which the attempt is refused.
	Digest uint64
}

// Attempt is one admitted attempt. All methods accept a nil receiver, which stands
// for an attempt that is not tracked.
type Attempt struct {
	q  *Quarantine
	id suspicion.ID
	// answer is what a complete response shows about the target. Its Sent is zero if nothing was
	// suspected when the attempt was sent.
	answer suspicion.Answer
	trial  *trial
	// content is what is sent of a body that isn't held in memory; nil for other requests.
	content *Content
	once    sync.Once
}

// trial is the permission to run one attempt of a suspect.
type trial struct {
	// digest is the digest of the request or of its group.
	digest uint64
	holder string
	// arbiters are the hosts that may have granted the permission, including those
	// whose reply was lost.
	arbiters []ports.HostID
}

// Admit decides whether an attempt may be sent; it must be called for first attempts,
// retries and hedges alike. It returns at once unless the request is a suspect: then
// it waits for permission to run a trial, or for the outcome of another trial, until
// ctx ends. An attempt that is not refused must be ended by Completed, BrokeOff or
// Close. A request with a digest of 0 is admitted without tracking.
func (q *Quarantine) Admit(ctx context.Context, id suspicion.ID) (*Attempt, Decision) {
	if id.Request == 0 {
		return nil, Decision{}
	}
	if q.catchingUp.Load() && !q.awaitCatchUp(ctx) {
		return nil, q.refuse(Decision{Waited: true, Digest: id.Request})
	}
	if q.entries.Load() == 0 {
		return &Attempt{q: q, id: id}, Decision{}
	}
	return q.admitSuspect(ctx, id)
}

func (q *Quarantine) admitSuspect(ctx context.Context, id suspicion.ID) (*Attempt, Decision) {
	delay := minPollDelay
	for {
		digest, answer, t, changed := q.decide(ctx, id)
		switch answer {
		case suspicion.Unrestricted:
			return &Attempt{q: q, id: id}, Decision{}
		case suspicion.Refused:
			return nil, q.refuse(Decision{Digest: digest})
		case suspicion.Exclusive:
			q.count.Add(countTrials, 1)
			return &Attempt{q: q, id: id, trial: t}, Decision{Exclusive: true}
		}
		q.count.Add(countTrialWaits, 1)
		if !waitForChange(ctx, changed, delay) {
			q.count.Add(countWaitTimeouts, 1)
			return nil, q.refuse(Decision{Waited: true, Digest: digest})
		}
		delay = min(2*delay, maxPollDelay)
	}
}

// decide evaluates an attempt once, without waiting for another trial, by the state of the request or of
// its group, whose digest it returns. The channel changed is closed at the next change to any request.
func (q *Quarantine) decide(ctx context.Context, id suspicion.ID) (digest uint64, a suspicion.Admission, t *trial, changed <-chan struct{}) {
	var state suspicion.State
	var settled bool
	q.locked(func(now time.Time) {
		digest = q.tracker.Subject(now, id, q.completedCache.has(id.Request))
		state = q.tracker.RecordSent(now, digest)
		settled = q.tracker.Settled(now, digest)
		changed = q.changed
	})
	switch {
	case state == suspicion.Clean:
		return digest, suspicion.Unrestricted, nil, changed
	case settled:
		return digest, suspicion.Refused, nil, changed
	case state == suspicion.Quarantined:
		return digest, suspicion.Busy, nil, changed
	}
	a, t = q.acquireTrial(ctx, digest)
	return digest, a, t, changed
}

// Bounds of the backoff between requests to the arbiter while another trial runs.
const (
	minPollDelay = 2 * time.Millisecond
	maxPollDelay = 50 * time.Millisecond
)

func (q *Quarantine) refuse(d Decision) Decision {
	q.count.Add(countRefused, 1)
	d.Refuse = true
	d.RetryAfter = DefaultRetryAfter
	return d
}

// waitForChange waits until changed is closed or the delay has passed, and returns true.
// It returns false if ctx ends first.
func waitForChange(ctx context.Context, changed <-chan struct{}, delay time.Duration) bool {
	t := time.NewTimer(delay)
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

// Started must be called before the first byte is sent to the target.
func (a *Attempt) Started(target ports.RunID) {
	if a == nil {
		return
	}
	a.answer.Target = target
	if a.q.active.Load() {
		a.answer.Sent = time.Now()
	}
}

// Streams must be called before the first byte is sent of a body that isn't held in memory.
func (a *Attempt) Streams(c *Content) {
	if a != nil {
		a.content = c
	}
}

// Answered records when the connection was opened on which the target answers, and whether the
// target reports that it is warming up. It must be called before Completed.
func (a *Attempt) Answered(opened time.Time, cold bool) {
	if a == nil {
		return
	}
	a.answer.Opened, a.answer.Cold = opened, cold
}

// Completed reports that the target's complete response arrived, whatever its status.
func (a *Attempt) Completed() {
	if a == nil {
		return
	}
	a.once.Do(func() {
		a.q.reachability.markUp(a.answer.Target)
		a.q.recordCompletion(a.id, a.content)
		a.q.TargetAnswered(a.answer)
		a.endTrial()
	})
}

// BrokeOff reports that the connection was lost before the complete response arrived,
// and that this side did not close it. The failure must be returned to the caller only
// after BrokeOff returns: by then the notifications are on their way to the other
// hosts, any of which may receive the caller's retry.
func (a *Attempt) BrokeOff() {
	if a == nil {
		return
	}
	a.once.Do(func() {
		loss := suspicion.Loss{Target: a.answer.Target, Trial: a.trial != nil, Sent: a.content.sent()}
		a.q.recordLoss(suspicion.BrokenRun{Digest: a.id.Request, Group: a.id.Group, Loss: loss, Uncertain: a.content != nil})
		a.endTrial()
	})
}

// Close ends an attempt that gave no evidence either way: it was not sent, was shed,
// canceled or timed out. After Completed or BrokeOff it does nothing.
func (a *Attempt) Close() {
	if a == nil {
		return
	}
	a.once.Do(a.endTrial)
}

// endTrial returns the permission, together with the record as of the end of the trial.
func (a *Attempt) endTrial() {
	if a.trial == nil {
		return
	}
	msg := endTrialMsg{Digest: a.trial.digest, Holder: a.trial.holder}
	a.q.locked(func(now time.Time) {
		a.q.tracker.EndTrial(a.trial.digest, ports.HostID(a.trial.holder))
		if r, ok := a.q.tracker.Record(now, a.trial.digest); ok {
			msg.Record = append(msg.Record, r)
		}
		a.q.notifyWaiters()
	})
	for _, id := range a.trial.arbiters {
		if id != a.q.link.Self() && !peer.Notify(a.q.link, id, kindEndTrial, msg) {
			a.q.count.Add(countDropped, 1)
		}
	}
}

// newTrial returns a trial with a holder name that is unique across all hosts.
func (q *Quarantine) newTrial(digest uint64) *trial {
	n := strconv.FormatUint(q.trials.Add(1), 10)
	return &trial{digest: digest, holder: string(q.link.Self()) + "/" + n}
}
