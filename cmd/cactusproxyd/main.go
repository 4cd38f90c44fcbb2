// Command cactusproxyd runs one entry host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy"
	"github.com/cactusproxy/cactusproxy/internal/logging"
	"github.com/cactusproxy/cactusproxy/internal/version"
	"github.com/cactusproxy/cactusproxy/settings"
)

// Exit codes.
const (
	exitOK = iota
	exitFailed
	exitUsage
)

type settingsArg struct {
	Settings string `arg:"positional,required" help:"settings file, JSON with comments"`
}

type args struct {
	Serve *settingsArg `arg:"subcommand:serve" help:"run until SIGTERM or SIGINT, then stop without cutting off a call"`
	Check *settingsArg `arg:"subcommand:check" help:"check a settings file and exit"`
}

func (args) Description() string {
	return "cactusproxyd is an entry host: it carries callers' HTTP calls to targets."
}

func (args) Version() string { return "cactusproxyd " + version.String() }

func main() { os.Exit(run()) }

func run() int {
	var a args
	p := arg.MustParse(&a)
	switch {
	case a.Serve != nil:
		return serve(a.Serve.Settings)
	case a.Check != nil:
		return check(a.Check.Settings)
	default:
		p.WriteHelp(os.Stderr)
		return exitUsage
	}
}

func check(file string) int {
	if _, err := settings.Load(file); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	fmt.Println(file + ": good")
	return exitOK
}

func serve(file string) int {
	s, err := settings.Load(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	log, err := logging.New(os.Stderr, s.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	d, err := cactusproxy.New(s, cactusproxy.WithLog(log))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := d.Run(ctx); err != nil {
		log.Error("stopped", zap.Error(err))
		return exitFailed
	}
	return exitOK
}
