package declare

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func readExample(t *testing.T, name string) (*Template, *Declaration) {
	t.Helper()
	dir := filepath.Join("..", "examples", name)
	text, err := os.ReadFile(filepath.Join(dir, "template.jsonc"))
	assert.NilError(t, err)
	tpl, err := ParseTemplate("template.jsonc", text)
	assert.NilError(t, err)
	text, err = os.ReadFile(filepath.Join(dir, "workspace.jsonc"))
	assert.NilError(t, err)
	decl, err := ParseWorkspace("workspace.jsonc", text)
	assert.NilError(t, err)
	return tpl, decl
}

func TestExamplesExpand(t *testing.T) {
	tests := []struct {
		name, once        string
		services          int
		slots, maxConns   int
		atMostOnceService string
	}{
		{"auction", "/settlement/purchases", 5, 2, 200, "settlement"},
		{"auction", "/bids", 5, 2, 200, "bids"},
		{"repairs", "/workorders/17/confirm", 4, 4, 250, "workorders"},
		{"repairs", "/bookings", 4, 4, 250, "bookings"},
	}
	for _, tt := range tests {
		tpl, decl := readExample(t, tt.name)
		ws, err := tpl.Expand(decl)
		assert.NilError(t, err)
		assert.Equal(t, len(ws.Services), tt.services)
		for _, s := range ws.Services {
			assert.Equal(t, s.Slots, tt.slots)
			assert.Equal(t, s.MaxConns, tt.maxConns)
		}
		s, ok := ws.Service(tt.atMostOnceService)
		assert.Check(t, ok && s.IsAtMostOnce("POST", tt.once) && s.RequireKey)
		assert.Check(t, !s.IsAtMostOnce("GET", tt.once))
	}
}

const smallTemplate = `{
  "template": "small", "version": 1,
  "parameters": {
    "budget": {"type": "duration", "min": "0s", "max": "100ms", "default": "6ms"},
    "slots": {"type": "int", "min": 1, "max": 8},
    "once": {"type": "calls", "min": 1, "max": 4, "includes": ["POST /a"], "default": ["POST /a"]},
  },
  "workspace": {
    "maxInFlight": 10, "probeBudget": "$budget", "retryRatio": 0.1, "hedgeRatio": 0,
    "services": {"a": {
      "pathPrefix": "/a", "slots": "$slots", "maxConns": 4, "maxQueue": 5, "timeout": "1s",
      "maxAttempts": 2, "atMostOnce": "$once",
    }},
  },
}`

func smallWorkspace(params string) string {
	return "{\n\"workspace\": \"w\", \"template\": \"small\", \"templateVersion\": 1,\n\"parameters\": " + params + "}"
}

func expand(template, workspace string) (Workspace, error) {
	tpl, err := ParseTemplate("t.jsonc", []byte(template))
	if err != nil {
		return Workspace{}, err
	}
	decl, err := ParseWorkspace("w.jsonc", []byte(workspace))
	if err != nil {
		return Workspace{}, err
	}
	return tpl.Expand(decl)
}

func TestParametersFillTheTemplate(t *testing.T) {
	ws, err := expand(smallTemplate, smallWorkspace(`{"slots": 3, "once": ["POST /a", "DELETE"]}`))
	assert.NilError(t, err)
	assert.Equal(t, ws.ProbeBudget, 6*time.Millisecond)
	assert.Equal(t, ws.Services[0].Slots, 3)
	assert.DeepEqual(t, ws.Services[0].AtMostOnce, []CallRule{{"POST", "/a"}, {"DELETE", ""}})
}

