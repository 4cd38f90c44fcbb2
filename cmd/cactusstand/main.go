// Command cactusstand runs a simulated platform or a simulated target for development
// and tests of cactusproxy. It is not for production.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/internal/logging"
	"github.com/cactusproxy/cactusproxy/internal/version"
)

// Exit statuses.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// args holds the command-line arguments.
type args struct {
	Platform *platformArgs `arg:"subcommand:platform" help:"serve the platform's table, objects and host list"`
	Target   *targetArgs   `arg:"subcommand:target" help:"serve one target"`
}

// Description is shown by --help.
func (args) Description() string {
	return "Simulated platform and targets for cactusproxy. SIGTERM and SIGINT stop them gracefully."
}

// Version is shown by --version.
func (args) Version() string { return "cactusstand " + version.String() }

// stopTimeout bounds the time to complete requests in flight on shutdown.
const stopTimeout = 10 * time.Minute

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	status := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}

// run runs the command until ctx ends and returns its exit status.
func run(ctx context.Context, line []string, stdout, stderr io.Writer) int {
	var a args
	parser, err := arg.NewParser(arg.Config{Program: "cactusstand", Out: stderr}, &a)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	switch err := parser.Parse(line); {
	case err == arg.ErrHelp:
		_ = parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...)
		return exitOK
	case err == arg.ErrVersion:
		fmt.Fprintln(stdout, a.Version())
		return exitOK
	case err != nil:
		parser.WriteUsage(stderr)
		fmt.Fprintln(stderr, "error:", err)
		return exitUsage
	}
	log, err := logging.New(stdout, "")
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitError
	}
	switch {
	case a.Platform != nil:
		err = servePlatform(ctx, *a.Platform, log)
	case a.Target != nil:
		err = serveTarget(ctx, *a.Target, log)
	default:
		parser.WriteHelp(stderr)
		return exitUsage
	}
	if err != nil {
		log.Error("exiting after an error", zap.Error(err))
		return exitError
	}
	return exitOK
}
