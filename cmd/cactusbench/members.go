package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cactusproxy/cactusproxy/internal/bench/membernet"
)

type membersCmd struct {
	Hosts []int         `arg:"--hosts" help:"numbers of entry hosts; 15, 50, 100 and 150 if left out"`
	For   time.Duration `arg:"--for" default:"5s" help:"length of each measurement"`
	JSON  string        `arg:"--json" help:"file for the report"`
}

func (c *membersCmd) run(ctx context.Context, out io.Writer) error {
	hosts := c.Hosts
	if len(hosts) == 0 {
		hosts = []int{15, 50, 100, 150}
	}
	var reports []membernet.Report
	for _, n := range hosts {
		r, err := membernet.Run(ctx, n, c.For)
		if err != nil {
			return err
		}
		fmt.Fprintln(out, r)
		reports = append(reports, r)
	}
	return writeJSON(c.JSON, reports)
}
