// Package scenario is the language of the scenarios in testdata/script: commands
// for testscript that build a deployment, bring about failures and say what must
// be seen. Each script has a deployment of its own (internal/lab) over loopback.
// Commands that wait do so for a condition, never for a time.
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

// world is the deployment of one script.
type world struct {
	lab *testcluster.Cluster
	ctx context.Context

	mu       sync.Mutex
	pending  map[string]chan result
	examples string
	load     *load
}

// result is what a call in the background came to.
type result struct {
	resp testcluster.Response
	err  error
}

type worldKey struct{}

// patience bounds a whole script. It is far above what any takes: a script that
// reaches it hangs.
const patience = 4 * time.Minute

// Params returns the testscript parameters that run the scripts of a folder.
// examples is the folder with the example declarations.
func Params(dir, examples string) testscript.Params {
	return testscript.Params{
		Dir:   dir,
		Setup: func(env *testscript.Env) error { return setup(env, examples) },
		Cmds:  commands,
	}
}

// notice is how long hosts announce a stop. A caller that has looked at a host's
// readiness sends well within it, also on a busy machine.
const notice = 400 * time.Millisecond

func setup(env *testscript.Env, examples string) error {
	l, err := testcluster.New(testcluster.Options{Notice: notice})
	if err != nil {
		return err
	}
	abs, err := filepath.Abs(examples)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	env.Defer(func() {
		cancel()
		l.Close()
	})
	env.Values[worldKey{}] = &world{lab: l, ctx: ctx, pending: make(map[string]chan result), examples: abs}
	return nil
}

// commands of the language; each is documented at its function.
var commands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	"hosts":   positive(cmdHosts),
	"host":    positive(cmdHost),
	"stop":    positive(cmdStop),
	"crash":   positive(cmdCrash),
	"targets": positive(cmdTargets),
	"target":  positive(cmdTarget),
	"apply":   positive(cmdApply),
	"table":   positive(cmdTable),
	"call":    positive(cmdCall),
	"await":   positive(cmdAwait),
	"issue":   positive(cmdIssue),
	"runs":    positive(cmdRuns),
	"begun":   positive(cmdBegun),
	"ran":     positive(cmdRan),
	"metric":  positive(cmdMetric),
	"until":   positive(cmdUntil),
	"expect":  positive(cmdExpect),
	"load":    positive(cmdLoad),
	"replace": positive(cmdReplace),
}

// positive refuses the ! that testscript offers: each command says itself what
// it wants to see.
func positive(f func(*testscript.TestScript, *world, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("this command takes no !")
		}
		f(ts, ts.Value(worldKey{}).(*world), args)
	}
}

// need fails the script unless there are at least n arguments.
func need(ts *testscript.TestScript, args []string, n int, usage string) {
	if len(args) < n {
		ts.Fatalf("usage: %s", usage)
	}
}

// options splits name=value arguments off the front.
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
