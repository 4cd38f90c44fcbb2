package scenario

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cactusproxy/cactusproxy/internal/testcluster"
	"github.com/cactusproxy/cactusproxy/internal/standin/target"
)

// cmdCall makes a call and checks what the caller is told. With until it is
// sent again while the reply has another reason; with as it is made in the
// background, for await.
//
//	call [host=entry-1] [key=k] [body=text] [size=bytes] [crash=1] [times=n]
//	     [as=name] [until=reason] METHOD /path outcome/reason
func cmdCall(ts *testscript.TestScript, w *world, args []string) {
	opts, rest := options(args)
	need(ts, rest, 2, "call [host= key= body= size= crash= times= as= until=] METHOD /path outcome/reason")
	c := &caller{w: w, opts: opts, method: rest[0], path: rest[1]}
	if name := opts["as"]; name != "" {
		ts.Check(c.background(name))
		return
	}
	need(ts, rest, 3, "call METHOD /path outcome/reason")
	times := 1
	if v, ok := opts["times"]; ok {
		times = number(ts, v)
	}
	for i := range times {
		r, err := c.until()
		ts.Check(err)
		if told := r.Outcome + "/" + r.Reason; told != rest[2] {
			ts.Fatalf("call %d: told %s with status %d, want %s", i+1, told, r.Status, rest[2])
		}
	}
}

// caller makes the calls of one command.
type caller struct {
	w            *world
	opts         map[string]string
	method, path string
}

