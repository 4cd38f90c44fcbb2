package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cactusproxy/cactusproxy/internal/bench/claims"
)

type claimsCmd struct {
	Hosts  int           `arg:"--hosts" default:"15" help:"entry hosts"`
	Writes int           `arg:"--writes" default:"300" help:"transactions a second that the table takes"`
	Delay  time.Duration `arg:"--delay" default:"5ms" help:"time the table takes to answer"`
	Pooled float64       `arg:"--pooled" default:"0.6" help:"part of the transactions that the coordinator has, as daemons do; 0 is each host for itself"`
	For    time.Duration `arg:"--for" default:"5s" help:"length of each measurement"`
	JSON   string        `arg:"--json" help:"file for the report"`
}

func (c *claimsCmd) run(ctx context.Context, out io.Writer) error {
	r, err := claims.RunWith(ctx, claims.Settings{
		Hosts:           c.Hosts,
		WritesPerSecond: c.Writes,
		TableDelay:      c.Delay,
		Pooled:          c.Pooled,
		For:             c.For,
	})
	if err != nil {
		return err
	}
	fmt.Fprintln(out, r)
	return writeJSON(c.JSON, r)
}
