package confignet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusproxy/cactusproxy/controller/config"
	"github.com/cactusproxy/cactusproxy/internal/standin/store"
)

// Scenario is what goes wrong around a change.
type Scenario string

// The scenarios.
const (
	// StoreUp: nothing goes wrong.
	StoreUp Scenario = "store up"
	// StoreFails: the store is out from the moment of the commit on.
	StoreFails Scenario = "store fails after commit"
	// PushLost: the store is out from the commit on, and the committing host
	// does not reach a random half of the hosts.
	PushLost Scenario = "store fails, half the pushes lost"
	// HostLost: the committing host is cut off right after the commit, before
	// any push left; the store is up.
	HostLost Scenario = "committing host lost after commit"
)

// Scenarios returns all scenarios.
func Scenarios() []Scenario { return []Scenario{StoreUp, StoreFails, PushLost, HostLost} }

// Options says what to measure.
type Options struct {
	Hosts    int
	Changes  int
	Scenario Scenario
	Seed     uint64
}

// Report is what was measured. Times run from the moment at which the operator
// is told that the change is accepted, to the moment at which a host has it in
// force; there is one time for each change and host.
type Report struct {
	Options
	P50, P99, Worst time.Duration
	// BytesPerChange is the bodies of all messages between hosts for one
	// change, in bytes.
	BytesPerChange uint64
	// CPUPerChange is the processor time of the whole process for one change,
	// fakes included, divided by the hosts.
	CPUPerChange time.Duration
	// IdleBytes is what one host sends and receives a second without changes.
	IdleBytes uint64
	// OutageBytes is the same while the store is out.
	OutageBytes uint64
}

// String returns one line of key=value pairs.
func (r Report) String() string {
	return fmt.Sprintf("hosts=%d scenario=%q changes=%d p50=%s p99=%s worst=%s bytes_per_change=%d cpu_per_change_host=%s idle_bytes_per_host_s=%d outage_bytes_per_host_s=%d",
		r.Hosts, r.Scenario, r.Changes, r.P50, r.P99, r.Worst, r.BytesPerChange, r.CPUPerChange, r.IdleBytes, r.OutageBytes)
}

const (
	// settle is the time that the fleet gets before and between changes.
	settle = 5 * time.Second
	// look is the resolution of the measured times up to closeLook, and
	// lookLate after it.
	look      = 100 * time.Microsecond
	closeLook = 20 * time.Millisecond
	lookLate  = 2 * time.Millisecond
	// giveUp is the longest that a change is waited for.
	giveUp = 30 * time.Second
	// idleTime is the time over which the idle traffic is measured.
	idleTime = 10 * time.Second
	// storeDelay is the time that the platform takes for an operation.
	storeDelay = 2 * time.Millisecond
)

// ErrNotInForce says that a host did not get a change.
var ErrNotInForce = errors.New("change not in force in time")

// Run measures one fleet in one scenario. In a synctest bubble it takes no real
// time to speak of; else it takes about settle for each change.
func Run(ctx context.Context, opt Options) (Report, error) {
	rep := Report{Options: opt}
	f := Empty()
	f.Seed = opt.Seed
	f.Store.SetFaults(store.Faults{Delay: storeDelay})
	f.StartAll(opt.Hosts)
	defer f.Close()
	time.Sleep(settle)
	rep.IdleBytes = f.traffic()
	f.Store.SetFaults(store.Faults{Down: true, Delay: storeDelay})
	rep.OutageBytes = f.traffic()
	f.Store.SetFaults(store.Faults{Delay: storeDelay})
	time.Sleep(settle)
	b := &bench{f: f, opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, 1))}
	for i := range opt.Changes {
		if err := ctx.Err(); err != nil {
			return rep, err
		}
		if err := b.change(ctx, uint64(i)); err != nil {
			return rep, err
		}
	}
	rep.P50, rep.P99, rep.Worst = b.quantile(0.5), b.quantile(0.99), b.quantile(1)
	if opt.Changes > 0 {
		rep.BytesPerChange = b.bytes / uint64(opt.Changes)
		rep.CPUPerChange = b.cpu / time.Duration(opt.Changes*opt.Hosts)
	}
	return rep, nil
}

