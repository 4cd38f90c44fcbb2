package declare

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// decoder reads typed values from nodes and collects all problems, so that an operator sees
// them at once. A method that finds a problem records it and returns the zero value.
type decoder struct {
	problems Problems
	// params are the parameters that a "$name" reference may name; nil where references are not
	// allowed.
	params map[string]binding
}

// binding is a declared parameter and its value.
type binding struct {
	typ Type
	// value is absent if a template is checked on its own and the parameter has no default.
	value node
}

func (d *decoder) fail(n node, format string, args ...any) {
	p := Problem{Field: n.field, Message: fmt.Sprintf(format, args...)}
	if n.src != nil {
		p.File = n.src.file
		p.Line = 1
	}
	if !n.absent() {
		p.Line = n.src.line(n.value.StartOffset)
	}
	d.problems = append(d.problems, p)
}

// resolve replaces a "$name" reference with the value of the parameter, which must have the
// type that the field expects.
func (d *decoder) resolve(n node, want Type) node {
	name, ok := reference(n)
	if !ok || d.params == nil {
		return n
	}
	b, ok := d.params[name]
	if !ok {
		d.fail(n, "no parameter is named %q", name)
		return node{}
	}
	if b.typ != want {
		d.fail(n, "parameter %q is of type %s, the field takes %s", name, b.typ, want)
		return node{}
	}
	return b.value
}

// reference returns the name of the parameter that a node refers to.
func reference(n node) (string, bool) {
	if n.kind() != '"' {
		return "", false
	}
	return strings.CutPrefix(n.text(), "$")
}

// object holds the fields of one object, and defaults for absent fields.
type object struct {
	d        *decoder
	at       node
	fields   map[string]node
	defaults map[string]node
}

// object decodes an object whose field names must be among known; without known names, every
// name is accepted.
func (d *decoder) object(n node, known ...string) object {
	o := object{d: d, at: n, fields: make(map[string]node)}
	if n.absent() {
		return o
	}
	obj, ok := n.value.Value.(*hujson.Object)
	if !ok {
		d.fail(n, "want an object")
		return o
	}
	for i := range obj.Members {
		m := &obj.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		child := n.child(name, &m.Value)
		if len(known) > 0 && !slices.Contains(known, name) {
			d.fail(node{src: n.src, field: child.field, value: &m.Name}, "unknown field")
			continue
		}
		if _, duplicate := o.fields[name]; duplicate {
			d.fail(child, "field appears twice")
			continue
		}
		o.fields[name] = child
	}
	return o
}

// names returns the names of the fields, sorted.
func (o object) names() []string {
	out := make([]string, 0, len(o.fields))
	for name := range o.fields {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// optional returns a field, its default, or the zero node if there is neither.
func (o object) optional(name string) node {
	if n, ok := o.fields[name]; ok {
		return n
	}
	return o.defaults[name]
}

// required returns a field and records a problem if it is absent.
func (o object) required(name string) node {
	n := o.optional(name)
	if n.absent() {
		o.d.fail(node{src: o.at.src, field: o.at.child(name, nil).field, value: o.at.value}, "field is missing")
	}
	return n
}

// limits is the inclusive range of values that a field accepts.
type limits struct{ min, max float64 }

func (d *decoder) check(n node, v float64, l limits, format func(float64) string) bool {
	if v < l.min || v > l.max {
		d.fail(n, "%s is not between %s and %s", format(v), format(l.min), format(l.max))
		return false
	}
	return true
}

func formatNumber(v float64) string   { return strconv.FormatFloat(v, 'f', -1, 64) }
func formatDuration(v float64) string { return time.Duration(v).String() }

func (d *decoder) text(n node, typ Type) string {
	n = d.resolve(n, typ)
	if n.absent() {
		return ""
	}
	if n.kind() != '"' {
		d.fail(n, "want a string")
		return ""
	}
	return n.text()
}

func (d *decoder) boolean(n node) bool {
	n = d.resolve(n, TypeBool)
	if n.absent() {
		return false
	}
	if k := n.kind(); k != 't' && k != 'f' {
		d.fail(n, "want true or false")
		return false
	}
	return n.kind() == 't'
}

func (d *decoder) integer(n node, l limits) int64 {
	n = d.resolve(n, TypeInt)
	if n.absent() {
		return 0
	}
	v, err := strconv.ParseInt(n.text(), 10, 64)
	if n.kind() != '0' || err != nil {
		d.fail(n, "want a whole number")
		return 0
	}
	if !d.check(n, float64(v), l, formatNumber) {
		return 0
	}
	return v
}

func (d *decoder) ratio(n node, l limits) float64 {
	n = d.resolve(n, TypeRatio)
	if n.absent() {
		return 0
	}
	v, err := strconv.ParseFloat(n.text(), 64)
	if n.kind() != '0' || err != nil {
		d.fail(n, "want a number")
		return 0
	}
	if !d.check(n, v, l, formatNumber) {
		return 0
	}
	return v
}

func (d *decoder) duration(n node, l limits) time.Duration {
	n = d.resolve(n, TypeDuration)
	if n.absent() {
		return 0
	}
	v, err := time.ParseDuration(n.text())
	if n.kind() != '"' || err != nil {
		d.fail(n, `want a duration such as "250ms" or "30s"`)
		return 0
	}
	if !d.check(n, float64(v), l, formatDuration) {
		return 0
	}
	return v
}

// size decodes a number of bytes such as "64KiB".
func (d *decoder) size(n node, l limits) int64 {
	n = d.resolve(n, TypeSize)
	if n.absent() {
		return 0
	}
	v, ok := parseSize(n.text())
	if n.kind() != '"' || !ok {
		d.fail(n, `want a size such as "0B", "64KiB" or "16MiB"`)
		return 0
	}
	if !d.check(n, float64(v), l, formatNumber) {
		return 0
	}
	return v
}

var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

func parseSize(s string) (int64, bool) {
	const largest = 1 << 20 // count of any unit, so that the product can not overflow
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(s, u.suffix)
		if !ok {
			continue
		}
		v, err := strconv.ParseUint(digits, 10, 63)
		if err != nil || v > largest && u.bytes > 1 {
			return 0, false
		}
		return int64(v) * u.bytes, true
	}
	return 0, false
}

// strings decodes a list of distinct strings.
func (d *decoder) strings(n node, typ Type) []string {
	n = d.resolve(n, typ)
	if n.absent() {
		return nil
	}
	if n.kind() != '[' {
		d.fail(n, "want a list of strings")
		return nil
	}
	var out []string
	for _, item := range n.items() {
		switch {
		case item.kind() != '"':
			d.fail(item, "want a string")
		case slices.Contains(out, item.text()):
			d.fail(item, "%q is in the list twice", item.text())
		default:
			out = append(out, item.text())
		}
	}
	return out
}
