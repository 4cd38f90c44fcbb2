package main

import (
	"context"
	"fmt"
	"io"

	"github.com/cactusproxy/cactusproxy/internal/bench/confignet"
)

type configCmd struct {
	Hosts   []int  `arg:"--hosts" help:"numbers of entry hosts; 15, 50 and 150 if left out"`
	Changes int    `arg:"--changes" default:"20" help:"changes of each measurement"`
	JSON    string `arg:"--json" help:"file for the report"`
}

// run measures how long a change takes to be in force under each fault, and the cost
// of a start.
func (c *configCmd) run(ctx context.Context, out io.Writer) error {
	hosts := c.Hosts
	if len(hosts) == 0 {
		hosts = []int{15, 50, 150}
	}
	var reports []confignet.Report
	for _, n := range hosts {
		for _, s := range confignet.Scenarios() {
			r, err := confignet.Run(ctx, confignet.Options{Hosts: n, Changes: c.Changes, Scenario: s, Seed: 1})
			if err != nil {
				return err
			}
			fmt.Fprintln(out, r)
			reports = append(reports, r)
		}
	}
	starts, err := confignet.RunStart(ctx, 490)
	if err != nil {
		return err
	}
	for _, s := range starts {
		fmt.Fprintf(out, "start %+v\n", s)
	}
	return writeJSON(c.JSON, reports)
}
