// Package quarantine keeps a request that crashes each target which runs it from
// reaching more of them, although its caller sends it again to any host. The
// decisions are in policy/suspicion; here hosts tell each other what they saw,
// and agree on who may try a suspect.
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
	// syncEvery is how often hosts tell each other all that is new, in case
	// that a message was lost.
	syncEvery = time.Second
	// fewHosts is up to how many hosts each tells all others of its suspects. The
	// messages grow with the square of the hosts.
	fewHosts = 32
	// lossesIfFew and lossesIfMany are the targets that a request must have been lost
	// with. Where hosts are many suspects are known to few of them, and two losses are
	// met by requests that are innocent.
	lossesIfFew  = 2
	lossesIfMany = 3
	// repeatFor is how long something new is repeated.
	repeatFor = 2500 * time.Millisecond
	// syncRecords bounds the requests in one such message.
	syncRecords = 64
	// DefaultRetryAfter is told with a refusal.
	DefaultRetryAfter = 5 * time.Second
)

// Names of the counters in the metrics map "quarantine".
const (
	countSuspected   = "suspected"
	countQuarantined = "quarantined"
	countRefused     = "refused"
	countCleared     = "cleared"
	countTrials      = "trials"
	countTrialWaits  = "trial_waits"
	countGaveUp      = "trial_wait_gave_up"
	countNoKeeper    = "trials_without_keeper"
	countDropped     = "notifications_dropped"
)

// Deps is what a Quarantine works with.
type Deps struct {
	Link peer.Link
	// Members returns the entry hosts that hold roles, this one included or not.
	Members func() []ports.HostID
	Metrics *metrics.Set
	Log     *zap.Logger
	// Limits stands for suspicion.DefaultLimits if it is zero.
	Limits suspicion.Limits
}

// Quarantine is one host's part. It is safe for concurrent use.
type Quarantine struct {
	link    peer.Link
	members func() []ports.HostID
	count   *expvar.Map
	log     *zap.Logger

	answered answered
	reach    reach
	// entries is the number of requests in the tracker: while it is 0, calls take
	// no lock here.
	entries atomic.Int64
	trials  atomic.Uint64

	mu      sync.Mutex
	tracker *suspicion.Tracker
	// changed is closed, and replaced, when something is decided.
	changed chan struct{}
}

// New registers the message handlers with the link; Run has to be started too.
func New(d Deps) *Quarantine {
	if d.Limits == (suspicion.Limits{}) {
		d.Limits = suspicion.DefaultLimits()
	}
	q := &Quarantine{
		link:    d.Link,
		members: d.Members,
		count:   d.Metrics.Map("quarantine"),
		log:     d.Log,
		tracker: suspicion.NewTracker(d.Limits),
		changed: make(chan struct{}),
	}
	d.Metrics.Func("quarantine_entries", func() any { return q.entries.Load() })
	peer.Handle(d.Link, kindRecords, q.onRecords)
	peer.Handle(d.Link, kindCleared, q.onCleared)
	peer.Handle(d.Link, kindAsk, q.onAsk)
	peer.Handle(d.Link, kindEndTrial, q.onEndTrial)
	peer.Handle(d.Link, kindLost, q.onLost)
	return q
}

// Run forgets what has expired and repeats to the other hosts what is new, until
// ctx ends.
func (q *Quarantine) Run(ctx context.Context) error {
	tick := time.NewTicker(syncEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			if q.entries.Load() > 0 {
				q.sync()
			}
		}
	}
}

func (q *Quarantine) sync() {
	var records []suspicion.Record
	q.locked(func(now time.Time) { records = q.tracker.Newest(now, syncRecords) })
	for _, r := range records {
		if r.ChangedWithin(repeatFor) && q.repeats(r.Digest) {
			q.tell(r)
		}
	}
}

// repeats reports whether this host repeats what is new of a request. Where hosts are
// many its keepers alone do: were all hosts that have heard of a quarantine to tell
// all others again, one would cost as many messages as the square of the hosts.
func (q *Quarantine) repeats(d suspicion.Digest) bool {
	return len(q.members()) <= fewHosts || slices.Contains(q.keepers(d), q.link.Self())
}