func TestProblemsNameFileLineAndField(t *testing.T) {
	tests := []struct{ name, template, workspace, want string }{
		{"out of bounds", "", smallWorkspace("{\n\"slots\": 9}"), "w.jsonc:4: parameters.slots: value is above the most allowed, 8"},
		{"wrong type", "", smallWorkspace(`{"slots": "two"}`), "w.jsonc:3: parameters.slots: want a whole number"},
		{"fraction", "", smallWorkspace(`{"slots": 1.5}`), "parameters.slots: want a whole number"},
		{"unit missing", "", smallWorkspace(`{"slots": 1, "budget": 6}`), "parameters.budget: want a duration"},
		{"null", "", smallWorkspace(`{"slots": null}`), "parameters.slots: want a whole number"},
		{"unknown parameter", "", smallWorkspace(`{"slots": 1, "slotz": 1}`), "parameters.slotz: template small version 1 has no such parameter"},
		{"left out", "", smallWorkspace(`{}`), "w.jsonc:1: parameters.slots: parameter has no default and is missing"},
		{"at most once dropped", "", smallWorkspace(`{"slots": 1, "once": ["DELETE"]}`), `"POST /a" may not be left out`},
		{"call outside the service", "", smallWorkspace(`{"slots": 1, "once": ["POST /a", "POST /b"]}`), `at-most-once call "POST /b" lies outside pathPrefix /a`},
		{"between fields", "", smallWorkspace(`{"slots": 5}`), "t.jsonc:10: workspace.services.a: slots (5) are more than maxConns (4)"},
		{"given twice", "", smallWorkspace(`{"slots": 1, "slots": 2}`), "parameters.slots: field appears twice"},
		{"syntax", "", "{\n\n]", "w.jsonc:3: "},
		{"other version", "", strings.Replace(smallWorkspace(`{"slots": 1}`), ": 1,", ": 2,", 1), "names template small version 2, not small version 1"},
		{"unknown field", strings.Replace(smallTemplate, `"maxInFlight"`, `"maxInflight"`, 1), "", "t.jsonc:9: workspace.maxInflight: unknown field"},
		{"type of reference", strings.Replace(smallTemplate, `"maxInFlight": 10`, `"maxInFlight": "$budget"`, 1), "", `parameter "budget" is of type duration, the field takes int`},
		{"unbounded", strings.Replace(smallTemplate, `"max": 8`, ``, 1), "", "t.jsonc:5: parameters.slots.max: field is missing"},
		{"unused", strings.Replace(smallTemplate, `"$budget"`, `"1ms"`, 1), "", "t.jsonc:4: parameters.budget: parameter is not used"},
		{"default out of bounds", strings.Replace(smallTemplate, `"6ms"`, `"1s"`, 1), "", "parameters.budget.default: value is above"},
		{"path that a router would clean", strings.Replace(smallTemplate, `"pathPrefix": "/a"`, `"pathPrefix": "/a//b"`, 1), "", "is not a plain absolute path"},
		{"too large", strings.Repeat(" ", MaxFileSize+1), "", "file is larger"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if tt.template == "" {
				tt.template = smallTemplate
			}
			if tt.workspace == "" {
				tt.workspace = smallWorkspace(`{"slots": 1}`)
			}
			_, err := expand(tt.template, tt.workspace)
			assert.ErrorContains(t, err, tt.want)
			var ps Problems
			assert.Check(t, errors.As(err, &ps) && len(ps) > 0)
		})
	}
}

func TestDiffShowsFieldsAndServices(t *testing.T) {
	before, err := expand(smallTemplate, smallWorkspace(`{"slots": 1}`))
	assert.NilError(t, err)
	after := before
	after.MaxInFlight = 11
	after.Services = []Service{{Name: "b", PathPrefix: "/b"}}
	lines := []string{}
	for _, d := range Diff(&before, &after) {
		lines = append(lines, d.String())
	}
	text := strings.Join(lines, "\n")
	assert.Check(t, strings.Contains(text, "~ maxInFlight: 10 -> 11"), text)
	assert.Check(t, strings.Contains(text, `- services.a.atMostOnce: ["POST /a"]`), text)
	assert.Check(t, strings.Contains(text, `+ services.b.pathPrefix: "/b"`), text)
	assert.Equal(t, len(Diff(&before, &before)), 0)
}

// FuzzExpand checks that arbitrary files do not panic, that every error names a file and a
// line, and that accepted files expand to the same result again.
func FuzzExpand(f *testing.F) {
	f.Add(smallTemplate, smallWorkspace(`{"slots": 1}`))
	f.Add(smallTemplate, smallWorkspace(`{"slots": "$slots", "once": ["*"]}`))
	f.Add(`{"template": "t", "version": 1, "workspace": {"services": []}}`, `{/* */}`)
	f.Add("[[[[", "{\"a\":1,}//")
	for _, name := range []string{"auction", "repairs"} {
		tpl, err := os.ReadFile(filepath.Join("..", "examples", name, "template.jsonc"))
		assert.NilError(f, err)
		ws, err := os.ReadFile(filepath.Join("..", "examples", name, "workspace.jsonc"))
		assert.NilError(f, err)
		f.Add(string(tpl), string(ws))
	}
	f.Fuzz(func(t *testing.T, template, workspace string) {
		ws, err := expand(template, workspace)
		if err != nil {
			var ps Problems
			assert.Check(t, errors.As(err, &ps) && len(ps) > 0)
			for _, p := range ps {
				assert.Check(t, p.File != "" && p.Line > 0 && p.Message != "", "%+v", p)
			}
			return
		}
		again, err := expand(template, workspace)
		assert.NilError(t, err)
		assert.DeepEqual(t, ws, again)
		assert.Check(t, len(ws.Services) > 0)
		for _, s := range ws.Services {
			assert.Check(t, s.Slots > 0 && s.Slots <= s.MaxConns && s.Timeout > 0, "%+v", s)
		}
	})
}
