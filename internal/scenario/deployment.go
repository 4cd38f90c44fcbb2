package scenario

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cactusproxy/cactusproxy/controller/config"
	"github.com/cactusproxy/cactusproxy/internal/standin/platform"
	"github.com/cactusproxy/cactusproxy/internal/standin/target"
)

// cmdHosts starts entry hosts entry-1 to entry-n, in zones a, b and c in turn, and waits until
// they are ready and see each other.
//
//	hosts n
func cmdHosts(ts *testscript.TestScript, d *deployment, args []string) {
	requireArgs(ts, args, 1, "hosts n")
	n := number(ts, args[0])
	for i := range n {
		_, err := d.cluster.AddHost(hostID(i), "zone-"+string(rune('a'+i%3)))
		ts.Check(err)
	}
	for i := range n {
		ts.Check(d.cluster.WaitMembers(d.ctx, hostID(i), n))
		ts.Check(d.cluster.WaitReady(d.ctx, hostID(i)))
	}
}

// cmdHost starts one more entry host.
//
//	host id zone
func cmdHost(ts *testscript.TestScript, d *deployment, args []string) {
	requireArgs(ts, args, 2, "host id zone")
	_, err := d.cluster.AddHost(args[0], args[1])
	ts.Check(err)
}

func hostID(i int) string { return fmt.Sprintf("entry-%d", i+1) }

// cmdStop stops hosts gracefully, and fails if one of them returns an error.
//
//	stop host...
func cmdStop(ts *testscript.TestScript, d *deployment, args []string) {
	for _, id := range args {
		ts.Check(d.cluster.Stop(id))
	}
}

// cmdCrash stops hosts abruptly, as in a crash.
//
//	crash host...
func cmdCrash(ts *testscript.TestScript, d *deployment, args []string) {
	for _, id := range args {
		ts.Check(d.cluster.Kill(id))
	}
}

// cmdTargets starts targets <service>-1 to <service>-n of a service and waits
// until every host knows them.
//
//	targets workspace/service n [slots=2] [queue=16] [mean=1ms]
func cmdTargets(ts *testscript.TestScript, d *deployment, args []string) {
	requireArgs(ts, args, 2, "targets workspace/service n [slots=2] [queue=16] [mean=1ms]")
	workspace, service, _ := strings.Cut(args[0], "/")
	n := number(ts, args[1])
	opts, _ := options(args[2:])
	o := target.Options{Slots: 2, Queue: 16, MaxConns: 200}
	if v, ok := opts["slots"]; ok {
		o.Slots = number(ts, v)
	}
	if v, ok := opts["queue"]; ok {
		o.Queue = number(ts, v)
	}
	if v, ok := opts["mean"]; ok {
		d, err := time.ParseDuration(v)
		ts.Check(err)
		o.Behaviour.ServiceMean = d
	}
	for i := range n {
		o.Seed = uint64(i)
		id := fmt.Sprintf("%s-%d", service, i+1)
		_, err := d.cluster.AddTarget(id, "zone-"+string(rune('a'+i%3)), workspace, service, o)
		ts.Check(err)
	}
	for _, id := range d.cluster.HostIDs() {
		ts.Check(d.cluster.WaitTargets(d.ctx, id, workspace, service, n))
	}
}

// cmdTarget changes the behaviour or state of a target.
//
//	target id behave {"failFast": true}   see target.Behaviour
//	target id crash | restart | drain
//	target id leave                       mark it as leaving in the list
func cmdTarget(ts *testscript.TestScript, d *deployment, args []string) {
	requireArgs(ts, args, 2, "target id behave|crash|restart|drain|leave")
	t, err := d.cluster.Target(args[0])
	ts.Check(err)
	switch args[1] {
	case "behave":
		requireArgs(ts, args, 3, "target id behave json")
		var b target.Behaviour
		ts.Check(json.Unmarshal([]byte(args[2]), &b))
		t.SetBehaviour(b)
	case "crash":
		t.Crash()
	case "restart":
		ts.Check(t.Restart())
	case "drain":
		t.Drain(time.Hour)
	case "leave":
		d.cluster.MarkLeaving(args[0])
	default:
		ts.Fatalf("target: unknown change %q", args[1])
	}
}

// cmdApply applies an example deployment, or a template and a workspace from the script, through
// entry-1 (or host=) and waits until the change is in effect on every host. base= is the version
// of the workspace that the change is based on, by default the current one. want= is the expected
// result.
//
//	apply [host=entry-1] [base=n] [want=applied] auction|repairs
//	apply [host=entry-1] [base=n] [want=applied] template-file workspace-file
func cmdApply(ts *testscript.TestScript, d *deployment, args []string) {
	opts, rest := options(args)
	host := opts["host"]
	if host == "" {
		host = hostID(0)
	}
	requireArgs(ts, rest, 1, "apply [host=id] example | template-file workspace-file")
	var template, workspace config.File
	if len(rest) == 1 {
		dir := filepath.Join(d.examples, rest[0])
		template = file(ts, filepath.Join(dir, "template.jsonc"))
		workspace = file(ts, filepath.Join(dir, "workspace.jsonc"))
	} else {
		template = file(ts, ts.MkAbs(rest[0]))
		workspace = file(ts, ts.MkAbs(rest[1]))
	}
	var base *uint64
	if v, ok := opts["base"]; ok {
		n := uint64(number(ts, v))
		base = &n
	}
	r, err := d.cluster.ApplyText(d.ctx, host, template, workspace, base)
	ts.Check(err)
	want := config.ResultApplied
	if v, ok := opts["want"]; ok {
		want = config.Result(v)
	}
	if r.Result != want {
		ts.Fatalf("apply: result %s, %s, problems %v", r.Result, r.Detail, r.Problems)
	}
	if want == config.ResultApplied && (r.Status == nil || !r.Status.InForce) {
		ts.Fatalf("apply: not in force everywhere: %+v", r.Status)
	}
}

func file(ts *testscript.TestScript, name string) config.File {
	return config.File{Name: filepath.Base(name), Text: readFile(ts, name)}
}

// cmdTable sets the faults of the platform's table, object store and host list.
//
//	table up | down
//	table slow 50ms
//	table loses 0.3     share of writes that are applied but whose reply is lost
func cmdTable(ts *testscript.TestScript, d *deployment, args []string) {
	requireArgs(ts, args, 1, "table up|down|slow d|loses share")
	var f platform.Faults
	switch args[0] {
	case "up":
	case "down":
		f.Down = true
	case "slow":
		d, err := time.ParseDuration(args[1])
		ts.Check(err)
		f.Delay = d
	case "loses":
		share, err := strconv.ParseFloat(args[1], 64)
		ts.Check(err)
		f.LoseReplies = share
		f.Seed = 1
	default:
		ts.Fatalf("table: unknown state %q", args[0])
	}
	d.cluster.Platform.SetFaults(f)
}

func number(ts *testscript.TestScript, s string) int {
	n, err := strconv.Atoi(s)
	ts.Check(err)
	return n
}
