package scenario

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cactusproxy/cactusproxy/internal/standin/target"
	"github.com/cactusproxy/cactusproxy/internal/testcluster"
)

// cmdCall makes a call and checks its outcome and reason. With until= it repeats the call while
// the response has another reason. With as= it makes the call in the background, for await.
//
//	call [host=entry-1] [key=k] [body=text] [size=bytes] [crash=1] [times=n]
//	     [as=name] [until=reason] METHOD /path outcome/reason
func cmdCall(ts *testscript.TestScript, d *deployment, args []string) {
	opts, rest := options(args)
	requireArgs(ts, rest, 2, "call [host= key= body= size= crash= times= as= until=] METHOD /path outcome/reason")
	c := &caller{d: d, opts: opts, method: rest[0], path: rest[1]}
	if name := opts["as"]; name != "" {
		ts.Check(c.background(name))
		return
	}
	requireArgs(ts, rest, 3, "call METHOD /path outcome/reason")
	times := 1
	if v, ok := opts["times"]; ok {
		times = number(ts, v)
	}
	for i := range times {
		r, err := c.onceUntilReason()
		ts.Check(err)
		if got := r.Outcome + "/" + r.Reason; got != rest[2] {
			ts.Fatalf("call %d: got %s with status %d, want %s", i+1, got, r.Status, rest[2])
		}
	}
}

// caller makes the calls of one call command.
type caller struct {
	d            *deployment
	opts         map[string]string
	method, path string
}

func (c *caller) onceUntilReason() (testcluster.Response, error) {
	for {
		r, err := c.once()
		want := c.opts["until"]
		if err != nil || want == "" || r.Reason == want {
			return r, err
		}
		if err := c.d.ctx.Err(); err != nil {
			return r, err
		}
	}
}

func (c *caller) once() (testcluster.Response, error) {
	req, err := c.request()
	if err != nil {
		return testcluster.Response{}, err
	}
	return testcluster.Do(http.DefaultClient, req)
}

