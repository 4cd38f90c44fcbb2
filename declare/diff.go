package declare

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Difference is one field that a change would alter.
type Difference struct {
	// Field is the path of the field, such as services.bids.timeout.
	Field string `json:"field"`
	// Old and New are the formatted values; empty means that the field is absent.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String returns one line such as "~ maxInFlight: 100 -> 200".
func (d Difference) String() string {
	switch {
	case d.Old == "":
		return fmt.Sprintf("+ %s: %s", d.Field, d.New)
	case d.New == "":
		return fmt.Sprintf("- %s: %s", d.Field, d.Old)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", d.Field, d.Old, d.New)
	}
}

// Diff returns the fields in which two workspaces differ, sorted by path. Workspace versions
// are not compared. Nil means that the workspace does not exist.
func Diff(before, after *Workspace) []Difference {
	a, b := flatten(before), flatten(after)
	var out []Difference
	for field, old := range a {
		if b[field] != old {
			out = append(out, Difference{Field: field, Old: old, New: b[field]})
		}
	}
	for field, now := range b {
		if _, had := a[field]; !had {
			out = append(out, Difference{Field: field, New: now})
		}
	}
	slices.SortFunc(out, func(x, y Difference) int { return strings.Compare(x.Field, y.Field) })
	return out
}

// flatten returns the formatted fields of a workspace by path.
func flatten(w *Workspace) map[string]string {
	out := make(map[string]string)
	if w == nil {
		return out
	}
	put := func(field string, v any) { out[field] = formatValue(v) }
	put("template", w.Template)
	put("templateVersion", w.TemplateVersion)
	put("hostNames", w.HostNames)
	put("maxInFlight", w.MaxInFlight)
	put("probeBudget", w.ProbeBudget)
	put("retryRatio", w.RetryRatio)
	put("hedgeRatio", w.HedgeRatio)
	for i := range w.Services {
		s := &w.Services[i]
		p := "services." + s.Name + "."
		put(p+"pathPrefix", s.PathPrefix)
		put(p+"atMostOnce", ruleStrings(s.AtMostOnce))
		put(p+"requireKey", s.RequireKey)
		put(p+"slots", s.Slots)
		put(p+"maxConns", s.MaxConns)
		put(p+"maxQueue", s.MaxQueue)
		put(p+"timeout", s.Timeout)
		put(p+"maxAttempts", s.MaxAttempts)
		put(p+"maxReplayBody", s.MaxReplayBody)
		put(p+"maxBody", s.MaxBody)
		put(p+"coldStart", s.ColdStart)
		put(p+"healthPath", s.HealthPath)
	}
	return out
}

func ruleStrings(rules []CallRule) []string {
	out := make([]string, 0, len(rules))
	for _, r := range rules {
		out = append(out, r.String())
	}
	return out
}

// formatValue formats a value as text that is never empty.
func formatValue(v any) string {
	if d, ok := v.(time.Duration); ok {
		return d.String()
	}
	text, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	if string(text) == "null" {
		return "[]"
	}
	return string(text)
}
