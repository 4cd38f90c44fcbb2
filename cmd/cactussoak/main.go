// Command cactussoak runs entry hosts as separate processes, injects random faults, and
// checks the guarantees given to callers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/cactusproxy/cactusproxy/internal/soak"
)

type args struct {
	From      uint64        `arg:"--from" default:"1" help:"first seed"`
	Seeds     uint64        `arg:"--seeds" default:"5" help:"number of seeds"`
	Processes int           `arg:"--hosts" default:"6" help:"entry hosts of a run"`
	Callers   int           `arg:"--callers" default:"24" help:"callers of a run"`
	For       time.Duration `arg:"--for" default:"15s" help:"how long hosts are disturbed"`
	Dir       string        `arg:"--dir" help:"folder for logs; a new one under the system's if left out"`
}

func (args) Description() string {
	return "cactussoak disturbs entry hosts at random and checks the promises to callers.\n\n" +
		"Exit codes: 0 all kept, 1 a promise broken or a run failed. Logs of seeds that broke one are kept."
}

func main() { os.Exit(run()) }

func run() int {
	var a args
	arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if a.Dir == "" {
		dir, err := os.MkdirTemp("", "cactussoak-")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		a.Dir = dir
	}
	binary, err := soak.Build(ctx, a.Dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	broken := 0
	for seed := a.From; seed < a.From+a.Seeds && ctx.Err() == nil; seed++ {
		if !runSeed(ctx, &a, binary, seed) {
			broken++
		}
	}
	fmt.Printf("%d of %d seeds broke a promise; logs in %s\n", broken, a.Seeds, a.Dir)
	if broken > 0 || ctx.Err() != nil {
		return 1
	}
	return 0
}

// runSeed runs one seed and reports whether all guarantees held. It deletes the logs if
// they did.
func runSeed(ctx context.Context, a *args, binary string, seed uint64) bool {
	dir := filepath.Join(a.Dir, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	res, err := soak.Run(ctx, soak.Options{
		Seed: seed, Binary: binary, Dir: dir, Processes: a.Processes, Callers: a.Callers, For: a.For,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, "seed", seed, err)
		return false
	}
	fmt.Printf("seed %d: %d requests, %d served, at most %d a second at a cold target, %d promises broken\n",
		seed, res.Requests, res.Served, res.MostCold, len(res.Findings))
	if len(res.Findings) == 0 {
		_ = os.RemoveAll(dir)
		return true
	}
	for _, f := range res.Findings {
		fmt.Println("  broken:", f)
	}
	for _, f := range res.Actions {
		fmt.Println("  done:  ", f)
	}
	return false
}
