package main

import (
	"context"
	"fmt"
	"io"

	"github.com/cactusproxy/cactusproxy/internal/bench/capacity"
)

type capacityCmd struct {
	Page string `arg:"--page" default:"docs/CAPACITY.md" help:"page whose tables are rewritten"`
	JSON string `arg:"--json" help:"file for the slopes"`
}

func (c *capacityCmd) run(ctx context.Context, out io.Writer) error {
	s, err := capacity.Measure(ctx, out)
	if err != nil {
		return err
	}
	for _, sl := range s.All() {
		fmt.Fprintln(out, sl.Row())
	}
	if err := writeJSON(c.JSON, s); err != nil {
		return err
	}
	return capacity.Rewrite(c.Page, s)
}
