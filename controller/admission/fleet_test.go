package admission

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/internal/fakes/peernet"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/outcome"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/pick"
	"github.com/cactusproxy/cactusproxy/placer"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/routing"
	"github.com/cactusproxy/cactusproxy/targetapi"
	"github.com/cactusproxy/cactusproxy/upstream"
)

// The fleet has 30 hosts in three zones and 18 targets. Targets run 3 requests and queue 6; they
// are slower with all slots in use, and 5 times slower in slow periods of 150 ms, 3 in 10 of the
// time.
const (
	fleetHosts   = 30
	fleetTargets = 18
	fleetSlots   = 3
	fleetQueue   = 6
	fleetCrowded = 1.7
	fleetSlow    = 5
	slowPeriod   = 150 * time.Millisecond
	slowCycle    = 500 * time.Millisecond
	// fleetCapacity is about the number of requests a second that the targets run.
	fleetCapacity = fleetTargets * fleetSlots / (0.2 * fleetCrowded * 1.25)
	fleetDeadline = 3 * time.Second
	// loadTime is how long a load is played; its first warmUp isn't counted.
	loadTime = 9 * time.Second
	warmUp   = 4 * time.Second
)

var fleetKey = blackboard.ServiceKey{Workspace: routing.Workspace, Service: "s"}

// kinds are the kinds of requests.
var kinds = []struct{ work, objective time.Duration }{
	{140 * time.Millisecond, 600 * time.Millisecond},
	{200 * time.Millisecond, 1000 * time.Millisecond},
	{290 * time.Millisecond, 1500 * time.Millisecond},
}

// fleetTarget runs requests in virtual time and serves waiting ones in order.
type fleetTarget struct {
	slots chan struct{}
	phase time.Duration

	mu               sync.Mutex
	running, waiting int
}

func (t *fleetTarget) load() targetapi.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return targetapi.Load{Running: t.running, Waiting: t.waiting, Slots: fleetSlots, Slowdown: t.slowdown(time.Now())}
}

func (t *fleetTarget) slowdown(now time.Time) float64 {
	if (now.Sub(now.Truncate(time.Hour))+t.phase)%slowCycle < slowPeriod {
		return fleetSlow
	}
	return 1
}

// run runs a request and returns the load at its end. It returns false if the request can't be
// queued, or ctx ends first.
func (t *fleetTarget) run(ctx context.Context, work time.Duration) (l targetapi.Load, ok bool) {
	t.mu.Lock()
	if t.running+t.waiting >= fleetSlots+fleetQueue {
		t.mu.Unlock()
		<-ctx.Done()
		return l, false
	}
	t.waiting++
	t.mu.Unlock()
	select {
	case t.slots <- struct{}{}:
	case <-ctx.Done():
		t.add(0, -1)
		return l, false
	}
	t.add(1, -1)
	t.mu.Lock()
	if t.running == fleetSlots {
		work = time.Duration(float64(work) * fleetCrowded)
	}
	t.mu.Unlock()
	const step = 10 * time.Millisecond
	for work > 0 && ctx.Err() == nil {
		time.Sleep(step)
		work -= time.Duration(float64(step) / t.slowdown(time.Now()))
	}
	l = t.load()
	t.add(-1, 0)
	<-t.slots
	return l, ctx.Err() == nil
}

func (t *fleetTarget) add(running, waiting int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running += running
	t.waiting += waiting
}

// fleetUpstream answers probes with the targets' load.
type fleetUpstream struct {
	targets map[ports.HostID]*fleetTarget
	silent  bool
}

const loadHeader = "Load"

func (u *fleetUpstream) RoundTrip(_ *http.Request, t blackboard.Target, _ upstream.SendOptions) upstream.Result {
	time.Sleep(time.Millisecond)
	h := http.Header{}
	if l := u.targets[t.ID].load(); !u.silent {
		h.Set(loadHeader, fmt.Sprintf("%d,%d,%f", l.Running, l.Waiting, l.Slowdown))
	}
	return upstream.Result{Sent: true, Response: &http.Response{StatusCode: 200, Header: h, Body: io.NopCloser(strings.NewReader(""))}}
}

func readLoad(value string) (l targetapi.Load, ok bool) {
	l.Slots = fleetSlots
	_, err := fmt.Sscanf(value, "%d,%d,%f", &l.Running, &l.Waiting, &l.Slowdown)
	return l, err == nil
}

// stream is a source of requests.
type stream struct {
	rank   int
	tenant string
	kind   int
	rate   float64 // as a fraction of the capacity
	host   int     // gets all requests; any host if negative
	atOnce bool    // callers retry at once
}

// tally counts requests by final result.
type tally struct{ sent, inTime, late, atOnce, afterWait, lost float64 }

func (t *tally) ratio() float64 { return (t.inTime + t.late) / max(t.sent, 1) }

