// Command cactusproxyd runs one entry host of the load balancer.
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
	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/edge"
	"github.com/cactusproxy/cactusproxy/internal/invariant"
	"github.com/cactusproxy/cactusproxy/internal/logging"
	"github.com/cactusproxy/cactusproxy/internal/version"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/platform"
	"github.com/cactusproxy/cactusproxy/settings"
)

// Exit codes.
const (
	exitOK = iota
	exitFailed
	exitUsage
)

type settingsArg struct {
	Settings string `arg:"positional" help:"settings file, JSON with comments; default the file that the platform names in the environment"`
}

// file returns the path of the settings file.
func (a *settingsArg) file() string {
	if a.Settings != "" {
		return a.Settings
	}
	return platform.SettingsFile()
}

type args struct {
	Serve *settingsArg `arg:"subcommand:serve" help:"serve until SIGTERM or SIGINT, then stop gracefully"`
	Check *settingsArg `arg:"subcommand:check" help:"check a settings file and exit"`
}

func (args) Description() string {
	return "cactusproxyd is an entry host: it forwards HTTP requests of callers to targets."
}

func (args) Version() string { return "cactusproxyd " + version.String() }

func main() { os.Exit(run()) }

func run() int {
	var a args
	p := arg.MustParse(&a)
	switch {
	case a.Serve != nil:
		return serve(a.Serve.file())
	case a.Check != nil:
		return check(a.Check.file())
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
	// Until their handlers are installed, signals end the process.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	s, err := settings.Load(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	lines := logging.NewWriter(os.Stdout)
	defer lines.Flush()
	log, err := logging.New(lines, s.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	logging.CaptureLibrary(log)
	d, err := newDaemon(s, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	invariant.SetHandler(func(name invariant.Name, detail string) {
		log.Error("invariant broken", zap.String("name", string(name)), zap.String("detail", detail))
		lines.Flush()
		invariant.Stop(name, detail)
	})
	go settings.Watch(ctx, file, hup, d.Reload)
	if err := d.Run(ctx); err != nil {
		log.Error("stopped", zap.Error(err))
		return exitFailed
	}
	return exitOK
}

// daemon is an entry host, either a cactusproxy.Daemon or an edge.Daemon.
type daemon interface {
	Run(ctx context.Context) error
	// Reload handles a change of the settings file.
	Reload(c settings.Change)
}

// newDaemon builds the kind of entry host that the settings select.
func newDaemon(s *settings.Settings, log *zap.Logger) (daemon, error) {
	if s.Directory.Store == "" {
		return cactusproxy.New(s, cactusproxy.WithLog(log))
	}
	store := platform.NewStore(s.Directory.Store)
	return edge.New(s, edge.Platform{
		Directory: func(m *metrics.Set, log *zap.Logger) directory.Source {
			return platform.NewDirectory(store, m, log)
		},
		Contract:  platform.Contract(),
		ReadyPath: platform.ReadyPath,
	}, log)
}