func (c *caller) until() (testcluster.Response, error) {
	for {
		r, err := c.once()
		want := c.opts["until"]
		if err != nil || want == "" || r.Reason == want {
			return r, err
		}
		if err := c.w.ctx.Err(); err != nil {
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
	h, err := c.w.lab.Host(id)
	if err != nil {
		return nil, err
	}
	body := c.opts["body"]
	if size, err := strconv.Atoi(c.opts["size"]); err == nil {
		body = strings.Repeat("x", size)
	}
	req, err := http.NewRequestWithContext(c.w.ctx, c.method, "http://"+h.CallersAddr()+c.path, strings.NewReader(body))
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

// background sends the call and returns once a host has it.
func (c *caller) background(name string) error {
	id := c.opts["host"]
	if id == "" {
		id = hostID(0)
	}
	h, err := c.w.lab.Host(id)
	if err != nil {
		return err
	}
	before := h.InFlight()
	done := make(chan result, 1)
	go func() {
		r, err := c.once()
		done <- result{r, err}
	}()
	c.w.mu.Lock()
	c.w.pending[name] = done
	c.w.mu.Unlock()
	// A call before it may end meanwhile, and then the number does not rise.
	return testcluster.Wait(c.w.ctx, "the call to arrive", func() bool { return h.InFlight() > before || len(done) > 0 })
}

// cmdAwait waits for a call in the background and checks what its caller is
// told; broken means that the connection broke off.
//
//	await name outcome/reason | broken
func cmdAwait(ts *testscript.TestScript, w *world, args []string) {
	need(ts, args, 2, "await name outcome/reason|broken")
	w.mu.Lock()
	done := w.pending[args[0]]
	w.mu.Unlock()
	if done == nil {
		ts.Fatalf("no call named %q", args[0])
	}
	r := <-done
	if args[1] == "broken" {
		if r.err == nil {
			ts.Fatalf("the caller got an answer: %s/%s", r.resp.Outcome, r.resp.Reason)
		}
		return
	}
	ts.Check(r.err)
	if told := r.resp.Outcome + "/" + r.resp.Reason; told != args[1] {
		ts.Fatalf("told %s, want %s", told, args[1])
	}
}

// cmdIssue has a host issue an idempotency key and keeps it in a variable.
//
//	issue [host=entry-1] workspace/service VARIABLE
func cmdIssue(ts *testscript.TestScript, w *world, args []string) {
	opts, rest := options(args)
	need(ts, rest, 2, "issue [host=id] workspace/service VARIABLE")
	c := &caller{w: w, opts: opts, method: http.MethodPost, path: "/.cactusproxy/keys/" + rest[0]}
	r, err := c.once()
	ts.Check(err)
	if r.Status != http.StatusCreated {
		ts.Fatalf("no key: status %d %s", r.Status, r.Body)
	}
	ts.Setenv(rest[1], strings.TrimSpace(r.Body))
}

// cmdRuns checks how often the targets ran an idempotency key, by their own
// record.
//
//	runs key n
func cmdRuns(ts *testscript.TestScript, w *world, args []string) {
	need(ts, args, 2, "runs key n")
	if n := runsOf(w, args[0]); n != number(ts, args[1]) {
		ts.Fatalf("key %s ran %d times", args[0], n)
	}
}

// runsOf counts the runs of a key at all targets, those that have not ended yet
// among them.
func runsOf(w *world, key string) int {
	n := 0
	for _, t := range w.lab.Targets() {
		for _, r := range t.Runs() {
			if r.Key == key {
				n++
			}
		}
	}
	return n
}

// cmdBegun waits until a target has begun to run an idempotency key.
//
//	begun key
func cmdBegun(ts *testscript.TestScript, w *world, args []string) {
	need(ts, args, 1, "begun key")
	ts.Check(testcluster.Wait(w.ctx, "a run of "+args[0], func() bool { return runsOf(w, args[0]) > 0 }))
}

// cmdRan checks the number of calls that one target ran since the last look at
// it: a number, or a bound such as <2 or >0.
//
//	ran target n
func cmdRan(ts *testscript.TestScript, w *world, args []string) {
	need(ts, args, 2, "ran target n|<n|>n")
	t, err := w.lab.Target(args[0])
	ts.Check(err)
	compare(ts, "runs of "+args[0], t.RunsSinceLast(), args[1])
}

func compare(ts *testscript.TestScript, what string, have int, want string) {
	if !holds(ts, have, want) {
		ts.Fatalf("%s: %d, want %s", what, have, want)
	}
}

// holds compares with a number, or with a bound such as <2 or >0.
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

// cmdMetric checks a counter summed over all hosts.
//
//	metric map key n|<n|>n
func cmdMetric(ts *testscript.TestScript, w *world, args []string) {
	need(ts, args, 3, "metric map key n")
	compare(ts, args[0]+"."+args[1], sumCounter(ts, w, args[0], args[1]), args[2])
}

// cmdUntil waits until a counter summed over all hosts is as wanted.
//
//	until map key n|<n|>n
func cmdUntil(ts *testscript.TestScript, w *world, args []string) {
	need(ts, args, 3, "until map key n")
	ts.Check(testcluster.Wait(w.ctx, args[0]+"."+args[1], func() bool {
		return holds(ts, sumCounter(ts, w, args[0], args[1]), args[2])
	}))
}

func sumCounter(ts *testscript.TestScript, w *world, name, key string) int {
	sum := 0
	for _, id := range w.lab.HostIDs() {
		h, err := w.lab.Host(id)
		ts.Check(err)
		v, err := counter(h.Metrics().String(), name, key)
		ts.Check(err)
		sum += v
	}
	return sum
}

// counter reads one counter of a map from the metrics' JSON; 0 if it is absent.
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

// cmdExpect waits until a host sees a number of things.
//
//	expect host targets workspace/service n   targets that take new calls
//	expect host members n                     live entry hosts
//	expect host ready
func cmdExpect(ts *testscript.TestScript, w *world, args []string) {
	need(ts, args, 2, "expect host targets|members|ready ...")
	switch args[1] {
	case "targets":
		need(ts, args, 4, "expect host targets workspace/service n")
		workspace, service, _ := strings.Cut(args[2], "/")
		ts.Check(w.lab.WaitTargets(w.ctx, args[0], workspace, service, number(ts, args[3])))
	case "members":
		need(ts, args, 3, "expect host members n")
		ts.Check(w.lab.WaitMembers(w.ctx, args[0], number(ts, args[2])))
	case "ready":
		ts.Check(w.lab.WaitReady(w.ctx, args[0]))
	default:
		ts.Fatalf("expect: unknown condition %q", args[1])
	}
}
