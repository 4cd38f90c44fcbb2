// Command cactusdemo demonstrates cactusproxy in one process, with three entry hosts
// in three availability zones, a simulated platform and the targets of both example
// deployments. It sends real requests over loopback, prints the result of each step,
// and exits with 0 only if every step gave the expected result.
package main

import (
	"context"
	"fmt"
	"io/fs"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/cactusproxy/cactusproxy/examples"
	"github.com/cactusproxy/cactusproxy/internal/logging"
	"github.com/cactusproxy/cactusproxy/internal/testcluster"
	"github.com/cactusproxy/cactusproxy/internal/version"
)

type args struct {
	Stay     bool   `arg:"--stay" help:"keep everything running afterwards and print addresses for curl"`
	Examples string `arg:"--examples" help:"folder with other declarations than those built in"`
	Log      string `arg:"--log" default:"error" help:"level of the hosts' logs on standard error: debug, info, warn or error"`
}

func (args) Description() string {
	return "cactusdemo starts a small deployment in one process and shows what it promises."
}

// files returns the declarations that the demo applies.
func (a args) files() fs.FS {
	if a.Examples == "" {
		return examples.Files
	}
	return os.DirFS(a.Examples)
}

func (args) Version() string { return "cactusdemo " + version.String() }

// runTimeout bounds the whole run.
const runTimeout = 50 * time.Second

func main() { os.Exit(run()) }

func run() int {
	var a args
	arg.MustParse(&a)
	log, err := logging.New(os.Stderr, a.Log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	l, err := testcluster.New(testcluster.Options{Log: log})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer l.Close()
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	d := &demo{lab: l, examples: a.files(), out: os.Stdout}
	ok := d.run(ctx)
	if a.Stay && ok {
		d.waitForSignal()
	}
	if !ok {
		return 1
	}
	return 0
}

// waitForSignal prints the addresses of the deployment and blocks until a signal.
func (d *demo) waitForSignal() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	fmt.Fprintln(d.out, "\nrunning until interrupted:")
	for _, id := range d.hosts {
		h, err := d.lab.Host(id)
		if err != nil {
			continue
		}
		fmt.Fprintf(d.out, "  %s  callers http://%s  operators http://%s\n", id, h.CallersAddr(), h.OperatorsAddr())
	}
	fmt.Fprintf(d.out, "  platform  %s\n", d.lab.PlatformURL())
	fmt.Fprintf(d.out, "try:  curl -i http://<callers>/%s/catalogue/lots\n", auction)
	<-ctx.Done()
}
