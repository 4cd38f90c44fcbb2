package confignet

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusproxy/cactusproxy/controller/config"
	"github.com/cactusproxy/cactusproxy/internal/standin/store"
)

// StartReport is the cost of starting a host.
type StartReport struct {
	Services int
	// From describes the source that the host loaded its configuration from.
	From string
	// Reads counts read operations on the platform, including the head row.
	Reads uint64
	// InForce is the time until the configuration is in force on the host.
	InForce time.Duration
	// CPU is the CPU time of the whole process in that time.
	CPU time.Duration
	// Bytes is the size of the snapshot in bytes.
	Bytes int
}

// String returns one line of key=value pairs.
func (r StartReport) String() string {
	return fmt.Sprintf("services=%d from=%q reads=%d in_force=%s cpu=%s snapshot_bytes=%d", r.Services, r.From, r.Reads, r.InForce, r.CPU, r.Bytes)
}

// RunStart measures the start of a host with the given number of services, once
// from the snapshot and once from the table because the snapshot is corrupt.
func RunStart(ctx context.Context, services int) ([]StartReport, error) {
	f := NewEmptyFleet()
	f.Store.SetFaults(store.Faults{Delay: storeDelay})
	f.StartAll(1)
	defer f.Close()
	writer := f.Hosts()[0]
	for i := range services / servicesPerWorkspace {
		req := Change(fmt.Sprintf("c%d", i), "bench", fmt.Sprintf("w%d", i), 0, 100)
		if out := writer.Controller.Apply(ctx, req); out.Result != config.ResultApplied {
			return nil, errors.Newf("workspace %d: %s", i, out.Result)
		}
	}
	time.Sleep(2 * settleTime)
	raw, err := f.Store.Objects().Get(ctx, config.SnapshotName)
	if err != nil {
		return nil, err
	}
	first := f.measureStart(writer, services, "snapshot", len(raw))
	raw[len(raw)/2] ^= 1
	if err := f.Store.Objects().Put(ctx, config.SnapshotName, raw); err != nil {
		return nil, err
	}
	second := f.measureStart(writer, services, "table, snapshot damaged", len(raw))
	return []StartReport{first, second}, nil
}

// measureStart measures the measureStart of a host that is disconnected from all others.
func (f *Fleet) measureStart(writer *Host, services int, from string, size int) StartReport {
	cpu, began := cpuTime(), time.Now()
	h := f.Start()
	f.CutPeers(h)
	for h.Sequence() < writer.Sequence() {
		time.Sleep(pollInterval)
	}
	rep := StartReport{
		Services: services, From: from, Reads: h.Reads(),
		InForce: time.Since(began), CPU: cpuTime() - cpu, Bytes: size,
	}
	f.Stop(h)
	return rep
}

// ReadyReport is the time that hosts take to become ready.
type ReadyReport struct {
	Case   string
	Hosts  int
	Trials int
	// Worst is the longest time from the start of a host, or from the end of its
	// pause, until it was ready.
	Worst time.Duration
}

// String returns one line of key=value pairs.
func (r ReadyReport) String() string {
	return fmt.Sprintf("case=%q hosts=%d trials=%d worst=%s", r.Case, r.Hosts, r.Trials, r.Worst)
}

// pauseLength is the length of a simulated pause.
const pauseLength = time.Minute

// RunReady measures how long a host takes to become ready after its start and
// after a pause, with the store available and unavailable.
func RunReady(hosts, trials int) ([]ReadyReport, error) {
	var out []ReadyReport
	for _, down := range []bool{false, true} {
		for _, begin := range []string{"start", "pause"} {
			f := NewEmptyFleet()
			f.Store.SetFaults(store.Faults{Delay: storeDelay})
			f.StartAll(hosts)
			time.Sleep(settleTime)
			f.Store.SetFaults(store.Faults{Delay: storeDelay, Down: down})
			rep := ReadyReport{Case: begin + ", " + platformState(down), Hosts: hosts, Trials: trials}
			err := f.readyTrials(&rep, begin)
			f.Close()
			if err != nil {
				return nil, errors.Wrap(err, rep.Case)
			}
			out = append(out, rep)
		}
	}
	return out, nil
}

func platformState(down bool) string {
	if down {
		return "store out"
	}
	return "store up"
}

func (f *Fleet) readyTrials(rep *ReadyReport, begin string) error {
	for i := range rep.Trials {
		time.Sleep(settleTime + time.Duration(i)*7*time.Millisecond) // vary the phase
		h := f.Hosts()[0]
		if begin == "start" {
			f.Stop(h)
			h = f.Start()
		} else {
			h.AdvanceClock(pauseLength)
		}
		took, err := h.untilReady()
		if err != nil {
			return err
		}
		rep.Worst = max(rep.Worst, took)
	}
	return nil
}

// untilReady waits until the host is ready and has confirmed its configuration,
// and returns how long that took.
func (h *Host) untilReady() (time.Duration, error) {
	start := time.Now()
	for !h.Ready() || !h.Controller.Fresh() {
		if time.Since(start) > waitTimeout {
			return 0, errors.New("host not ready before the timeout")
		}
		time.Sleep(pollInterval)
	}
	return time.Since(start), nil
}
