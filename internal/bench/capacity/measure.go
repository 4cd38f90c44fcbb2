package capacity

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cactusproxy/cactusproxy/internal/bench/claims"
	"github.com/cactusproxy/cactusproxy/internal/bench/confignet"
	"github.com/cactusproxy/cactusproxy/internal/bench/loopback"
	"github.com/cactusproxy/cactusproxy/internal/bench/membernet"
)

// Slopes holds all measured cost functions.
type Slopes struct {
	// Call is the CPU time that a host adds to a call, in microseconds, by number
	// of listed targets.
	Call Slope
	// TargetMemory is the heap of a daemon, in bytes, by number of listed targets.
	TargetMemory Slope
	// CallMemory is the combined heap of callers, host and targets, in bytes, by
	// number of calls in flight.
	CallMemory Slope
	// Grant is the coordinator's CPU time for a grant and its release, in
	// nanoseconds, by number of targets of the service.
	Grant Slope
	// MemberBytes and MemberCPU are the cost of heartbeats and gossip for a host,
	// in bytes sent per second and percent of a core, by number of hosts.
	MemberBytes, MemberCPU Slope
	// ChangeBytes and ChangeCPU are the cost of a configuration change, in bytes
	// sent by all hosts together and microseconds of CPU time per host, by number
	// of hosts.
	ChangeBytes, ChangeCPU Slope
	// Start is the time until a new host has loaded the configuration from the
	// snapshot, in milliseconds, by number of services.
	Start Slope
	// Claims is the rate of claims of all hosts together, per second, by the
	// table's write limit per second.
	Claims Slope
	// KeyMemory and KeyCPU are the cost of issued keys at their issuer, in bytes
	// of heap and microseconds per key, by number of keys held.
	KeyMemory, KeyCPU Slope
}

// All returns the slopes in the order in which the page lists them.
func (s Slopes) All() []Slope {
	return []Slope{
		s.Call, s.TargetMemory, s.CallMemory, s.Grant, s.MemberBytes, s.MemberCPU,
		s.ChangeBytes, s.ChangeCPU, s.Start, s.Claims, s.KeyMemory, s.KeyCPU,
	}
}

// Sizes at which each slope is measured; at least four per slope.
var (
	listedSizes    = []int{0, 5_000, 10_000, 15_000}
	inFlightCounts = []int{250, 500, 1_000, 2_000}
	serviceSizes   = []int{10, 30, 100, 300}
	fleetSizes     = []int{15, 50, 100, 150}
	// memberSizes are all above the size up to which hosts send heartbeats in a
	// full mesh, because a line fitted across both heartbeat topologies would be
	// meaningless.
	memberSizes = []int{50, 75, 100, 125, 150}
	startSizes  = []int{100, 200, 300, 490}
	writeLimits = []int{100, 200, 300, 400}
	keyCounts   = []int{10_000, 20_000, 40_000, 80_000}
)

// Duration or number of repetitions per data point.
const (
	callsPerPoint   = 20_000
	changesPerPoint = 2
	memberDuration  = 5 * time.Second
	claimDuration   = 3 * time.Second
)

// Measure runs the measurement step named by only, or all steps if only is empty,
// and stores the resulting slopes in s. The other slopes in s are left unchanged.
// Progress is written to out.
func Measure(ctx context.Context, out io.Writer, s *Slopes, only string) error {
	found := false
	for _, step := range []struct {
		name string
		run  func(context.Context, *Slopes) error
	}{
		{"call", measureCalls},
		{"memory of targets", measureTargetMemory},
		{"memory of calls", measureCallMemory},
		{"grant", measureGrants},
		{"membership", measureMembers},
		{"changes", measureChanges},
		{"start", measureStarts},
		{"claims", measureClaims},
		{"issued keys", measureKeys},
	} {
		if only != "" && only != step.name {
			continue
		}
		found = true
		start := time.Now()
		if err := step.run(ctx, s); err != nil {
			return fmt.Errorf("%s: %w", step.name, err)
		}
		fmt.Fprintf(out, "measured %s in %s\n", step.name, time.Since(start).Round(time.Second))
	}
	if !found {
		return fmt.Errorf("unknown measurement step %q", only)
	}
	return nil
}

func measureCalls(ctx context.Context, s *Slopes) error {
	s.Call = Slope{Name: "call", X: "targets listed", Y: "us of processor time of a call through a host, beyond a direct one"}
	for _, n := range listedSizes {
		r, err := loopback.Run(ctx, loopback.Options{Services: n / 30, Listed: n, Calls: callsPerPoint})
		if err != nil {
			return err
		}
		s.Call.Points = append(s.Call.Points, Point{float64(n), micros(r.CPU)})
	}
	return nil
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

func measureMembers(ctx context.Context, s *Slopes) error {
	s.MemberBytes = Slope{Name: "membership-bytes", X: "entry hosts", Y: "bytes/s that a host sends"}
	s.MemberCPU = Slope{Name: "membership-cpu", X: "entry hosts", Y: "% of a core that a host uses"}
	for _, n := range memberSizes {
		r, err := membernet.Run(ctx, n, memberDuration)
		if err != nil {
			return err
		}
		s.MemberBytes.Points = append(s.MemberBytes.Points, Point{float64(n), r.BytesPerSecond})
		s.MemberCPU.Points = append(s.MemberCPU.Points, Point{float64(n), r.CPUPercent})
	}
	return nil
}

func measureChanges(ctx context.Context, s *Slopes) error {
	s.ChangeBytes = Slope{Name: "change-bytes", X: "entry hosts", Y: "bytes between all hosts for a change"}
	s.ChangeCPU = Slope{Name: "change-cpu", X: "entry hosts", Y: "us of processor time of a host for a change, fakes included"}
	for _, n := range fleetSizes {
		r, err := confignet.Run(ctx, confignet.Options{Hosts: n, Changes: changesPerPoint, Scenario: confignet.StoreUp, Seed: 1})
		if err != nil {
			return err
		}
		s.ChangeBytes.Points = append(s.ChangeBytes.Points, Point{float64(n), float64(r.BytesPerChange)})
		s.ChangeCPU.Points = append(s.ChangeCPU.Points, Point{float64(n), micros(r.CPUPerChange)})
	}
	return nil
}

func measureStarts(ctx context.Context, s *Slopes) error {
	s.Start = Slope{Name: "start", X: "services", Y: "ms until a fresh host has the configuration from its snapshot"}
	for _, n := range startSizes {
		reports, err := confignet.RunStart(ctx, n)
		if err != nil {
			return err
		}
		s.Start.Points = append(s.Start.Points, Point{float64(n), micros(reports[0].InForce) / 1000})
	}
	return nil
}

func measureClaims(ctx context.Context, s *Slopes) error {
	s.Claims = Slope{Name: "claims", X: "transactions/s that the table takes", Y: "claims/s of 15 hosts, each with its answer stored"}
	for _, n := range writeLimits {
		r, err := claims.RunWith(ctx, claims.Settings{
			WritesPerSecond: n, For: claimDuration, CallRates: []int{10},
		})
		if err != nil {
			return err
		}
		s.Claims.Points = append(s.Claims.Points, Point{float64(n), r.ClaimsPerSecond})
	}
	return nil
}
