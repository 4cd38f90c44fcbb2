// Command cactusbench runs the benchmarks whose results the documentation cites.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/cactusproxy/cactusproxy/internal/version"
)

// command is a subcommand. The fields of an implementation are its flags.
type command interface {
	run(ctx context.Context, out io.Writer) error
}

type args struct {
	Latency  *latencyCmd  `arg:"subcommand:latency" help:"what a daemon adds to a call, over loopback"`
	Choose   *chooseCmd   `arg:"subcommand:choose" help:"ways of choosing a target, in virtual time"`
	Claims   *claimsCmd   `arg:"subcommand:claims" help:"what an at-most-once claim costs"`
	Config   *configCmd   `arg:"subcommand:config" help:"how fast a change is in force, and what a start costs"`
	Members  *membersCmd  `arg:"subcommand:members" help:"what heartbeats and gossip cost"`
	Capacity *capacityCmd `arg:"subcommand:capacity" help:"measure every slope and rewrite the tables of the capacity page"`
}

func (args) Description() string {
	return "cactusbench measures cactusproxy. Load goes to loopback and stops by itself."
}

func (args) Version() string { return "cactusbench " + version.String() }

func main() { os.Exit(run()) }

func run() int {
	var a args
	p := arg.MustParse(&a)
	cmd, ok := p.Subcommand().(command)
	if !ok {
		p.WriteHelp(os.Stderr)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := cmd.run(ctx, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "cactusbench:", err)
		return 1
	}
	return 0
}

// writeJSON writes a report to a file as JSON, or does nothing if file is empty.
func writeJSON(file string, report any) error {
	if file == "" {
		return nil
	}
	b, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(b, '\n'), 0o644)
}
