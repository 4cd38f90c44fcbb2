package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime/pprof"

	"github.com/cactusproxy/cactusproxy/internal/bench/loopback"
)

type latencyCmd struct {
	Calls    int    `arg:"--calls" default:"40000" help:"calls of each measurement"`
	Hosts    int    `arg:"--hosts" default:"3" help:"entry hosts"`
	Services int    `arg:"--services" default:"500" help:"services declared in the large case"`
	Listed   int    `arg:"--targets" default:"15000" help:"targets listed in the large case"`
	JSON     string `arg:"--json" help:"file for the report"`
	Profile  string `arg:"--cpuprofile" help:"file for a CPU profile of the run"`
}

// run measures a small deployment, the same one during a platform outage, and one with
// many services and targets.
func (c *latencyCmd) run(ctx context.Context, out io.Writer) error {
	stop, err := startProfile(c.Profile)
	if err != nil {
		return err
	}
	defer stop()
	small := loopback.Options{Hosts: c.Hosts, Calls: c.Calls}
	large := small
	large.Services, large.Listed = c.Services, c.Listed
	outage := small
	outage.StoreDown = true
	var reports []loopback.Report
	for _, o := range []loopback.Options{small, outage, large} {
		r, err := loopback.Run(ctx, o)
		if err != nil {
			return err
		}
		fmt.Fprintln(out, r)
		reports = append(reports, r)
	}
	return writeJSON(c.JSON, reports)
}

// startProfile starts a CPU profile and returns a function that ends it. If file is
// empty it does nothing.
func startProfile(file string) (stop func(), err error) {
	if file == "" {
		return func() {}, nil
	}
	f, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		_ = f.Close()
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		_ = f.Close()
	}, nil
}