// result counts requests by what they have in common.
type result struct {
	all                    tally
	tenant                 map[string]*tally
	rank, kind, zone       map[int]*tally
	windows                map[[2]int]*tally // by two seconds and rank
	retryAfter             []time.Duration
	ranks                  map[int]bool // named in refusals
	messages, messageBytes int
}

func newResult() *result {
	return &result{
		tenant: map[string]*tally{}, rank: map[int]*tally{}, kind: map[int]*tally{}, zone: map[int]*tally{},
		windows: map[[2]int]*tally{}, ranks: map[int]bool{},
	}
}

// scenario is a load and what is wrong with the fleet.
type scenario struct {
	streams []stream
	// off leaves admission control out.
	off bool
	// cut separates the last third of the hosts from the others.
	cut bool
	// silent targets report no load.
	silent bool
	config *routing.Config
	seed   uint64
}

type fleet struct {
	scenario
	t       *testing.T
	net     *peernet.Network
	board   *blackboard.Board
	targets map[ports.HostID]*fleetTarget
	pickers []pick.Picker
	began   time.Time

	mu  sync.Mutex
	rng *rand.Rand
	res *result
}

func (s scenario) play(t *testing.T) (res *result) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{
			scenario: s, t: t, net: peernet.New(), board: blackboard.New(), targets: map[ports.HostID]*fleetTarget{},
			rng: rand.New(rand.NewPCG(1, s.seed)), res: newResult(), began: time.Now(),
		}
		defer f.board.Close()
		ctx, stop := context.WithCancel(t.Context())
		f.start(ctx)
		var wg sync.WaitGroup
		for _, st := range s.streams {
			wg.Go(func() { f.send(st, &wg) })
		}
		wg.Wait()
		stop()
		time.Sleep(time.Second) // messages under way
		synctest.Wait()
		res = f.res
	})
	return res
}

// start starts the hosts.
func (f *fleet) start(ctx context.Context) {
	f.net.Delay = func(ports.HostID, ports.HostID) time.Duration { return time.Millisecond }
	f.net.OnSend = func(_, _ ports.HostID, _ peer.Kind, size int) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.res.messages++
		f.res.messageBytes += size
	}
	list := &blackboard.Targets{ByService: map[blackboard.ServiceKey][]blackboard.Target{}}
	for i := range fleetTargets {
		id := ports.HostID(fmt.Sprintf("t%02d", i))
		f.targets[id] = &fleetTarget{slots: make(chan struct{}, fleetSlots), phase: time.Duration(i) * 83 * time.Millisecond}
		list.ByService[fleetKey] = append(list.ByService[fleetKey], blackboard.Target{ID: id, Slots: fleetSlots, Zone: zoneOf(i)})
	}
	f.board.Targets.Store(list)
	f.board.Routes.Store(routing.NewTable(f.config, f.rng))
	members := &blackboard.Members{Complete: true}
	for i := range fleetHosts {
		members.Members = append(members.Members, blackboard.Member{
			Host: ports.Host{ID: hostID(i), Zone: zoneOf(i)}, State: blackboard.MemberLive, Ready: true,
		})
	}
	f.board.Members.Store(members)
	for i := range fleetHosts {
		f.pickers = append(f.pickers, f.startHost(ctx, i))
	}
	if f.cut {
		for a := range fleetHosts {
			for b := range fleetHosts {
				if (a >= fleetHosts*2/3) != (b >= fleetHosts*2/3) {
					f.net.Block(hostID(a), hostID(b))
				}
			}
		}
	}
}

func hostID(i int) ports.HostID { return ports.HostID(fmt.Sprintf("h%03d", i)) }
func zoneOf(i int) string       { return string(rune('a' + i%3)) }

func (f *fleet) startHost(ctx context.Context, i int) pick.Picker {
	m := metrics.New()
	p := placer.New(placer.Deps{
		Board: f.board, Upstream: &fleetUpstream{targets: f.targets, silent: f.silent}, Probes: placer.NewProbeQuota(f.board, 400),
		Metrics: m, Log: zap.NewNop(), Zone: zoneOf(i), Seed: uint64(i),
		Contract: &targetapi.Contract{Load: loadHeader, ReadLoad: readLoad},
	})
	if f.off {
		return p
	}
	c := New(Deps{Picker: p, ByPriority: true, Board: f.board, Link: f.net.Join(hostID(i)), Seed: uint64(i), Metrics: m, Log: zap.NewNop()})
	go func() { _ = c.Run(ctx) }()
	return c
}

func (f *fleet) float() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64()
}

// send sends the requests of a stream.
func (f *fleet) send(s stream, wg *sync.WaitGroup) {
	for {
		f.mu.Lock()
		gap := time.Duration(f.rng.ExpFloat64() / (s.rate * fleetCapacity) * float64(time.Second))
		f.mu.Unlock()
		time.Sleep(gap)
		if time.Since(f.began) > loadTime {
			return
		}
		host := s.host
		if host < 0 {
			host = int(f.float() * fleetHosts)
		}
		wg.Go(func() { f.call(s, host) })
	}
}

