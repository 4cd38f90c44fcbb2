package client

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/internal/bench/confignet"
	"github.com/cactusproxy/cactusproxy/internal/standin/store"
	"github.com/cactusproxy/cactusproxy/operator"
)

const token = "right"

// testHost is one host that serves its operator API on loopback.
type testHost struct {
	t     *testing.T
	fleet *confignet.Fleet
	addr  string
	dir   string
}

func newTestHost(t *testing.T, wrap func(http.Handler) http.Handler) *testHost {
	t.Helper()
	f := confignet.NewFleet(1)
	t.Cleanup(f.Close)
	h := f.Hosts()[0]
	srv := httptest.NewServer(wrap(operator.New(operator.Deps{
		Config: h.Controller, Metrics: h.Metrics, Log: zap.NewNop(), Token: token,
	})))
	t.Cleanup(srv.Close)
	b := &testHost{t: t, fleet: f, addr: srv.URL, dir: t.TempDir()}
	b.writeFile("token", token+"\n")
	b.writeFile("wrong", "guess")
	b.writeFile("template", confignet.Template().Text)
	b.writeFile("w7", confignet.Workspace("w", 7).Text)
	b.writeFile("w8", confignet.Workspace("w", 8).Text)
	b.writeFile("bad", confignet.Workspace("w", 0).Text)
	return b
}

func unwrapped(h http.Handler) http.Handler { return h }

func (h *testHost) writeFile(name, text string) {
	assert.NilError(h.t, os.WriteFile(filepath.Join(h.dir, name), []byte(text), 0o600))
}

// run runs cactusctl, replacing @name arguments by file paths, checks the exit code
// and returns the combined output.
func (h *testHost) run(want int, args ...string) string {
	h.t.Helper()
	for i, a := range args {
		if name, ok := strings.CutPrefix(a, "@"); ok {
			args[i] = filepath.Join(h.dir, name)
		}
	}
	var out bytes.Buffer
	code := Main(context.Background(), append([]string{"--addr", h.addr, "--as", "ana"}, args...), &out, &out)
	assert.Equal(h.t, code, want, "%s", out.String())
	return out.String()
}

func assertContains(t *testing.T, text, want string) {
	t.Helper()
	assert.Check(t, strings.Contains(text, want), "want %q in:\n%s", want, text)
}

func TestCommandsAndExitCodes(t *testing.T) {
	b := newTestHost(t, unwrapped)
	assertContains(t, b.run(ExitDone, "plan", "@w7", "--template", "@template"), "apply with --base 0")
	apply := []string{"apply", "--token-file", "@token", "--template", "@template"}
	assertContains(t, b.run(ExitDone, append(apply, "@w7", "--base", "0", "--wait")...), "in force on all 1 hosts")
	assertContains(t, b.run(ExitDone, "plan", "@w8"), "~ maxInFlight: 7 -> 8\n1 differences; apply with --base 1")
	assertContains(t, b.run(ExitConflict, append(apply, "@w8", "--base", "0")...), `version=1 who="ana"`)
	assertContains(t, b.run(ExitFailed, append(apply, "@bad", "--base", "1")...), "bad:1: parameters.maxInFlight")
	assertContains(t, b.run(ExitFailed, "apply", "--token-file", "@wrong", "@w8", "--base", "1"), "token missing or wrong")
	assertContains(t, b.run(ExitDone, append(apply, "@w8", "--base", "1")...), "applied: sequence=2")
	assertContains(t, b.run(ExitDone, "rollback", "w", "--to", "1", "--base", "2", "--token-file", "@token"), "rollback_to=1")
	assertContains(t, b.run(ExitDone, "status"), "workspace=w version=3 template=bench/1")
	assert.Equal(t, strings.Count(b.run(ExitDone, "history", "w", "--limit", "2"), "\n"), 2)
	b.fleet.Store.SetFaults(store.Faults{Down: true})
	assertContains(t, b.run(ExitFailed, append(apply, "@w7", "--base", "3")...), "nothing was changed")
}

func TestUsage(t *testing.T) {
	b := newTestHost(t, unwrapped)
	assertContains(t, b.run(ExitUsage, "apply", "@w7", "--token-file", "@token"), "--base VERSION")
	assertContains(t, b.run(ExitUsage, "apply", "@w7", "--base", "0"), "--token-file is required")
	assertContains(t, b.run(ExitUsage), "want one of plan")
	assertContains(t, b.run(ExitDone, "--help"), "Exit codes")
	assertContains(t, b.run(ExitDone, "apply", "--help"), "workspace version that plan showed")
	assertContains(t, b.run(ExitDone, "--version"), "cactusctl ")
}

// Guards against applying a change twice, or reporting it as failed, if the connection
// breaks after the commit and before the reply. The client retries with the same
// change ID, and the history must list the change once.
func TestBrokenConnectionAfterTheCommit(t *testing.T) {
	broken := false
	b := newTestHost(t, func(h http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != operator.PathApply || broken {
				h.ServeHTTP(w, r)
				return
			}
			broken = true
			h.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		})
	})
	b.run(ExitDone, "apply", "@w7", "--template", "@template", "--base", "0", "--token-file", "@token")
	assert.Equal(t, strings.Count(b.run(ExitDone, "history"), "\n"), 1)
}

func TestNoAnswerAtAllIsUncertainAndNoConnectionIsNot(t *testing.T) {
	b := newTestHost(t, func(http.Handler) http.Handler {
		return http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	})
	args := []string{"apply", "@w7", "--base", "0", "--token-file", "@token", "--id", "c1"}
	assertContains(t, b.run(ExitUncertain, args...), "--id c1")
	b.addr = "127.0.0.1:1"
	b.run(ExitFailed, args...)
}

func TestBadBodiesAreExplained(t *testing.T) {
	b := newTestHost(t, unwrapped)
	for body, want := range map[string]string{
		``:                         "request body: empty",
		`{"workspace": 7}`:         "field workspace: want config.File, have number",
		`{"workspaces": {}}`:       `unknown field \"workspaces\"`,
		`{]`:                       "byte 2:",
		`{} {}`:                    "more than one JSON value",
		strings.Repeat(" ", 3<<20): "larger than",
	} {
		res, err := http.Post(b.addr+operator.PathPlan, "application/json", strings.NewReader(body))
		assert.NilError(t, err)
		var out bytes.Buffer
		_, err = out.ReadFrom(res.Body)
		assert.NilError(t, err)
		assert.NilError(t, res.Body.Close())
		assert.Equal(t, res.StatusCode, http.StatusBadRequest)
		assertContains(t, out.String(), want)
	}
}
