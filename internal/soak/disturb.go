package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cactusproxy/cactusproxy/platform/standin"
)

// disturbance is a fault that is injected into the deployment, or a planned change. Its do
// returns a description for the report.
type disturbance struct {
	name string
	do   func(s *Soak, ctx context.Context, rng *rand.Rand) string
}

// disturbances are chosen at random and may overlap. The order of the list determines what
// a seed does.
var disturbances = []disturbance{
	{"pause", (*Soak).pause},
	{"kill", (*Soak).kill},
	{"stop", (*Soak).stop},
	{"stop", (*Soak).stop},
	{"reload", (*Soak).reload},
	{"store wire silent", (*Soak).blackholeStore},
	{"store wire reset", (*Soak).resetStore},
	{"peer wire silent", (*Soak).blackholePeer},
	{"peer wire slow", (*Soak).delayPeer},
	{"target wire reset", (*Soak).resetTarget},
	{"target wire silent", (*Soak).blackholeTarget},
	{"store out", (*Soak).storeOutage},
	{"store loses answers", (*Soak).storeLosesReplies},
	{"store slow", (*Soak).storeSlow},
	{"history dropped", (*Soak).dropHistory},
	{"target replaced", (*Soak).replaceTarget},
	{"target crashes", (*Soak).crashTarget},
	{"configuration", (*Soak).changeConfig},
	{"configurations", (*Soak).burstConfig},
	{"target starts again", (*Soak).restartTarget},
	{"entry of another writer", (*Soak).writeForeignEntry},
	{"zone evacuated", (*Soak).evacuate},
	{"limit named", (*Soak).nameLimit},
	{"rest asked for", (*Soak).requestRest},
	{"target leaves by its answers", (*Soak).leaveByResponses},
	{"targets out of reach", (*Soak).cutPaths},
	{"targets out of reach", (*Soak).cutPaths},
	{"links throttled", (*Soak).throttleLinks},
	{"links throttled", (*Soak).throttleLinks},
	{"target turns cold", (*Soak).turnCold},
	{"zone turns cold", (*Soak).turnZoneCold},
	{"zone turns cold", (*Soak).turnZoneCold},
	{"zone turns cold", (*Soak).turnZoneCold},
	{"hosts killed in series", (*Soak).killInSeries},
	{"hosts killed in series", (*Soak).killInSeries},
	{"hosts killed in series", (*Soak).killInSeries},
}

// Seeds below firstSeedOfSecond use the first firstDisturbances entries of the list, seeds
// below firstSeedOfAll the first secondDisturbances, those below firstSeedOfCuts the first
// thirdDisturbances, those below firstSeedOfThrottles the first fourthDisturbances, those below
// firstSeedOfCold the first fifthDisturbances, and others all.
// New entries are appended, so that seeds that once found a bug keep their sequence of disturbances.
const (
	firstDisturbances  = 19
	firstSeedOfSecond  = 1000
	secondDisturbances = 22
	firstSeedOfAll     = 10_000
	thirdDisturbances  = 25
	firstSeedOfCuts    = 60_000

	fourthDisturbances   = 27
	firstSeedOfThrottles = 70_000
	fifthDisturbances    = 29
)

// disturbancesFor returns the disturbances that a seed chooses from.
func disturbancesFor(seed uint64) []disturbance {
	switch {
	case seed < firstSeedOfSecond:
		return disturbances[:firstDisturbances]
	case seed < firstSeedOfAll:
		return disturbances[:secondDisturbances]
	case seed < firstSeedOfCuts:
		return disturbances[:thirdDisturbances]
	case seed < firstSeedOfThrottles:
		return disturbances[:fourthDisturbances]
	case seed < firstSeedOfCold:
		return disturbances[:fifthDisturbances]
	case seed >= firstSeedOfStarved:
		return starvedDisturbances
	default: // those of cold targets do nothing where targets have no limit while cold
		return disturbances
	}
}

// disturb applies random disturbances, one after another, for the configured time.
func (s *Soak) disturb(ctx context.Context) {
	rng := s.disturbanceRand()
	list := disturbancesFor(s.seed)
	for end := time.Now().Add(s.For); time.Now().Before(end) && ctx.Err() == nil; {
		d := list[rng.IntN(len(list))]
		on := d.do(s, ctx, rng)
		s.mu.Lock()
		s.actions = append(s.actions, fmt.Sprintf("%8s  %s %s", time.Since(s.start).Round(time.Millisecond), d.name, on))
		s.mu.Unlock()
		sleep(ctx, time.Duration(100+rng.IntN(600))*time.Millisecond)
	}
}

