// Package quarantine stops poison requests: requests that crash every target that
// runs them and that the caller retries through any host.
//
// Each attempt goes through Quarantine.Admit. When a connection is lost while a
// target runs a request, the request becomes a suspect and the hosts exchange
// records of what they saw. A suspect may run only as a trial: one attempt at a
// time across all hosts, alone on its target, with permission from the host that
// arbitrates the trials of this request (chosen by rendezvous hashing). A complete
// response clears the request; further losses quarantine it, and every host then
// refuses it until the quarantine expires. The rules are in policy/suspicion; this
// package has the messages, the locking and the trial permissions.
package quarantine

import (
	"context"
	"expvar"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/suspicion"
	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// syncInterval is the interval at which recent records are sent again, because
	// notifications may be lost.
	syncInterval = time.Second
	// maxFullBroadcast is the largest cluster in which each host sends records of its
	// suspects to all others: the number of messages grows with the square of the
	// number of hosts.
	maxFullBroadcast = 32
	// lossesSmallCluster and lossesLargeCluster are the numbers of lost targets that
	// quarantine a request in clusters up to maxFullBroadcast and above it. In a large
	// cluster only a few hosts know of a suspect, and innocent requests do meet two losses.
	lossesSmallCluster = 2
	lossesLargeCluster = 3
	// repeatWindow is how long a record is repeated after its last change.
	repeatWindow = 2500 * time.Millisecond
	// maxSyncRecords bounds the number of records that are repeated in one round.
	maxSyncRecords = 64
	// DefaultRetryAfter is the retry delay returned with a refusal.
	DefaultRetryAfter = 5 * time.Second
)

// Names of the counters in the metrics map "quarantine".
const (
	countSuspected    = "suspected"
	countGroups       = "groups_suspected"
	countQuarantined  = "quarantined"
	countRefused      = "refused"
	countCleared      = "cleared"
	countTrials       = "trials"
	countTrialWaits   = "trial_waits"
	countWaitTimeouts = "trial_wait_gave_up"
	countNoArbiter    = "trials_without_keeper"
	countDropped      = "notifications_dropped"
	countVerified     = "targets_verified"
	countAlive        = "targets_alive"
	countHeldFetched  = "held_fetched"
	countHeldFailed   = "held_fetch_failed"
)

// Deps holds the dependencies and settings of a Quarantine.
type Deps struct {
	Link peer.Link
	// Members returns the entry hosts that may hold roles. This host may be among
	// them or not.
	Members func() []ports.HostID
	// MembersKnown reports whether Members returns the hosts that were there when this one started; nil if
	// it always does.
	MembersKnown func() bool
	Metrics      *metrics.Set
	Log          *zap.Logger
	// Limits defaults to suspicion.DefaultLimits if it is zero.
	Limits suspicion.Limits
	// Verifies is set if the caller calls Verify after each attempt that broke off.
	Verifies bool
}

// Quarantine tracks suspected requests on one host and shares what it knows with
// the other hosts. It is safe for concurrent use.
type Quarantine struct {
	link    peer.Link
	members func() []ports.HostID
	// membersKnown is Deps.MembersKnown.
	membersKnown func() bool
	count        *expvar.Map
	log          *zap.Logger
	// verifies is Deps.Verifies.
	verifies bool

	completedCache completedCache
	reachability   reachability
	// entries is the number of requests in the tracker. While it is 0, Admit takes
	// no lock. While active is not set, complete responses take none either.
	entries atomic.Int64
	active  atomic.Bool
	// catchingUp is set until caughtUp is closed: until this host knows what others hold back, or has
	// given up to find out. Informed is set once it knows.
	catchingUp, informed atomic.Bool
	caughtUp             chan struct{}
	// trials numbers the trials of this host, see newTrial.
	trials atomic.Uint64

	mu      sync.Mutex
	tracker *suspicion.Tracker
	// changed is closed and replaced whenever the state of any request may have
	// changed, to wake the calls that wait for a trial.
	changed chan struct{}
	// proofGrace is suspicion.Limits.ProofGrace.
	proofGrace time.Duration
	// verifying holds the targets that are being verified, see Verify.
	verifying map[ports.RunID]bool
	// answered holds requests of tracked groups that this host answered and has not told others of yet.
	answered []suspicion.ID
}

