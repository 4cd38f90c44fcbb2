package declare

import (
	"slices"
	"strings"
)

// Type is the type of a parameter.
type Type string

// Types of parameters and their syntax in configuration files.
const (
	// TypeInt is an integer.
	TypeInt Type = "int"
	// TypeRatio is a number.
	TypeRatio Type = "ratio"
	// TypeDuration is a string such as "250ms".
	TypeDuration Type = "duration"
	// TypeSize is a string with a number of bytes, such as "64KiB".
	TypeSize Type = "size"
	// TypeBool is true or false.
	TypeBool Type = "bool"
	// TypeString is a string.
	TypeString Type = "string"
	// TypeStrings is a list of distinct strings.
	TypeStrings Type = "strings"
	// TypeCalls is a list of calls such as "POST /bids"; see CallRule.
	TypeCalls Type = "calls"
)

var types = []Type{TypeInt, TypeRatio, TypeDuration, TypeSize, TypeBool, TypeString, TypeStrings, TypeCalls}

// unbounded lists the types that do not require min and max.
var unbounded = []Type{TypeBool, TypeString}

// parameter is the declaration of a parameter in a template.
type parameter struct {
	name string
	typ  Type
	// min and max limit the value, or the length of a string or list.
	min, max node
	// oneOf lists the allowed strings; nil allows all.
	oneOf []string
	// includes lists the strings that a list must contain.
	includes     []string
	defaultValue node
}

func (d *decoder) parameter(name string, n node) parameter {
	o := d.object(n, "type", "description", "min", "max", "oneOf", "includes", "default")
	p := parameter{name: name, min: o.optional("min"), max: o.optional("max"), defaultValue: o.optional("default")}
	d.text(o.optional("description"), TypeString)
	p.typ = Type(d.text(o.required("type"), TypeString))
	if !slices.Contains(types, p.typ) {
		d.fail(o.required("type"), "want one of %s", joinTypes())
		return p
	}
	if !slices.Contains(unbounded, p.typ) {
		o.required("min")
		o.required("max")
	}
	d.magnitude(p.min, p.boundType())
	d.magnitude(p.max, p.boundType())
	p.oneOf = d.strings(o.optional("oneOf"), TypeStrings)
	p.includes = d.strings(o.optional("includes"), TypeStrings)
	d.checkValue(p, p.defaultValue)
	return p
}

func joinTypes() string {
	names := make([]string, len(types))
	for i, t := range types {
		names[i] = string(t)
	}
	return strings.Join(names, ", ")
}

// boundType returns the type of min and max. Strings and lists are limited by their length.
func (p parameter) boundType() Type {
	switch p.typ {
	case TypeStrings, TypeCalls, TypeString:
		return TypeInt
	default:
		return p.typ
	}
}

// exactLimits allows all values that a float64 represents exactly.
var exactLimits = limits{min: -1 << 53, max: 1 << 53}

// magnitude returns the number that is compared with min and max.
func (d *decoder) magnitude(n node, typ Type) float64 {
	switch typ {
	case TypeInt:
		return float64(d.integer(n, exactLimits))
	case TypeRatio:
		return d.ratio(n, exactLimits)
	case TypeDuration:
		return float64(d.duration(n, exactLimits))
	case TypeSize:
		return float64(d.size(n, exactLimits))
	case TypeBool:
		d.boolean(n)
		return 0
	case TypeString:
		return float64(len(d.text(n, typ)))
	case TypeCalls:
		return float64(len(d.calls(n)))
	default:
		return float64(len(d.strings(n, typ)))
	}
}

// checkValue checks a value, either the default or set by a workspace, against the
// parameter.
func (d *decoder) checkValue(p parameter, n node) {
	if n.absent() {
		return
	}
	before := len(d.problems)
	got := d.magnitude(n, p.typ)
	if len(d.problems) > before {
		return
	}
	if !p.min.absent() && got < d.magnitude(p.min, p.boundType()) {
		d.fail(n, "%s below the least allowed, %s", p.boundedSubject(), p.min.text())
	}
	if !p.max.absent() && got > d.magnitude(p.max, p.boundType()) {
		d.fail(n, "%s above the most allowed, %s", p.boundedSubject(), p.max.text())
	}
	d.checkStrings(p, n)
}

// boundedSubject returns the start of an error message: what min and max limit.
func (p parameter) boundedSubject() string {
	if p.boundType() != p.typ {
		return "length is"
	}
	return "value is"
}

// checkStrings checks the strings of a value against oneOf and includes.
func (d *decoder) checkStrings(p parameter, n node) {
	var got []string
	switch p.typ {
	case TypeString:
		got = []string{d.text(n, p.typ)}
	case TypeStrings, TypeCalls:
		got = d.strings(n, p.typ)
	default:
		return
	}
	for _, s := range got {
		if p.oneOf != nil && !slices.Contains(p.oneOf, s) {
			d.fail(n, "%q is not one of %s", s, strings.Join(p.oneOf, ", "))
		}
	}
	for _, s := range p.includes {
		if !slices.Contains(got, s) {
			d.fail(n, "%q may not be left out", s)
		}
	}
}
