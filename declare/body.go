package declare

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"
)

// Built-in limits of the fields. They keep a mistake, such as a missing unit, from being
// rolled out to every host; a template may set narrower ones.
var (
	versionLimits   = limits{1, 1 << 53}
	inFlightLimits  = limits{1, 1e6}
	budgetLimits    = limits{0, float64(time.Minute)}
	ratioLimits     = limits{0, 1}
	slotLimits      = limits{1, 1e4}
	connLimits      = limits{1, 1e5}
	queueLimits     = limits{0, 1e6}
	timeoutLimits   = limits{float64(time.Millisecond), float64(time.Hour)}
	attemptLimits   = limits{1, 10}
	replayLimits    = limits{0, 64 << 20}
	bodyLimits      = limits{0, 1 << 40}
	coldStartLimits = limits{0, float64(10 * time.Minute)}
)

const (
	// maxNameLength is the maximum length of names and path prefixes, in bytes.
	maxNameLength = 200
	// maxServices is the maximum number of services of one workspace.
	maxServices = 1000
)

var workspaceFields = []string{
	"hostNames", "maxInFlight", "probeBudget", "retryRatio", "hedgeRatio", "owns", "serviceDefaults", "services",
}

var serviceFields = []string{
	"pathPrefix", "atMostOnce", "requireKey", "slots", "maxConns", "maxQueue", "timeout",
	"maxAttempts", "maxReplayBody", "maxBody", "coldStart", "healthPath",
}

// workspace decodes the body of a template. While a template is checked on its own,
// parameters without a default are read as zero and rules that compare several fields are
// skipped.
func (d *decoder) workspace(n node, checking bool) Workspace {
	o := d.object(n, workspaceFields...)
	ws := Workspace{
		HostNames:   d.hostNames(o.optional("hostNames")),
		MaxInFlight: int(d.integer(o.required("maxInFlight"), inFlightLimits)),
		ProbeBudget: d.duration(o.required("probeBudget"), budgetLimits),
		RetryRatio:  d.ratio(o.required("retryRatio"), ratioLimits),
		HedgeRatio:  d.ratio(o.required("hedgeRatio"), ratioLimits),
	}
	defaults := d.object(o.optional("serviceDefaults"), serviceFields...)
	services := d.object(o.required("services"))
	owned := d.ownedServices(o.optional("owns"), services)
	for _, name := range services.names() {
		s := d.service(name, services.fields[name], defaults.fields, checking)
		if slices.Contains(owned, name) {
			ws.Services = append(ws.Services, s)
		}
	}
	d.checkPathPrefixes(services, ws.Services)
	return ws
}

// ownedServices returns the names of the services that the workspace selects from the
// template: all of them if the template has no "owns" field.
func (d *decoder) ownedServices(n node, services object) []string {
	resolved := d.resolve(n, TypeStrings)
	if resolved.absent() {
		return services.names()
	}
	names := d.strings(resolved, TypeStrings)
	for _, name := range names {
		if _, ok := services.fields[name]; !ok {
			d.fail(resolved, "the template has no service %q", name)
		}
	}
	return names
}

func (d *decoder) service(name string, n node, defaults map[string]node, checking bool) Service {
	o := d.object(n, serviceFields...)
	o.defaults = defaults
	s := Service{
		Name:          name,
		PathPrefix:    d.path(o.required("pathPrefix")),
		AtMostOnce:    d.calls(o.optional("atMostOnce")),
		RequireKey:    d.boolean(o.optional("requireKey")),
		Slots:         int(d.integer(o.required("slots"), slotLimits)),
		MaxConns:      int(d.integer(o.required("maxConns"), connLimits)),
		MaxQueue:      int(d.integer(o.required("maxQueue"), queueLimits)),
		Timeout:       d.duration(o.required("timeout"), timeoutLimits),
		MaxAttempts:   int(d.integer(o.required("maxAttempts"), attemptLimits)),
		MaxReplayBody: int(d.size(o.optional("maxReplayBody"), replayLimits)),
		MaxBody:       d.size(o.optional("maxBody"), bodyLimits),
		ColdStart:     d.duration(o.optional("coldStart"), coldStartLimits),
		HealthPath:    d.path(o.optional("healthPath")),
	}
	if !validName(name) {
		d.fail(n, "%s", nameRule)
	}
	if !checking {
		d.checkService(s, n)
	}
	return s
}

// checkService checks the rules between fields of one service.
func (d *decoder) checkService(s Service, n node) {
	if s.Slots > s.MaxConns {
		d.fail(n, "slots (%d) are more than maxConns (%d)", s.Slots, s.MaxConns)
	}
	if s.MaxBody > 0 && int64(s.MaxReplayBody) > s.MaxBody {
		d.fail(n, "maxReplayBody is larger than maxBody")
	}
	for _, r := range s.AtMostOnce {
		if r.PathPrefix != "" && !hasPathPrefix(r.PathPrefix, s.PathPrefix) {
			// Such a rule matches no call of the service, so calls that were meant to run at most
			// once could be retried.
			d.fail(n, "at-most-once call %q lies outside pathPrefix %s", r, s.PathPrefix)
		}
	}
}

// checkPathPrefixes checks the number of services and that no two have the same path prefix.
func (d *decoder) checkPathPrefixes(services object, list []Service) {
	if services.at.absent() {
		return // reported as a missing field
	}
	if len(list) == 0 || len(list) > maxServices {
		d.fail(services.at, "want 1 to %d services, have %d", maxServices, len(list))
	}
	byPath := make(map[string]string, len(list))
	for _, s := range list {
		path := strings.TrimSuffix(s.PathPrefix, "/")
		if other, taken := byPath[path]; taken && s.PathPrefix != "" {
			d.fail(services.fields[s.Name], "service %s has the same pathPrefix", other)
		}
		byPath[path] = s.Name
	}
}

func (d *decoder) path(n node) string {
	n = d.resolve(n, TypeString)
	p := d.text(n, TypeString)
	if p != "" && !validPath(p) {
		d.fail(n, "%q is not a plain absolute path", p)
	}
	return p
}

func (d *decoder) hostNames(n node) []string {
	n = d.resolve(n, TypeStrings)
	var out []string
	for _, h := range d.strings(n, TypeStrings) {
		if !validHostName(h) {
			d.fail(n, "%q is not a host name in lower case, without a port", h)
			continue
		}
		out = append(out, h)
	}
	return out
}

const nameRule = "names are 1 to 200 lower-case letters, digits and single hyphens between them"

func (d *decoder) name(n node) string {
	s := d.text(n, TypeString)
	if !n.absent() && !validName(s) {
		d.fail(n, "%s", nameRule)
	}
	return s
}

// validName reports whether a name can be used unescaped in a URL path and in a table key.
func validName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	for _, part := range strings.Split(s, "-") {
		if part == "" || strings.ContainsFunc(part, notNameRune) {
			return false
		}
	}
	return true
}

func notNameRune(r rune) bool { return (r < 'a' || r > 'z') && (r < '0' || r > '9') }

func validHostName(s string) bool {
	if net.ParseIP(s) != nil {
		return true
	}
	for _, label := range strings.Split(s, ".") {
		if !validName(label) {
			return false
		}
	}
	return len(s) <= maxNameLength
}

func compareProblems(a, b Problem) int {
	return cmp.Or(strings.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), strings.Compare(a.Field, b.Field))
}
