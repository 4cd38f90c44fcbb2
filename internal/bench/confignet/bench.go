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

// Scenario is a fault that is injected around a configuration change.
type Scenario string

// Scenarios of a measurement.
const (
	// StoreUp injects no fault.
	StoreUp Scenario = "store up"
	// StoreFails makes the store unavailable right after the commit.
	StoreFails Scenario = "store fails after commit"
	// PushLost makes the store unavailable right after the commit and drops the
	// messages of the committing host to a random half of the hosts.
	PushLost Scenario = "store fails, half the pushes lost"
	// HostLost isolates the committing host right after the commit, before any
	// push is sent. The store stays available.
	HostLost Scenario = "committing host lost after commit"
)

// Scenarios returns all scenarios.
func Scenarios() []Scenario { return []Scenario{StoreUp, StoreFails, PushLost, HostLost} }

// Options configure a measurement.
type Options struct {
	Hosts    int
	Changes  int
	Scenario Scenario
	Seed     uint64
}

// Report holds the results of a measurement. Latencies run from the time the
// operator gets the reply that the change is accepted until it is in force on a
// host, with one sample per change and host other than the committing one.
type Report struct {
	Options
	P50, P99, Worst time.Duration
	// BytesPerChange is the total size of the message bodies sent between hosts
	// per change.
	BytesPerChange uint64
	// CPUPerChange is the CPU time of the whole process per change and host. It
	// includes the fakes.
	CPUPerChange time.Duration
	// IdleBytes is the number of bytes per second that a host sends while there
	// are no changes.
	IdleBytes uint64
	// OutageBytes is IdleBytes while the store is unavailable.
	OutageBytes uint64
}

// String returns one line of key=value pairs.
func (r Report) String() string {
	return fmt.Sprintf("hosts=%d scenario=%q changes=%d p50=%s p99=%s worst=%s bytes_per_change=%d cpu_per_change_host=%s idle_bytes_per_host_s=%d outage_bytes_per_host_s=%d",
		r.Hosts, r.Scenario, r.Changes, r.P50, r.P99, r.Worst, r.BytesPerChange, r.CPUPerChange, r.IdleBytes, r.OutageBytes)
}

const (
	// settleTime is the time allowed for the fleet to settle before and between
	// changes.
	settleTime = 5 * time.Second
	// pollInterval is the interval of polling, and so the resolution of the
	// latencies, until finePollPeriod has elapsed; coarsePollInterval applies after
	// that.
	pollInterval       = 100 * time.Microsecond
	finePollPeriod     = 20 * time.Millisecond
	coarsePollInterval = 2 * time.Millisecond
	// waitTimeout is the timeout for a change to be in force or a host to be ready.
	waitTimeout = 30 * time.Second
	// trafficPeriod is the duration over which idle traffic is measured.
	trafficPeriod = 10 * time.Second
	// storeDelay is the latency of a platform operation.
	storeDelay = 2 * time.Millisecond
)

// ErrNotInForce reports that a change was not in force on all hosts before the
// timeout.
var ErrNotInForce = errors.New("change not in force before the timeout")

// Run measures one fleet in one scenario. In a synctest bubble it needs almost no
// wall-clock time; otherwise it takes about settleTime per
// change.
func Run(ctx context.Context, opt Options) (Report, error) {
	rep := Report{Options: opt}
	f := NewEmptyFleet()
	f.Seed = opt.Seed
	f.Store.SetFaults(store.Faults{Delay: storeDelay})
	f.StartAll(opt.Hosts)
	defer f.Close()
	time.Sleep(settleTime)
	rep.IdleBytes = f.traffic()
	f.Store.SetFaults(store.Faults{Down: true, Delay: storeDelay})
	rep.OutageBytes = f.traffic()
	f.Store.SetFaults(store.Faults{Delay: storeDelay})
	time.Sleep(settleTime)
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

// traffic returns the average number of bytes per second that a host sends,
// measured over trafficPeriod.
func (f *Fleet) traffic() uint64 {
	before := f.SentBytes()
	time.Sleep(trafficPeriod)
	return (f.SentBytes() - before) / uint64(len(f.Hosts())) / uint64(trafficPeriod/time.Second)
}

// bench is the state of a running measurement.
type bench struct {
	f         *Fleet
	opt       Options
	rng       *rand.Rand
	latencies []time.Duration
	bytes     uint64
	cpu       time.Duration
}

// change applies one change on a random host and waits until it is in force on all
// hosts.
func (b *bench) change(ctx context.Context, base uint64) error {
	hosts := b.f.Hosts()
	from := hosts[b.rng.IntN(len(hosts))]
	b.injectBeforeCommit(from, hosts)
	sent, cpu := b.f.SentBytes(), cpuTime()
	req := Change(fmt.Sprintf("c%d", base+1), "bench", "w", base, int(base)+1)
	out := from.Controller.Apply(ctx, req)
	if out.Result != config.ResultApplied {
		return errors.Newf("change %d: %s %s", base+1, out.Result, out.Detail)
	}
	b.injectAfterCommit(from)
	err := b.wait(out.Change.Sequence, from, hosts)
	b.bytes += b.f.SentBytes() - sent
	b.cpu += cpuTime() - cpu
	b.clearFaults()
	return err
}

func (b *bench) injectBeforeCommit(from *Host, hosts []*Host) {
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

func (b *bench) injectAfterCommit(from *Host) {
	switch b.opt.Scenario {
	case StoreFails, PushLost:
		b.f.Store.SetFaults(store.Faults{Down: true, Delay: storeDelay})
	case HostLost:
		from.CutPlatform()
	}
}

func (b *bench) clearFaults() {
	b.f.Store.SetFaults(store.Faults{Delay: storeDelay})
	b.f.Heal()
	time.Sleep(settleTime)
}

// wait polls until the change is in force on all other hosts and records the
// latency of each.
func (b *bench) wait(sequence uint64, from *Host, hosts []*Host) error {
	start := time.Now()
	pending := slices.DeleteFunc(slices.Clone(hosts), func(h *Host) bool { return h == from })
	for len(pending) > 0 {
		if time.Since(start) > waitTimeout {
			return errors.Wrapf(ErrNotInForce, "%d of %d hosts", len(pending), len(hosts))
		}
		pending = slices.DeleteFunc(pending, func(h *Host) bool {
			done := h.Sequence() >= sequence
			if done {
				b.latencies = append(b.latencies, time.Since(start))
			}
			return done
		})
		if time.Since(start) < finePollPeriod {
			time.Sleep(pollInterval)
		} else {
			time.Sleep(coarsePollInterval)
		}
	}
	return nil
}

// quantile returns the nearest-rank quantile of the latencies.
func (b *bench) quantile(q float64) time.Duration {
	if len(b.latencies) == 0 {
		return 0
	}
	slices.Sort(b.latencies)
	rank := int(q*float64(len(b.latencies)) + 0.999999)
	return b.latencies[min(max(rank, 1), len(b.latencies))-1]
}

// cpuTime returns the CPU time used by the process so far, or 0 if it cannot
// be read.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Table formats reports as a Markdown table.
func Table(reports []Report) string {
	var b strings.Builder
	fmt.Fprint(&b, "| hosts | scenario | p50 | p99 | worst | bytes a change |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, r := range reports {
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s | %d |\n", r.Hosts, r.Scenario, round(r.P50), round(r.P99), round(r.Worst), r.BytesPerChange)
	}
	return b.String()
}

func round(d time.Duration) time.Duration { return d.Round(pollInterval) }
