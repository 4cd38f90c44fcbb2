// Command stand runs one scenario of the review: a small deployment of real daemons on loopback
// addresses, with stand-ins of the platform's store, of backends and of clients.
//
// Exit codes: 0 the rule held, 1 the rule was broken, 2 the scenario could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// scenario plays one case and returns whether the rule was broken.
type scenario func(d *deployment, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"quota-power-loss":      quotaPowerLoss,
	"poison-after-restarts": poisonAfterRestarts,
	"poison-large-upload":   poisonLargeUpload,
	"poison-of-one-caller":  poisonOfOneCaller,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand SCENARIO RECORD")
		return exitNotRun
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	d, err := newDeployment(root, os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.close()
	go d.endOnSignal()
	broken, err := scenarios[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		d.record("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		d.record("the rule was broken")
		return exitBroken
	default:
		d.record("the rule held")
		return exitHeld
	}
}

// endOnSignal ends all processes of the scenario when this one is told to end.
func (d *deployment) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	d.close()
	os.Exit(exitNotRun)
}

// binary returns the path of the daemon as the deploy file builds it.
func binary(root string) string { return filepath.Join(root, "target", "cactusproxyd") }