// tell tells other hosts of a request: of a quarantined one all hosts, of a suspect
// all hosts too while they are few, which holds back sends of it that are made at
// the same moment. Where they are many, those that keep its trials are told. They
// add up what all hosts saw of it, and tell all hosts if that makes it quarantined.
//
// Where targets break off calls for a reason of their own there are hundreds of suspects, and telling
// all hosts of each would fill the links.
func (q *Quarantine) tell(r suspicion.Record) {
	notifyAll(q, q.audience(r.Digest, r.State), kindRecords, recordsMsg{Records: []suspicion.Record{r}})
}

// audience is whom to tell of a request in some state.
func (q *Quarantine) audience(d suspicion.Digest, s suspicion.State) []ports.HostID {
	all := q.members()
	if s == suspicion.Quarantined || len(all) <= fewHosts {
		return all
	}
	return q.keepers(d)
}

// locked runs f under the lock and then publishes what it changed.
func (q *Quarantine) locked(f func(now time.Time)) {
	need := lossesIfFew
	if len(q.members()) > fewHosts {
		need = lossesIfMany
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tracker.SetMinLosses(need)
	f(time.Now())
	q.entries.Store(int64(q.tracker.Len()))
}

// wake lets calls that wait for a trial look again. The caller holds the lock.
func (q *Quarantine) wake() {
	close(q.changed)
	q.changed = make(chan struct{})
}

// broadcast notifies the other hosts.
func broadcast[M any](q *Quarantine, kind peer.Kind, msg M) {
	notifyAll(q, q.members(), kind, msg)
}

// notifyAll notifies some hosts, this one excepted.
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

// brokeOff takes in a run of this host that broke off.
func (q *Quarantine) brokeOff(r suspicion.BrokenRun) {
	q.reach.down(r.Target)
	r.KnownGood = q.answered.has(r.Digest)
	var was, is suspicion.State
	var records []suspicion.Record
	q.locked(func(now time.Time) {
		r.At = now
		was = q.tracker.State(now, r.Digest)
		is = q.tracker.RecordBrokenRun(now, r)
		if rec, ok := q.tracker.Record(now, r.Digest); ok {
			records = append(records, rec)
		}
		q.wake()
	})
	for _, rec := range records {
		q.tell(rec)
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
	q.log.Warn(event, zap.String("digest", hex(d)), zap.String("target", string(target)))
}

func hex(d suspicion.Digest) string { return strconv.FormatUint(d, 16) }

// completed takes in a run of this host that was answered in full.
func (q *Quarantine) completed(d suspicion.Digest) {
	q.answered.add(d)
	if q.entries.Load() > 0 {
		q.clear(d)
	}
}

// clear takes in that a request is innocent, and tells the other hosts if it
// had been suspected.
func (q *Quarantine) clear(d suspicion.Digest) bool {
	known := false
	var was suspicion.State
	q.locked(func(now time.Time) {
		was = q.tracker.State(now, d)
		known = q.tracker.Clear(now, d)
		if known {
			q.wake()
		}
	})
	if known {
		q.count.Add(countCleared, 1)
		q.log.Info("request cleared", zap.String("digest", hex(d)))
		notifyAll(q, q.audience(d, was), kindCleared, clearedMsg{Digests: []suspicion.Digest{d}})
	}
	return known
}

// Forgive clears a request by an operator's word, on all hosts.
func (q *Quarantine) Forgive(digest uint64) bool { return q.clear(digest) }

// Entry is a request that is not clean, for operators.
type Entry struct {
	Digest string        `json:"digest"`
	State  string        `json:"state"`
	Age    time.Duration `json:"age"`
	Lost   []ports.RunID `json:"lost"`
}

// List returns up to n requests that are not clean, the latest sent first.
func (q *Quarantine) List(n int) []Entry {
	var records []suspicion.Record
	q.locked(func(now time.Time) { records = q.tracker.Newest(now, n) })
	out := make([]Entry, 0, len(records))
	for _, r := range records {
		e := Entry{Digest: hex(r.Digest), State: r.State.String(), Age: r.Age}
		for _, l := range r.Losses {
			e.Lost = append(e.Lost, l.Target)
		}
		out = append(out, e)
	}
	return out
}
