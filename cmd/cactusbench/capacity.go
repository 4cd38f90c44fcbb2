package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/cactusproxy/cactusproxy/internal/bench/capacity"
)

type capacityCmd struct {
	Page string `arg:"--page" default:"docs/CAPACITY.md" help:"page whose tables are rewritten"`
	JSON string `arg:"--json" default:"docs/capacity/slopes.json" help:"file that keeps the slopes"`
	Only string `arg:"--only" help:"measure one step alone and keep the others: call, grant, membership, ..."`
}

func (c *capacityCmd) run(ctx context.Context, out io.Writer) error {
	s, err := c.loadSlopes()
	if err != nil {
		return err
	}
	if err := capacity.Measure(ctx, out, &s, c.Only); err != nil {
		return err
	}
	for _, sl := range s.All() {
		fmt.Fprintln(out, sl.Row())
	}
	if err := writeJSON(c.JSON, s); err != nil {
		return err
	}
	return capacity.UpdatePage(c.Page, s)
}

// loadSlopes returns the slopes of an earlier run, which are kept if only one step is
// measured. If all steps are measured it returns none.
func (c *capacityCmd) loadSlopes() (capacity.Slopes, error) {
	var s capacity.Slopes
	if c.Only == "" {
		return s, nil
	}
	b, err := os.ReadFile(c.JSON)
	if errors.Is(err, os.ErrNotExist) {
		return s, fmt.Errorf("%s: measure all steps once before one alone", c.JSON)
	}
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(b, &s)
}
