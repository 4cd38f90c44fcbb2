// Package scenario defines the testscript commands of the scenarios in testdata/script. The
// commands build a deployment, inject failures and check the results. Each script has its own
// deployment over loopback (package testcluster). A command that waits does so for a condition,
// never for a fixed time.
package scenario

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cactusproxy/cactusproxy/internal/testcluster"
)

// deployment is the state of one script: its cluster, background calls and load.
type deployment struct {
	cluster *testcluster.Cluster
	ctx     context.Context

	mu       sync.Mutex
	pending  map[string]chan result
	examples string
	load     *load
}

// result is the result of a background call.
type result struct {
	resp testcluster.Response
	err  error
}

type deploymentKey struct{}

// scriptTimeout bounds a whole script, far above the duration of any: a script that reaches it
// hangs.
const scriptTimeout = 4 * time.Minute

// Params returns the testscript parameters to run the scripts of a folder. examples is the folder
// of the example deployments.
func Params(dir, examples string) testscript.Params {
	return testscript.Params{
		Dir:   dir,
		Setup: func(env *testscript.Env) error { return setup(env, examples) },
		Cmds:  commands,
	}
}

// stopNotice is how long hosts announce that they are about to stop. It is long enough for a
// caller that has just checked a host's readiness to send its call, also on a busy machine.
const stopNotice = 400 * time.Millisecond

func setup(env *testscript.Env, examples string) error {
	l, err := testcluster.New(testcluster.Options{Notice: stopNotice})
	if err != nil {
		return err
	}
	abs, err := filepath.Abs(examples)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), scriptTimeout)
	env.Defer(func() {
		cancel()
		l.Close()
	})
	env.Values[deploymentKey{}] = &deployment{cluster: l, ctx: ctx, pending: make(map[string]chan result), examples: abs}
	return nil
}

// commands are documented at the functions that implement them.
var commands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	"hosts":   command(cmdHosts),
	"host":    command(cmdHost),
	"stop":    command(cmdStop),
	"crash":   command(cmdCrash),
	"targets": command(cmdTargets),
	"target":  command(cmdTarget),
	"apply":   command(cmdApply),
	"table":   command(cmdTable),
	"call":    command(cmdCall),
	"await":   command(cmdAwait),
	"issue":   command(cmdIssue),
	"runs":    command(cmdRuns),
	"begun":   command(cmdBegun),
	"ran":     command(cmdRan),
	"metric":  command(cmdMetric),
	"until":   command(cmdUntil),
	"expect":  command(cmdExpect),
	"load":    command(cmdLoad),
	"replace": command(cmdReplace),
}

// command adapts a command function to testscript and rejects negation with !, because each
// command states the result it expects.
func command(f func(*testscript.TestScript, *deployment, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("this command can not be negated with !")
		}
		f(ts, ts.Value(deploymentKey{}).(*deployment), args)
	}
}

// requireArgs fails the script unless there are at least n arguments.
func requireArgs(ts *testscript.TestScript, args []string, n int, usage string) {
	if len(args) < n {
		ts.Fatalf("usage: %s", usage)
	}
}

// options splits leading name=value arguments from the rest.
func options(args []string) (opts map[string]string, rest []string) {
	opts = make(map[string]string)
	for len(args) > 0 {
		name, value, ok := strings.Cut(args[0], "=")
		if !ok || strings.ContainsAny(name, "/ {") {
			break
		}
		opts[name] = value
		args = args[1:]
	}
	return opts, args
}

func readFile(ts *testscript.TestScript, name string) string {
	b, err := os.ReadFile(name)
	ts.Check(err)
	return string(b)
}