// call sends one request and up to two retries.
func (f *fleet) call(s stream, host int) {
	k := kinds[s.kind]
	arrived := time.Now()
	ctx, cancel := context.WithTimeout(f.t.Context(), fleetDeadline)
	defer cancel()
	work := time.Duration(float64(k.work) * min(0.4-0.6*math.Log(1-f.float()), 5))
	waited := false
	var end func(*tally)
	for range 3 {
		var refusal outcome.Result
		asked := time.Now()
		end, refusal = f.try(ctx, s, host, arrived, work)
		if end != nil {
			break
		}
		waited = waited || time.Since(asked) > 25*time.Millisecond
		after := refusal.RetryAfter
		if s.atOnce {
			after = time.Millisecond
		}
		if after > time.Until(arrived.Add(fleetDeadline))/3 {
			break
		}
		time.Sleep(after)
	}
	switch {
	case end != nil:
	case waited:
		end = func(t *tally) { t.afterWait++ }
	default:
		end = func(t *tally) { t.atOnce++ }
	}
	f.record(s, host, arrived, end)
}

// try makes one attempt. It returns how the request ended, or the refusal.
func (f *fleet) try(ctx context.Context, s stream, host int, arrived time.Time, work time.Duration) (func(*tally), outcome.Result) {
	objective := kinds[s.kind].objective
	g, refusal := f.pickers[host].Pick(ctx, pick.Request{
		Service: fleetKey, Arrived: arrived, Objective: objective, Priority: s.rank, Tenant: s.tenant,
	})
	if g == nil {
		f.mu.Lock()
		f.res.retryAfter = append(f.res.retryAfter, refusal.RetryAfter)
		if a := refusal.Admission; a != nil && a.Share > 0 && a.Share <= 1 {
			f.res.ranks[a.Rank] = true
		}
		f.mu.Unlock()
		return nil, refusal
	}
	start := time.Now()
	l, ok := f.targets[g.Target().ID].run(ctx, work)
	report := pick.Report{Class: pick.OK, Latency: time.Since(start), TargetLoad: l}
	if f.silent {
		report.TargetLoad = targetapi.Load{}
	}
	if !ok {
		report = pick.Report{Class: pick.TimedOut}
	}
	g.Release(report)
	switch {
	case !ok:
		return func(t *tally) { t.lost++ }, outcome.Result{}
	case time.Since(arrived) > objective:
		return func(t *tally) { t.late++ }, outcome.Result{}
	default:
		return func(t *tally) { t.inTime++ }, outcome.Result{}
	}
}

func (f *fleet) record(s stream, host int, arrived time.Time, end func(*tally)) {
	since := arrived.Sub(f.began)
	if since < warmUp {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.res
	for _, t := range []*tally{
		&r.all, of(r.tenant, s.tenant), of(r.rank, s.rank), of(r.kind, s.kind), of(r.zone, host%3),
		of(r.windows, [2]int{int(since / (2 * time.Second)), s.rank}),
	} {
		t.sent++
		end(t)
	}
}

func of[K comparable](all map[K]*tally, k K) *tally {
	if all[k] == nil {
		all[k] = new(tally)
	}
	return all[k]
}

// group adds up the tenants with a prefix.
func (r *result) group(prefix string) (sum tally) {
	for name, t := range r.tenant {
		if strings.HasPrefix(name, prefix) {
			sum.sent += t.sent
			sum.inTime += t.inTime
			sum.late += t.late
		}
	}
	return sum
}

// inversion returns by how much rank 1 was served more than rank 0 in the worst two seconds.
func (r *result) inversion() (worst float64) {
	for w, t := range r.windows {
		if urgent := r.windows[[2]int{w[0], 0}]; w[1] == 1 && urgent != nil {
			worst = max(worst, t.ratio()-urgent.ratio())
		}
	}
	return worst
}

func leastOf(all map[int]*tally, mean float64) float64 {
	least := 1.0
	for _, t := range all {
		least = min(least, t.ratio()/mean)
	}
	return least
}

func (r *result) String() string {
	sent := r.all.sent
	light, heavy := r.group("t"), r.group("flood")
	slices.Sort(r.retryAfter)
	return fmt.Sprintf("of %.0f in time %.3f, late %.3f, refused at once %.3f, after waiting %.3f, lost %.3f; light %.3f, heavy %.3f; rank 0 %.3f, rank 1 %.3f, inversion %.2f; kind %.2f, zone %.2f; %d messages, %d bytes",
		sent, r.all.inTime/sent, r.all.late/sent, r.all.atOnce/sent, r.all.afterWait/sent, r.all.lost/sent, light.ratio(), heavy.ratio(),
		of(r.rank, 0).ratio(), of(r.rank, 1).ratio(), r.inversion(), leastOf(r.kind, r.all.ratio()), leastOf(r.zone, r.all.ratio()), r.messages, r.messageBytes)
}