// New returns a Quarantine and registers its message handlers on the link. The
// caller must also start Run.
func New(d Deps) *Quarantine {
	if d.Limits == (suspicion.Limits{}) {
		d.Limits = suspicion.DefaultLimits()
	}
	if d.MembersKnown == nil {
		d.MembersKnown = func() bool { return true }
	}
	q := &Quarantine{
		link:    d.Link,
		members: d.Members,

		membersKnown: d.MembersKnown,
		caughtUp:     make(chan struct{}),

		count: d.Metrics.Map("quarantine"),
		log:   d.Log,

		verifies: d.Verifies,

		tracker: suspicion.NewTracker(d.Limits),
		changed: make(chan struct{}),

		proofGrace: d.Limits.ProofGrace,
		verifying:  make(map[ports.RunID]bool),
	}
	d.Metrics.Func("quarantine_entries", func() any { return q.entries.Load() })
	peer.Handle(d.Link, kindRecords, q.onRecords)
	peer.Handle(d.Link, kindCleared, q.onCleared)
	peer.Handle(d.Link, kindAcquireTrial, q.onAcquireTrial)
	peer.Handle(d.Link, kindEndTrial, q.onEndTrial)
	peer.Handle(d.Link, kindTargetLost, q.onTargetLost)
	peer.Handle(d.Link, kindTargetsAlive, q.onTargetsAlive)
	peer.Handle(d.Link, kindAnswered, q.onAnswered)
	peer.Handle(d.Link, kindHeld, q.onHeld)
	return q
}

// Run fetches what the other hosts hold back; then it drops expired entries, repeats recent records to
// the other hosts and compares what they hold back, until ctx ends.
func (q *Quarantine) Run(ctx context.Context) error {
	begin := time.Now()
	q.catchingUp.Store(true)
	var g sync.WaitGroup
	defer g.Wait()
	g.Go(func() { q.catchUp(ctx) })
	tick := time.NewTicker(syncInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			if q.active.Load() {
				q.sync()
			}
			q.compare(ctx)
			if time.Since(begin) >= startOver {
				q.informed.Store(true)
			}
		}
	}
}

func (q *Quarantine) sync() {
	var records []suspicion.Record
	var answered []suspicion.ID
	q.locked(func(now time.Time) {
		records = q.tracker.Newest(now, maxSyncRecords)
		answered, q.answered = q.answered, nil
	})
	q.shareAnswered(answered)
	for _, r := range records {
		if r.ChangedWithin(repeatWindow) && q.shouldRepeat(r.Digest) {
			q.share(r)
		}
	}
}

// shouldRepeat reports whether this host repeats recent records of a request. In a large
// cluster only the arbiters of the request do: if every host that learned of a
// quarantine sent it to all others again, one quarantine would cost a number of
// messages quadratic in the number of hosts.
func (q *Quarantine) shouldRepeat(d suspicion.Digest) bool {
	return len(q.members()) <= maxFullBroadcast || slices.Contains(q.arbiters(d), q.link.Self())
}

// share sends the record of a request to other hosts. Records of quarantined requests
// go to all hosts. In a small cluster records of suspects do too, which holds back
// other attempts of the same request made at the same moment.
//
// In a large cluster records of suspects go to the arbiters of the request only. They
// combine what all hosts saw and notify everyone if that quarantines the request. When
// targets drop connections for reasons of their own, there are hundreds of suspects,
// and sending each of them to all hosts would saturate the links.
func (q *Quarantine) share(r suspicion.Record) {
	state := r.State
	if r.IsGroup {
		state = suspicion.Quarantined // any host may get the next one of its requests
	}
	to := q.recipients(r.Digest, state)
	if r.Group != 0 && len(to) < len(q.members()) {
		to = append(slices.Clone(to), q.arbiters(r.Group)...) // or no host would see what several requests have in common
	}
	notifyAll(q, to, kindRecords, recordsMsg{Records: []suspicion.Record{r}})
}

// recipients returns the hosts that receive records of a request in the given state.
func (q *Quarantine) recipients(d suspicion.Digest, s suspicion.State) []ports.HostID {
	all := q.members()
	if s == suspicion.Quarantined || len(all) <= maxFullBroadcast {
		return all
	}
	return q.arbiters(d)
}

