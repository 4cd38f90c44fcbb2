package declare

import (
	"slices"
)

// Template is a checked template: what workspaces of one kind share, and the
// parameters in which they differ.
type Template struct {
	Name    string
	Version uint64
	// Text is the file it was read from.
	Text []byte

	params map[string]parameter
	body   node
}

// ParseTemplate reads and checks a template. The error is Problems.
func ParseTemplate(file string, text []byte) (*Template, error) {
	top, err := parseFile(file, text)
	if err != nil {
		return nil, err
	}
	d := new(decoder)
	o := d.object(top, "template", "version", "description", "parameters", "workspace")
	t := &Template{Text: top.src.text, params: make(map[string]parameter)}
	t.Name = d.name(o.required("template"))
	t.Version = uint64(d.integer(o.required("version"), versionLimits))
	d.text(o.optional("description"), TypeString)
	t.body = o.required("workspace")
	params := d.object(o.optional("parameters"))
	for _, name := range params.names() {
		t.params[name] = d.parameter(name, params.fields[name])
	}
	d.checkBody(t, params)
	if err := d.problems.asError(); err != nil {
		return nil, err
	}
	return t, nil
}

// checkBody checks the body with the defaults in place of the parameters, and
// that every parameter is used.
func (d *decoder) checkBody(t *Template, params object) {
	d.params = make(map[string]binding, len(t.params))
	for name, p := range t.params {
		d.params[name] = binding{typ: p.typ, value: p.fallback}
	}
	if !t.body.absent() {
		d.workspace(t.body, true)
	}
	used := references(t.body)
	for _, name := range params.names() {
		if !slices.Contains(used, name) {
			d.fail(params.fields[name], "parameter is not used")
		}
	}
}

// references returns the parameters that the strings of a value name.
func references(n node) []string {
	if n.absent() {
		return nil
	}
	var out []string
	for v := range n.value.All() {
		if name, ok := reference(node{value: v}); ok {
			out = append(out, name)
		}
	}
	return out
}

// Declaration is a checked workspace file: a template, its version, and values
// for its parameters.
type Declaration struct {
	Workspace       string
	Template        string
	TemplateVersion uint64
	// File is the name of the file and Text what it holds.
	File string
	Text []byte

	top        node
	parameters node
}

// ParseWorkspace reads a workspace file. Its parameters are checked by Expand,
// against the template. The error is Problems.
func ParseWorkspace(file string, text []byte) (*Declaration, error) {
	top, err := parseFile(file, text)
	if err != nil {
		return nil, err
	}
	d := new(decoder)
	o := d.object(top, "workspace", "template", "templateVersion", "parameters")
	w := &Declaration{File: file, Text: top.src.text, top: top, parameters: o.optional("parameters")}
	w.Workspace = d.name(o.required("workspace"))
	w.Template = d.name(o.required("template"))
	w.TemplateVersion = uint64(d.integer(o.required("templateVersion"), versionLimits))
	d.object(w.parameters)
	if err := d.problems.asError(); err != nil {
		return nil, err
	}
	return w, nil
}

// Expand fills the template with the parameters of a workspace. The result has
// no Version yet: that is given when the change is accepted. The error is
// Problems.
func (t *Template) Expand(w *Declaration) (Workspace, error) {
	d := new(decoder)
	if w.Template != t.Name || w.TemplateVersion != t.Version {
		d.fail(w.top, "workspace names template %s version %d, not %s version %d", w.Template, w.TemplateVersion, t.Name, t.Version)
		return Workspace{}, d.problems
	}
	d.params = t.bind(d, w)
	if err := d.problems.asError(); err != nil {
		return Workspace{}, err
	}
	ws := d.workspace(t.body, false)
	ws.Name = w.Workspace
	ws.Template = t.Name
	ws.TemplateVersion = t.Version
	if err := d.problems.asError(); err != nil {
		return Workspace{}, err
	}
	return ws, nil
}

// bind checks the workspace's values and joins them with the defaults.
func (t *Template) bind(d *decoder, w *Declaration) map[string]binding {
	given := d.object(w.parameters)
	for _, name := range given.names() {
		if _, ok := t.params[name]; !ok {
			d.fail(given.fields[name], "template %s version %d has no such parameter", t.Name, t.Version)
		}
	}
	bound := make(map[string]binding, len(t.params))
	for name, p := range t.params {
		value := given.optional(name)
		if value.absent() {
			value = p.fallback
		}
		if value.absent() {
			d.fail(node{src: w.top.src, field: "parameters." + name, value: w.top.value}, "parameter has no default and is missing")
		}
		d.value(p, value)
		bound[name] = binding{typ: p.typ, value: value}
	}
	slices.SortFunc(d.problems, compareProblems)
	return bound
}