func (c *caller) request() (*http.Request, error) {
	id := c.opts["host"]
	if id == "" {
		id = hostID(0)
	}
	h, err := c.d.cluster.Host(id)
	if err != nil {
		return nil, err
	}
	body := c.opts["body"]
	if size, err := strconv.Atoi(c.opts["size"]); err == nil {
		body = strings.Repeat("x", size)
	}
	req, err := http.NewRequestWithContext(c.d.ctx, c.method, "http://"+h.CallersAddr()+c.path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	if key := c.opts["key"]; key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	if c.opts["crash"] != "" {
		req.Header.Set(target.HeaderCrash, "1")
	}
	return req, nil
}

// background starts the call and returns once the host has received it.
func (c *caller) background(name string) error {
	id := c.opts["host"]
	if id == "" {
		id = hostID(0)
	}
	h, err := c.d.cluster.Host(id)
	if err != nil {
		return err
	}
	before := h.InFlight()
	done := make(chan result, 1)
	go func() {
		r, err := c.once()
		done <- result{r, err}
	}()
	c.d.mu.Lock()
	c.d.pending[name] = done
	c.d.mu.Unlock()
	// An earlier call may end meanwhile, and then the number in flight does not rise.
	return testcluster.Wait(c.d.ctx, "the call to arrive", func() bool { return h.InFlight() > before || len(done) > 0 })
}

// cmdAwait waits for a background call and checks its outcome and reason; broken means that the
// connection was aborted.
//
//	await name outcome/reason | broken
func cmdAwait(ts *testscript.TestScript, d *deployment, args []string) {
	requireArgs(ts, args, 2, "await name outcome/reason|broken")
	d.mu.Lock()
	done := d.pending[args[0]]
	d.mu.Unlock()
	if done == nil {
		ts.Fatalf("no call named %q", args[0])
	}
	r := <-done
	if args[1] == "broken" {
		if r.err == nil {
			ts.Fatalf("connection was not aborted; got %s/%s", r.resp.Outcome, r.resp.Reason)
		}
		return
	}
	ts.Check(r.err)
	if got := r.resp.Outcome + "/" + r.resp.Reason; got != args[1] {
		ts.Fatalf("await: got %s, want %s", got, args[1])
	}
}

// cmdIssue requests an idempotency key from a host and stores it in a variable.
//
//	issue [host=entry-1] workspace/service VARIABLE
func cmdIssue(ts *testscript.TestScript, d *deployment, args []string) {
	opts, rest := options(args)
	requireArgs(ts, rest, 2, "issue [host=id] workspace/service VARIABLE")
	c := &caller{d: d, opts: opts, method: http.MethodPost, path: "/.cactusproxy/keys/" + rest[0]}
	r, err := c.once()
	ts.Check(err)
	if r.Status != http.StatusCreated {
		ts.Fatalf("issue: no key, status %d: %s", r.Status, r.Body)
	}
	ts.Setenv(rest[1], strings.TrimSpace(r.Body))
}

// cmdRuns checks how often the targets ran calls with an idempotency key, by their own records.
//
//	runs key n
func cmdRuns(ts *testscript.TestScript, d *deployment, args []string) {
	requireArgs(ts, args, 2, "runs key n")
	if n := countRuns(d, args[0]); n != number(ts, args[1]) {
		ts.Fatalf("key %s ran %d times", args[0], n)
	}
}

// countRuns counts the runs with a key on all targets, including unfinished ones.
func countRuns(d *deployment, key string) int {
	n := 0
	for _, t := range d.cluster.Targets() {
		for _, r := range t.Runs() {
			if r.Key == key {
				n++
			}
		}
	}
	return n
}

// cmdBegun waits until a target has started to run a call with an idempotency key.
//
//	begun key
func cmdBegun(ts *testscript.TestScript, d *deployment, args []string) {
	requireArgs(ts, args, 1, "begun key")
	ts.Check(testcluster.Wait(d.ctx, "a run of "+args[0], func() bool { return countRuns(d, args[0]) > 0 }))
}

// cmdRan checks how many calls a target has run since the previous ran command for it: a number,
// or a bound such as <2 or >0.
//
//	ran target n
func cmdRan(ts *testscript.TestScript, d *deployment, args []string) {
	requireArgs(ts, args, 2, "ran target n|<n|>n")
	t, err := d.cluster.Target(args[0])
	ts.Check(err)
	compare(ts, "runs of "+args[0], t.RunsSinceLast(), args[1])
}

func compare(ts *testscript.TestScript, what string, have int, want string) {
	if !holds(ts, have, want) {
		ts.Fatalf("%s: %d, want %s", what, have, want)
	}
}

// holds reports whether a value meets an expectation: a number, or a bound such as <2 or >0.
func holds(ts *testscript.TestScript, have int, want string) bool {
	switch want[0] {
	case '<':
		return have < number(ts, want[1:])
	case '>':
		return have > number(ts, want[1:])
	default:
		return have == number(ts, want)
	}
}

// cmdMetric checks the sum of a counter over all hosts.
//
//	metric map key n|<n|>n
func cmdMetric(ts *testscript.TestScript, d *deployment, args []string) {
	requireArgs(ts, args, 3, "metric map key n")
	compare(ts, args[0]+"."+args[1], sumCounter(ts, d, args[0], args[1]), args[2])
}

// cmdUntil waits until the sum of a counter over all hosts meets the expectation.
//
//	until map key n|<n|>n
func cmdUntil(ts *testscript.TestScript, d *deployment, args []string) {
	requireArgs(ts, args, 3, "until map key n")
	ts.Check(testcluster.Wait(d.ctx, args[0]+"."+args[1], func() bool {
		return holds(ts, sumCounter(ts, d, args[0], args[1]), args[2])
	}))
}

func sumCounter(ts *testscript.TestScript, d *deployment, name, key string) int {
	sum := 0
	for _, id := range d.cluster.HostIDs() {
		h, err := d.cluster.Host(id)
		ts.Check(err)
		v, err := counter(h.Metrics().String(), name, key)
		ts.Check(err)
		sum += v
	}
	return sum
}

// counter reads one counter from a map in the metrics' JSON; it is 0 if absent.
func counter(text, name, key string) (int, error) {
	var all map[string]json.RawMessage
	if err := json.Unmarshal([]byte(text), &all); err != nil {
		return 0, err
	}
	var m map[string]int
	if raw, ok := all[name]; ok {
		if err := json.Unmarshal(raw, &m); err != nil {
			return 0, fmt.Errorf("metric %s: %w", name, err)
		}
	}
	return m[key], nil
}

// cmdExpect waits until a host is ready, or knows exactly n targets or members.
//
//	expect host targets workspace/service n   targets that take new calls
//	expect host members n                     live entry hosts
//	expect host ready
func cmdExpect(ts *testscript.TestScript, d *deployment, args []string) {
	requireArgs(ts, args, 2, "expect host targets|members|ready ...")
	switch args[1] {
	case "targets":
		requireArgs(ts, args, 4, "expect host targets workspace/service n")
		workspace, service, _ := strings.Cut(args[2], "/")
		ts.Check(d.cluster.WaitTargets(d.ctx, args[0], workspace, service, number(ts, args[3])))
	case "members":
		requireArgs(ts, args, 3, "expect host members n")
		ts.Check(d.cluster.WaitMembers(d.ctx, args[0], number(ts, args[2])))
	case "ready":
		ts.Check(d.cluster.WaitReady(d.ctx, args[0]))
	default:
		ts.Fatalf("expect: unknown condition %q", args[1])
	}
}
