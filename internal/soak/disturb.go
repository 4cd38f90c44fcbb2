package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/cactusproxy/cactusproxy/platform/standin"
)

// disturbance is something done to the deployment.
type disturbance struct {
	name string
	do   func(s *Soak, ctx context.Context, rng *rand.Rand) string
}

// disturbances are done in any order; several may overlap.
var disturbances = []disturbance{
	{"pause", (*Soak).pause},
	{"kill", (*Soak).kill},
	{"stop", (*Soak).stop},
	{"stop", (*Soak).stop},
	{"reload", (*Soak).reload},
	{"store wire silent", (*Soak).silenceStore},
	{"store wire reset", (*Soak).resetStore},
	{"peer wire silent", (*Soak).silencePeer},
	{"peer wire slow", (*Soak).delayPeer},
	{"target wire reset", (*Soak).resetTarget},
	{"target wire silent", (*Soak).silenceTarget},
	{"store out", (*Soak).storeOut},
	{"store loses answers", (*Soak).storeLoses},
	{"store slow", (*Soak).storeSlow},
	{"history dropped", (*Soak).dropHistory},
	{"target replaced", (*Soak).replaceTarget},
	{"target crashes", (*Soak).crashTarget},
	{"configuration", (*Soak).changeConfig},
	{"configurations", (*Soak).stormConfig},
	{"target starts again", (*Soak).startTargetAgain},
	{"entry of another writer", (*Soak).scribble},
	{"zone evacuated", (*Soak).evacuate},
	{"limit named", (*Soak).nameLimit},
	{"rest asked for", (*Soak).askForRest},
	{"target leaves by its answers", (*Soak).leaveByAnswers},
}

// firstDisturbances is how many of them seeds below firstSeedOfMore play, moreDisturbances those
// below firstSeedOfAll: a seed must go on playing what it played when it was found.
const (
	firstDisturbances = 19
	firstSeedOfMore   = 1000
	moreDisturbances  = 22
	firstSeedOfAll    = 10_000
)

// played returns the disturbances that a seed plays.
func played(seed uint64) []disturbance {
	switch {
	case seed < firstSeedOfMore:
		return disturbances[:firstDisturbances]
	case seed < firstSeedOfAll:
		return disturbances[:moreDisturbances]
	default:
		return disturbances
	}
}

// disturb does one thing after another for as long as the run lasts.
func (s *Soak) disturb(ctx context.Context) {
	rng := s.rngFor()
	list := played(s.seed)
	for end := time.Now().Add(s.For); time.Now().Before(end) && ctx.Err() == nil; {
		d := list[rng.IntN(len(list))]
		on := d.do(s, ctx, rng)
		s.mu.Lock()
		s.actions = append(s.actions, fmt.Sprintf("%8s  %s %s", time.Since(s.start).Round(time.Millisecond), d.name, on))
		s.mu.Unlock()
		sleep(ctx, time.Duration(100+rng.IntN(600))*time.Millisecond)
	}
}

func (s *Soak) any(rng *rand.Rand) *process { return s.processes[rng.IntN(len(s.processes))] }

// span is how long a disturbance lasts.
func span(rng *rand.Rand) time.Duration { return time.Duration(300+rng.IntN(2500)) * time.Millisecond }

// mark notes a disturbance of a process other than a planned stop.
func (s *Soak) mark(p *process) {
	p.disturb()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.marks[p] = append(s.marks[p], time.Now())
}

// markTolerance is how long before a request a disturbance still counts.
const markTolerance = 3 * time.Second

// otherwiseDisturbed reports whether a process was disturbed around a request by
// something other than a planned stop.
func (s *Soak) otherwiseDisturbed(p *process, r *sent) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.marks[p] {
		if at.After(r.at.Add(-markTolerance)) && at.Before(r.end.Add(time.Second)) {
			return true
		}
	}
	return false
}

// markStore notes that a disturbance of the store begins or ends.
func (s *Soak) markStore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeMarks = append(s.storeMarks, time.Now())
}

