package jsonc

import (
	"encoding"
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
)

// decoder walks a syntax tree beside a Go value.
type decoder struct {
	positions *Positions
	newlines  []int
	faults    []bundle.Fault
}

func (d *decoder) decodeRoot(root hujson.Value, v any) {
	target := reflect.ValueOf(v).Elem()
	if _, ok := root.Value.(*hujson.Object); !ok {
		d.fault("", "expected an object, found %s", kindName(root.Value.Kind()))
		return
	}
	applyDefaults(target)
	d.decode("", root, target)
}

func (d *decoder) fault(key, format string, args ...any) {
	d.faults = append(d.faults, d.positions.Fault(key, format, args...))
}

func (d *decoder) line(offset int) int {
	return 1 + sort.SearchInts(d.newlines, offset)
}

func (d *decoder) decode(key string, v hujson.Value, target reflect.Value) {
	if u, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(key, v, u)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.decodeObject(key, v, target)
	case reflect.Slice:
		d.decodeArray(key, v, target)
	case reflect.String:
		if s, ok := d.literal(key, v, '"', "a string"); ok {
			target.SetString(s.String())
		}
	case reflect.Bool:
		d.decodeBool(key, v, target)
	case reflect.Int, reflect.Int64:
		d.decodeInt(key, v, target)
	default:
		d.fault(key, "the program cannot read values of type %s", target.Type())
	}
}

func (d *decoder) decodeObject(key string, v hujson.Value, target reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.fault(key, "expected an object, found %s", kindName(v.Value.Kind()))
		return
	}
	fields := fieldsOf(target.Type())
	for _, m := range object.Members {
		literal, _ := m.Name.Value.(hujson.Literal)
		name := literal.String()
		path := join(key, name)
		line := d.line(m.Name.StartOffset)
		if first, ok := d.positions.lines[path]; ok {
			d.faultAt(line, path, "key is given twice, first on line %d", first)
			continue
		}
		d.positions.lines[path] = line
		i, ok := fields[name]
		if !ok {
			d.fault(path, "unknown key; known are %s", strings.Join(names(target.Type()), ", "))
			continue
		}
		d.decode(path, m.Value, target.Field(i))
	}
}

func (d *decoder) faultAt(line int, key, format string, args ...any) {
	f := d.positions.Fault(key, format, args...)
	f.Line = line
	d.faults = append(d.faults, f)
}

func (d *decoder) decodeArray(key string, v hujson.Value, target reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.fault(key, "expected a list, found %s", kindName(v.Value.Kind()))
		return
	}
	list := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i, element := range array.Elements {
		path := fmt.Sprintf("%s[%d]", key, i)
		d.positions.lines[path] = d.line(element.StartOffset)
		applyDefaults(list.Index(i))
		d.decode(path, element, list.Index(i))
	}
	target.Set(list)
}

func (d *decoder) decodeText(key string, v hujson.Value, u encoding.TextUnmarshaler) {
	what := "text"
	if _, ok := u.(*bundle.Duration); ok {
		what = `a duration such as "250ms"`
	}
	s, ok := d.literal(key, v, '"', what)
	if !ok {
		return
	}
	if err := u.UnmarshalText([]byte(s.String())); err != nil {
		d.fault(key, "expected %s, found %q", what, s.String())
	}
}

func (d *decoder) decodeBool(key string, v hujson.Value, target reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || (literal.Kind() != 't' && literal.Kind() != 'f') {
		d.fault(key, "expected true or false, found %s", kindName(v.Value.Kind()))
		return
	}
	target.SetBool(literal.Bool())
}

func (d *decoder) decodeInt(key string, v hujson.Value, target reflect.Value) {
	literal, ok := d.literal(key, v, '0', "a whole number")
	if !ok {
		return
	}
	n, err := strconv.ParseInt(string(literal), 10, target.Type().Bits())
	if err != nil {
		d.fault(key, "expected a whole number, found %s", string(literal))
		return
	}
	target.SetInt(n)
}

// literal returns v as a literal of the given kind, or reports a fault.
func (d *decoder) literal(key string, v hujson.Value, kind hujson.Kind, what string) (hujson.Literal, bool) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != kind {
		d.fault(key, "expected %s, found %s", what, kindName(v.Value.Kind()))
		return nil, false
	}
	return literal, true
}

func kindName(k hujson.Kind) string {
	switch k {
	case '{':
		return "an object"
	case '[':
		return "a list"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case 'n':
		return "null"
	}
	return "true or false"
}

func join(parent, name string) string {
	if parent == "" {
		return name
	}
	return parent + "." + name
}

// fieldsOf maps the JSON names of a struct's fields to their indexes.
func fieldsOf(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		if name := jsonName(t.Field(i)); name != "" {
			fields[name] = i
		}
	}
	return fields
}

// names returns the JSON names of a struct's fields in their order.
func names(t reflect.Type) []string {
	var list []string
	for i := range t.NumField() {
		if name := jsonName(t.Field(i)); name != "" {
			list = append(list, name)
		}
	}
	return list
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "-" || !f.IsExported() {
		return ""
	}
	return name
}