// traffic returns the bytes that one host sends a second, on average over
// idleTime.
func (f *Fleet) traffic() uint64 {
	before := f.SentBytes()
	time.Sleep(idleTime)
	return (f.SentBytes() - before) / uint64(len(f.Hosts())) / uint64(idleTime/time.Second)
}

// bench is a run under way.
type bench struct {
	f     *Fleet
	opt   Options
	rng   *rand.Rand
	times []time.Duration
	bytes uint64
	cpu   time.Duration
}

// change makes one change and waits until it is in force everywhere.
func (b *bench) change(ctx context.Context, base uint64) error {
	hosts := b.f.Hosts()
	from := hosts[b.rng.IntN(len(hosts))]
	b.breakBefore(from, hosts)
	sent, cpu := b.f.SentBytes(), processorTime()
	req := Change(fmt.Sprintf("c%d", base+1), "bench", "w", base, int(base)+1)
	out := from.Controller.Apply(ctx, req)
	if out.Result != config.ResultApplied {
		return errors.Newf("change %d: %s %s", base+1, out.Result, out.Detail)
	}
	b.breakAfter(from)
	err := b.wait(out.Change.Sequence, from, hosts)
	b.bytes += b.f.SentBytes() - sent
	b.cpu += processorTime() - cpu
	b.mend()
	return err
}

func (b *bench) breakBefore(from *Host, hosts []*Host) {
	switch b.opt.Scenario {
	case HostLost:
		b.f.CutPeers(from)
	case PushLost:
		for _, h := range hosts {
			if b.rng.IntN(2) == 0 {
				b.f.CutLink(from, h)
			}
		}
	}
}

func (b *bench) breakAfter(from *Host) {
	switch b.opt.Scenario {
	case StoreFails, PushLost:
		b.f.Store.SetFaults(store.Faults{Down: true, Delay: storeDelay})
	case HostLost:
		from.CutPlatform()
	}
}

func (b *bench) mend() {
	b.f.Store.SetFaults(store.Faults{Delay: storeDelay})
	b.f.Heal()
	time.Sleep(settle)
}

// wait records when each host has the change in force.
func (b *bench) wait(sequence uint64, from *Host, hosts []*Host) error {
	start := time.Now()
	pending := slices.DeleteFunc(slices.Clone(hosts), func(h *Host) bool { return h == from })
	for len(pending) > 0 {
		if time.Since(start) > giveUp {
			return errors.Wrapf(ErrNotInForce, "%d of %d hosts", len(pending), len(hosts))
		}
		pending = slices.DeleteFunc(pending, func(h *Host) bool {
			done := h.Sequence() >= sequence
			if done {
				b.times = append(b.times, time.Since(start))
			}
			return done
		})
		if time.Since(start) < closeLook {
			time.Sleep(look)
		} else {
			time.Sleep(lookLate)
		}
	}
	return nil
}

// quantile returns the nearest-rank quantile of the times.
func (b *bench) quantile(q float64) time.Duration {
	if len(b.times) == 0 {
		return 0
	}
	slices.Sort(b.times)
	rank := int(q*float64(len(b.times)) + 0.999999)
	return b.times[min(max(rank, 1), len(b.times))-1]
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Table returns reports as a table in Markdown.
func Table(reports []Report) string {
	var b strings.Builder
	fmt.Fprint(&b, "| hosts | scenario | p50 | p99 | worst | bytes a change |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, r := range reports {
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s | %d |\n", r.Hosts, r.Scenario, round(r.P50), round(r.P99), round(r.Worst), r.BytesPerChange)
	}
	return b.String()
}

func round(d time.Duration) time.Duration { return d.Round(look) }
