package declare

import (
	"slices"
)

// Template is a checked template: the configuration shared by workspaces of one kind, and
// the parameters in which they differ.
type Template struct {
	Name    string
	Version uint64
	// Text is the content of the file.
	Text []byte

	params map[string]parameter
	body   node
}

// ParseTemplate parses and checks a template. The error is Problems.
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

// checkBody checks the body with the parameters set to their defaults, and that every
// parameter is used.
func (d *decoder) checkBody(t *Template, params object) {
	d.params = make(map[string]binding, len(t.params))
	for name, p := range t.params {
		d.params[name] = binding{typ: p.typ, value: p.defaultValue}
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

// references returns the parameters that the strings in a value refer to.
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

// Declaration is a parsed workspace file: the name and version of a template, and values for
// its parameters.
type Declaration struct {
	Workspace       string
	Template        string
	TemplateVersion uint64
	// File is the name of the file and Text its content.
	File string
	Text []byte

	top        node
	parameters node
}

// ParseWorkspace parses a workspace file. Its parameters are checked against the template by
// Template.Expand. The error is Problems.
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

// Expand applies the parameters of a workspace to the template. The result has no Version,
// which is assigned when the change is accepted. The error is Problems.
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

// bind checks the workspace's values and combines them with the defaults.
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
			value = p.defaultValue
		}
		if value.absent() {
			d.fail(node{src: w.top.src, field: "parameters." + name, value: w.top.value}, "parameter has no default and is missing")
		}
		d.checkValue(p, value)
		bound[name] = binding{typ: p.typ, value: value}
	}
	slices.SortFunc(d.problems, compareProblems)
	return bound
}