func (s *Soak) anyProcess(rng *rand.Rand) *process { return s.processes[rng.IntN(len(s.processes))] }

// randomDuration returns the duration of a disturbance.
func randomDuration(rng *rand.Rand) time.Duration {
	return time.Duration(300+rng.IntN(2500)) * time.Millisecond
}

// recordDisturbance records a disturbance of a process other than a planned stop.
func (s *Soak) recordDisturbance(p *process) {
	p.markDisturbed()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbedAt[p] = append(s.disturbedAt[p], time.Now())
}

// disturbanceMargin is how long before a request a disturbance may still affect it.
const disturbanceMargin = 3 * time.Second

// otherwiseDisturbed reports whether a process was disturbed around a request by
// something other than a planned stop.
func (s *Soak) otherwiseDisturbed(p *process, r *request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.disturbedAt[p] {
		if at.After(r.at.Add(-disturbanceMargin)) && at.Before(r.end.Add(time.Second)) {
			return true
		}
	}
	return false
}

// recordStoreDisturbance records the start or end of a disturbance of the store.
func (s *Soak) recordStoreDisturbance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeDisturbedAt = append(s.storeDisturbedAt, time.Now())
}

// undisturbedBetween reports whether neither the store nor a host was disturbed in an
// interval, nor within recoveryMargin before it. A disturbance that lasts for the whole
// interval is found by its beginning, since none lasts longer than recoveryMargin.
func (s *Soak) undisturbedBetween(p *process, from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.storeDisturbedAt {
		if at.After(from.Add(-recoveryMargin)) && at.Before(to) {
			return false
		}
	}
	for _, at := range s.disturbedAt[p] {
		if at.After(from.Add(-recoveryMargin)) && at.Before(to) {
			return false
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.expected && p.disturbed.Before(from.Add(-disturbanceMargin))
}

// undisturbedDuring reports whether neither the store nor the host of a request was
// disturbed from disturbanceMargin before the request until its end. Every disturbance that
// overlaps this interval has its start or end recorded in it, since both are recorded and
// no disturbance lasts as long as disturbanceMargin.
func (s *Soak) undisturbedDuring(r *request) bool {
	from := r.at.Add(-disturbanceMargin)
	disturbed := func(at time.Time) bool { return at.After(from) && at.Before(r.end) }
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.ContainsFunc(s.storeDisturbedAt, disturbed) || slices.ContainsFunc(s.disturbedAt[r.process], disturbed) {
		return false
	}
	p := r.process
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.expected && p.disturbed.Before(from)
}

// recoveryMargin is longer than any disturbance together with the recovery from it.
const recoveryMargin = 3*time.Second + disturbanceMargin

func (s *Soak) pause(_ context.Context, rng *rand.Rand) string {
	p := s.anyProcess(rng)
	d := randomDuration(rng)
	s.recordDisturbance(p)
	p.signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() {
		p.signal(syscall.SIGCONT)
		s.recordDisturbance(p)
	})
	return p.name + " for " + d.String()
}

func (s *Soak) kill(ctx context.Context, rng *rand.Rand) string {
	p := s.anyProcess(rng)
	s.recordDisturbance(p)
	p.restart(ctx, syscall.SIGKILL)
	s.recordDisturbance(p)
	return p.name
}

func (s *Soak) stop(ctx context.Context, rng *rand.Rand) string {
	p := s.anyProcess(rng)
	s.restarts.Go(func() { p.restart(ctx, syscall.SIGTERM) })
	return p.name
}

func (s *Soak) reload(_ context.Context, rng *rand.Rand) string {
	p := s.anyProcess(rng)
	p.signal(syscall.SIGHUP)
	return p.name
}

// disturbProxies injects a fault into proxies of a process and heals them after a random
// duration.
func (s *Soak) disturbProxies(p *process, rng *rand.Rand, disturb func(), proxies ...*FaultProxy) string {
	d := randomDuration(rng)
	s.recordDisturbance(p)
	disturb()
	time.AfterFunc(d, func() {
		for _, proxy := range proxies {
			proxy.Heal()
		}
		s.recordDisturbance(p)
	})
	return p.name + " for " + d.String()
}

func (s *Soak) blackholeStore(_ context.Context, rng *rand.Rand) string {
	p := s.anyProcess(rng)
	return s.disturbProxies(p, rng, p.storeProxy.Blackhole, p.storeProxy)
}

func (s *Soak) blackholePeer(_ context.Context, rng *rand.Rand) string {
	p := s.anyProcess(rng)
	return s.disturbProxies(p, rng, p.peerProxy.Blackhole, p.peerProxy)
}

func (s *Soak) delayPeer(_ context.Context, rng *rand.Rand) string {
	p := s.anyProcess(rng)
	return s.disturbProxies(p, rng, func() { p.peerProxy.Delay(50 * time.Millisecond) }, p.peerProxy)
}

// throttledLink is the rate of a throttled link in bytes per second: the heartbeats of two watchers
// fit, but a configuration takes seconds.
const throttledLink = 4 << 10

// throttleLinks throttles what other hosts and the store send some hosts, and what these reply.
func (s *Soak) throttleLinks(_ context.Context, rng *rand.Rand) string {
	hosts := slices.Clone(s.processes)
	rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	var done []string
	for _, p := range hosts[:1+rng.IntN(len(hosts)-1)] {
		throttle := func() {
			p.storeProxy.Throttle(throttledLink)
			p.peerProxy.Throttle(throttledLink)
		}
		done = append(done, s.disturbProxies(p, rng, throttle, p.storeProxy, p.peerProxy))
	}
	return strings.Join(done, ", ")
}

func (s *Soak) resetStore(_ context.Context, rng *rand.Rand) string {
	p := s.anyProcess(rng)
	p.storeProxy.Reset()
	return p.name
}

func (s *Soak) anyTarget(rng *rand.Rand) *testTarget {
	live := s.targets.live()
	return live[rng.IntN(len(live))]
}

func (s *Soak) resetTarget(_ context.Context, rng *rand.Rand) string {
	b := s.anyTarget(rng)
	b.signals.markLost()
	b.proxy.Reset()
	return b.ID
}

func (s *Soak) blackholeTarget(_ context.Context, rng *rand.Rand) string {
	b := s.anyTarget(rng)
	b.signals.markLost()
	b.proxy.Blackhole()
	time.AfterFunc(randomDuration(rng), b.proxy.Heal)
	return b.ID
}

// storeFault injects a fault into the store for a random duration.
func (s *Soak) storeFault(rng *rand.Rand, f standin.Fault) string {
	d := randomDuration(rng)
	s.recordStoreDisturbance()
	s.store.Set(f)
	time.AfterFunc(d, func() {
		s.store.Set(standin.Fault{})
		s.recordStoreDisturbance()
	})
	return "for " + d.String()
}

func (s *Soak) storeOutage(_ context.Context, rng *rand.Rand) string {
	return s.storeFault(rng, standin.Fault{Refuse: rng.IntN(2) == 0, Silent: true})
}

func (s *Soak) storeLosesReplies(_ context.Context, rng *rand.Rand) string {
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
	return b.ID + errorSuffix(s.targets.replace(b))
}

func (s *Soak) crashTarget(_ context.Context, rng *rand.Rand) string {
	b := s.anyTarget(rng)
	return b.ID + errorSuffix(s.targets.crash(b))
}

func (s *Soak) restartTarget(_ context.Context, rng *rand.Rand) string {
	b := s.anyTarget(rng)
	return b.ID + errorSuffix(s.targets.restart(b))
}

func (s *Soak) writeForeignEntry(_ context.Context, rng *rand.Rand) string {
	b := s.anyTarget(rng)
	foreign := standin.InvalidEntries()
	text := foreign[rng.IntN(len(foreign))]
	s.targets.writeForeignEntry(b, text, rng.IntN(2) == 0)
	return b.ID + " " + text
}

func errorSuffix(err error) string {
	if err == nil {
		return ""
	}
	return ": " + err.Error()
}

func (s *Soak) changeConfig(context.Context, *rand.Rand) string {
	s.configure()
	return fmt.Sprint(s.version)
}

func (s *Soak) burstConfig(ctx context.Context, _ *rand.Rand) string {
	for range 10 {
		s.configure()
		sleep(ctx, 30*time.Millisecond)
	}
	return fmt.Sprint(s.version)
}

// healAll ends all faults of the store, processes and proxies.
func (s *Soak) healAll() {
	s.store.Set(standin.Fault{})
	s.recordStoreDisturbance()
	for _, p := range s.processes {
		p.signal(syscall.SIGCONT)
		p.storeProxy.Heal()
		p.peerProxy.Heal()
		s.recordDisturbance(p)
	}
	for _, b := range s.targets.live() {
		b.proxy.Heal()
	}
}
