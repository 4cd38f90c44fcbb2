package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/cactusproxy/cactusproxy/internal/bench/choose"
)

type chooseCmd struct {
	Calls int    `arg:"--calls" default:"60000" help:"calls of one run"`
	Seeds int    `arg:"--seeds" default:"5" help:"runs of each case and way"`
	JSON  string `arg:"--json" default:"out/choose.json" help:"file for the report; the plots go beside it"`
}

// run compares the algorithms for choosing a target at every load and fault.
func (c *chooseCmd) run(_ context.Context, out io.Writer) error {
	o := choose.FullOptions()
	o.Calls, o.Seeds = c.Calls, c.Seeds
	r := choose.Measure(o)
	for _, cs := range r.Cases {
		for _, w := range cs.Ways {
			fmt.Fprintf(out, "service=%q load=%.2f %+v\n", cs.Name, cs.Load, w)
		}
	}
	for _, s := range r.Scenarios {
		fmt.Fprintf(out, "fault %+v\n", s)
	}
	if err := os.MkdirAll(filepath.Dir(c.JSON), 0o755); err != nil {
		return err
	}
	return r.Write(c.JSON)
}
