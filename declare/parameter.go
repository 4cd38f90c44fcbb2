package declare

import (
	"slices"
	"strings"
)

// Type is the type of a parameter.
type Type string

// The types of parameters and how a file writes their values.
const (
	// TypeInt is a whole number.
	TypeInt Type = "int"
	// TypeRatio is a number.
	TypeRatio Type = "ratio"
	// TypeDuration is a string such as "250ms".
	TypeDuration Type = "duration"
	// TypeSize is a number of bytes in a string such as "64KiB".
	TypeSize Type = "size"
	// TypeBool is true or false.
	TypeBool Type = "bool"
	// TypeString is a string.
	TypeString Type = "string"
	// TypeStrings is a list of different strings.
	TypeStrings Type = "strings"
	// TypeCalls is a list of calls such as "POST /bids"; see CallRule.
	TypeCalls Type = "calls"
)

var types = []Type{TypeInt, TypeRatio, TypeDuration, TypeSize, TypeBool, TypeString, TypeStrings, TypeCalls}

// unbounded are the types whose values need no min and max.
var unbounded = []Type{TypeBool, TypeString}

// parameter is a parameter that a template declares.
type parameter struct {
	name string
	typ  Type
	// min and max bound the value, or the length of a list.
	min, max node
	// oneOf lists the strings admitted; nil admits all.
	oneOf []string
	// includes lists the strings that a list must hold.
	includes []string
	fallback node
}

func (d *decoder) parameter(name string, n node) parameter {
	o := d.object(n, "type", "description", "min", "max", "oneOf", "includes", "default")
	p := parameter{name: name, min: o.optional("min"), max: o.optional("max"), fallback: o.optional("default")}
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
	d.measure(p.min, p.boundType())
	d.measure(p.max, p.boundType())
	p.oneOf = d.strings(o.optional("oneOf"), TypeStrings)
	p.includes = d.strings(o.optional("includes"), TypeStrings)
	d.value(p, p.fallback)
	return p
}

func joinTypes() string {
	names := make([]string, len(types))
	for i, t := range types {
		names[i] = string(t)
	}
	return strings.Join(names, ", ")
}

// boundType is the type of min and max: lists are bounded by their length.
func (p parameter) boundType() Type {
	switch p.typ {
	case TypeStrings, TypeCalls, TypeString:
		return TypeInt
	default:
		return p.typ
	}
}

// anyNumber admits every value that a bound can hold exactly.
var anyNumber = limits{min: -1 << 53, max: 1 << 53}

// measure returns the number that min and max are compared with.
func (d *decoder) measure(n node, typ Type) float64 {
	switch typ {
	case TypeInt:
		return float64(d.integer(n, anyNumber))
	case TypeRatio:
		return d.ratio(n, anyNumber)
	case TypeDuration:
		return float64(d.duration(n, anyNumber))
	case TypeSize:
		return float64(d.size(n, anyNumber))
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

// value checks a value, a workspace's or the default, against the parameter.
func (d *decoder) value(p parameter, n node) {
	if n.absent() {
		return
	}
	before := len(d.problems)
	got := d.measure(n, p.typ)
	if len(d.problems) > before {
		return
	}
	if !p.min.absent() && got < d.measure(p.min, p.boundType()) {
		d.fail(n, "%s below the least allowed, %s", p.subject(), p.min.text())
	}
	if !p.max.absent() && got > d.measure(p.max, p.boundType()) {
		d.fail(n, "%s above the most allowed, %s", p.subject(), p.max.text())
	}
	d.members(p, n)
}

// subject says what of a value min and max bound.
func (p parameter) subject() string {
	if p.boundType() != p.typ {
		return "length is"
	}
	return "value is"
}

// members checks the strings of a value against oneOf and includes.
func (d *decoder) members(p parameter, n node) {
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