// calm reports whether neither the store nor a host was disturbed in a span, or so
// shortly before it that they may not have recovered. A store that is out for the
// whole span was marked before it: no disturbance lasts longer than storeMemory.
func (s *Soak) calm(p *process, from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.storeMarks {
		if at.After(from.Add(-storeMemory)) && at.Before(to) {
			return false
		}
	}
	for _, at := range s.marks[p] {
		if at.After(from.Add(-storeMemory)) && at.Before(to) {
			return false
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.expected && p.disturbed.Before(from.Add(-markTolerance))
}

// inTouch reports whether neither the store nor a request's host was disturbed from
// markTolerance before the request to its end. What goes on for longer than that has a
// mark within it: no disturbance lasts markTolerance, and both its ends are marked.
func (s *Soak) inTouch(r *sent) bool {
	from := r.at.Add(-markTolerance)
	disturbed := func(at time.Time) bool { return at.After(from) && at.Before(r.end) }
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.ContainsFunc(s.storeMarks, disturbed) || slices.ContainsFunc(s.marks[r.process], disturbed) {
		return false
	}
	p := r.process
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.expected && p.disturbed.Before(from)
}

// storeMemory is longer than any disturbance and the recovery from it.
const storeMemory = 3*time.Second + markTolerance

func (s *Soak) pause(_ context.Context, rng *rand.Rand) string {
	p := s.any(rng)
	d := span(rng)
	s.mark(p)
	p.signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() {
		p.signal(syscall.SIGCONT)
		s.mark(p)
	})
	return p.name + " for " + d.String()
}

func (s *Soak) kill(ctx context.Context, rng *rand.Rand) string {
	p := s.any(rng)
	s.mark(p)
	p.restart(ctx, syscall.SIGKILL)
	s.mark(p)
	return p.name
}

func (s *Soak) stop(ctx context.Context, rng *rand.Rand) string {
	p := s.any(rng)
	s.restarts.Go(func() { p.restart(ctx, syscall.SIGTERM) })
	return p.name
}

func (s *Soak) reload(_ context.Context, rng *rand.Rand) string {
	p := s.any(rng)
	p.signal(syscall.SIGHUP)
	return p.name
}

// forAWhile disturbs a wire of a process and heals it later.
func (s *Soak) forAWhile(p *process, w *Wire, rng *rand.Rand, disturb func()) string {
	d := span(rng)
	s.mark(p)
	disturb()
	time.AfterFunc(d, func() {
		w.Heal()
		s.mark(p)
	})
	return p.name + " for " + d.String()
}

func (s *Soak) silenceStore(_ context.Context, rng *rand.Rand) string {
	p := s.any(rng)
	return s.forAWhile(p, p.store, rng, p.store.Silence)
}

func (s *Soak) silencePeer(_ context.Context, rng *rand.Rand) string {
	p := s.any(rng)
	return s.forAWhile(p, p.peer, rng, p.peer.Silence)
}

func (s *Soak) delayPeer(_ context.Context, rng *rand.Rand) string {
	p := s.any(rng)
	return s.forAWhile(p, p.peer, rng, func() { p.peer.Delay(50 * time.Millisecond) })
}

func (s *Soak) resetStore(_ context.Context, rng *rand.Rand) string {
	p := s.any(rng)
	p.store.Reset()
	return p.name
}

func (s *Soak) anyTarget(rng *rand.Rand) *backend {
	live := s.targets.live()
	return live[rng.IntN(len(live))]
}

func (s *Soak) resetTarget(_ context.Context, rng *rand.Rand) string {
	b := s.anyTarget(rng)
	b.needs.unheard()
	b.wire.Reset()
	return b.ID
}

func (s *Soak) silenceTarget(_ context.Context, rng *rand.Rand) string {
	b := s.anyTarget(rng)
	b.needs.unheard()
	b.wire.Silence()
	time.AfterFunc(span(rng), b.wire.Heal)
	return b.ID
}

// storeFault has the store treat all callers badly for a while.
func (s *Soak) storeFault(rng *rand.Rand, f standin.Fault) string {
	d := span(rng)
	s.markStore()
	s.store.Set(f)
	time.AfterFunc(d, func() {
		s.store.Set(standin.Fault{})
		s.markStore()
	})
	return "for " + d.String()
}

func (s *Soak) storeOut(_ context.Context, rng *rand.Rand) string {
	return s.storeFault(rng, standin.Fault{Refuse: rng.IntN(2) == 0, Silent: true})
}

func (s *Soak) storeLoses(_ context.Context, rng *rand.Rand) string {
	return s.storeFault(rng, standin.Fault{LoseAnswers: true})
}

func (s *Soak) storeSlow(_ context.Context, rng *rand.Rand) string {
	return s.storeFault(rng, standin.Fault{Delay: 400 * time.Millisecond})
}

func (s *Soak) dropHistory(context.Context, *rand.Rand) string {
	s.store.DropHistory()
	return ""
}

func (s *Soak) replaceTarget(_ context.Context, rng *rand.Rand) string {
	b := s.anyTarget(rng)
	return b.ID + failure(s.targets.replace(b))
}

func (s *Soak) crashTarget(_ context.Context, rng *rand.Rand) string {
	b := s.anyTarget(rng)
	return b.ID + failure(s.targets.crash(b))
}

func (s *Soak) startTargetAgain(_ context.Context, rng *rand.Rand) string {
	b := s.anyTarget(rng)
	return b.ID + failure(s.targets.startAgain(b))
}

func (s *Soak) scribble(_ context.Context, rng *rand.Rand) string {
	b := s.anyTarget(rng)
	foreign := standin.InvalidEntries()
	text := foreign[rng.IntN(len(foreign))]
	s.targets.scribble(b, text, rng.IntN(2) == 0)
	return b.ID + " " + text
}

func failure(err error) string {
	if err == nil {
		return ""
	}
	return ": " + err.Error()
}

func (s *Soak) changeConfig(context.Context, *rand.Rand) string {
	s.configure()
	return fmt.Sprint(s.version)
}

func (s *Soak) stormConfig(ctx context.Context, _ *rand.Rand) string {
	for range 10 {
		s.configure()
		sleep(ctx, 30*time.Millisecond)
	}
	return fmt.Sprint(s.version)
}

// healAll ends all disturbances and starts what is down.
func (s *Soak) healAll() {
	s.store.Set(standin.Fault{})
	s.markStore()
	for _, p := range s.processes {
		p.signal(syscall.SIGCONT)
		p.store.Heal()
		p.peer.Heal()
		s.mark(p)
	}
	for _, b := range s.targets.live() {
		b.wire.Heal()
	}
}