// locked runs f with the tracker locked and then updates the entry count.
func (q *Quarantine) locked(f func(now time.Time)) {
	need := lossesSmallCluster
	if len(q.members()) > maxFullBroadcast {
		need = lossesLargeCluster
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tracker.SetMinLosses(need)
	f(time.Now())
	q.entries.Store(int64(q.tracker.Len()))
	q.active.Store(q.tracker.Active())
}

// notifyWaiters makes the calls that wait for a trial check again. The caller holds the lock.
func (q *Quarantine) notifyWaiters() {
	close(q.changed)
	q.changed = make(chan struct{})
}

// broadcast sends a notification to all other hosts.
func broadcast[M any](q *Quarantine, kind peer.Kind, msg M) {
	notifyAll(q, q.members(), kind, msg)
}

// notifyAll sends a notification to the given hosts except this one.
func notifyAll[M any](q *Quarantine, ids []ports.HostID, kind peer.Kind, msg M) {
	for _, id := range ids {
		if id == q.link.Self() {
			continue
		}
		if !peer.Notify(q.link, id, kind, msg) {
			q.count.Add(countDropped, 1)
		}
	}
}

// recordLoss records a run on this host whose connection was lost, and sends the
// updated record to other hosts.
func (q *Quarantine) recordLoss(r suspicion.BrokenRun) {
	q.reachability.markDown(time.Now(), r.Target)
	r.KnownGood = q.completedCache.has(r.Digest)
	r.Pending = q.verifies
	var was, is suspicion.State
	var grouped bool
	var records []suspicion.Record
	q.locked(func(now time.Time) {
		r.At = now
		was = q.tracker.State(now, r.Digest)
		grouped = q.tracker.State(now, r.Group) != suspicion.Clean
		is = q.tracker.RecordBrokenRun(now, r)
		records = q.tracker.Tracked(now, suspicion.ID{Request: r.Digest, Group: r.Group})
		q.notifyWaiters()
	})
	for _, rec := range records {
		q.share(rec)
		if rec.IsGroup && !grouped {
			q.reportGroup(rec)
		}
	}
	if was != is {
		q.report(r.Digest, is, r.Target)
	}
}

func (q *Quarantine) report(d suspicion.Digest, s suspicion.State, target ports.RunID) {
	event, counter := "request suspected of crashing a target", countSuspected
	if s == suspicion.Quarantined {
		event, counter = "request quarantined", countQuarantined
	}
	q.count.Add(counter, 1)
	q.log.Warn(event, zap.String("digest", FormatDigest(d)), zap.String("target", string(target)))
}

// FormatDigest returns a digest as it is in the log.
func FormatDigest(d suspicion.Digest) string { return strconv.FormatUint(d, 16) }

// recordCompletion records a run on this host that ended with a complete response.
func (q *Quarantine) recordCompletion(id suspicion.ID, c *Content) {
	q.completedCache.add(id.Request)
	if !q.active.Load() {
		return
	}
	q.markInnocent(id.Request, func(now time.Time) bool {
		q.recordGood(now, id)
		return q.tracker.ClearedBy(id.Request, c.parts())
	})
}

// markInnocent marks a request as innocent if shown confirms it, which is called with the lock held,
// and notifies the other hosts if it had been suspected or quarantined. It reports whether it had been.
func (q *Quarantine) markInnocent(d suspicion.Digest, shown func(now time.Time) bool) bool {
	known := false
	var was suspicion.State
	q.locked(func(now time.Time) {
		if !shown(now) {
			return
		}
		was = q.tracker.State(now, d)
		known = q.tracker.Clear(now, d)
		if known {
			q.notifyWaiters()
		}
	})
	if known {
		q.reportCleared(d, was)
	}
	return known
}

// reportCleared notifies the hosts that know of a suspect that it has been cleared.
func (q *Quarantine) reportCleared(d suspicion.Digest, was suspicion.State) {
	q.count.Add(countCleared, 1)
	q.log.Info("request cleared", zap.String("digest", FormatDigest(d)))
	notifyAll(q, q.recipients(d, was), kindCleared, clearedMsg{Digests: []suspicion.Digest{d}})
}

// Clear clears a request on all hosts at the request of an operator. It reports
// whether the request was suspected or quarantined on this host.
func (q *Quarantine) Clear(digest uint64) bool {
	return q.markInnocent(digest, func(time.Time) bool { return true })
}

// Entry describes a suspected or quarantined request for operators.
type Entry struct {
	Digest string `json:"digest"`
	// Group is set for a group of requests that are alike but for their credential.
	Group bool          `json:"group,omitempty"`
	State string        `json:"state"`
	Age   time.Duration `json:"age"`
	Lost  []ports.RunID `json:"lost"`
}

// List returns up to n suspected or quarantined requests, the most recently changed
// first.
func (q *Quarantine) List(n int) []Entry {
	var records []suspicion.Record
	q.locked(func(now time.Time) { records = q.tracker.Newest(now, n) })
	out := make([]Entry, 0, len(records))
	for _, r := range records {
		e := Entry{Digest: FormatDigest(r.Digest), Group: r.IsGroup, State: r.State.String(), Age: r.Age}
		for _, l := range r.Losses {
			e.Lost = append(e.Lost, l.Target)
		}
		out = append(out, e)
	}
	return out
}
