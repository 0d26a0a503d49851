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

// decoder copies a parsed syntax tree into a Go struct by reflection and collects
// the faults it finds on the way.
type decoder struct {
	positions *Positions
	// newlines holds the offsets of all newlines in the file, in ascending order.
	newlines []int
	faults   []bundle.Fault
}

// decodeRoot decodes the top-level value, which must be an object, into the struct
// that v points to. Defaults are set first, so absent keys keep them.
func (d *decoder) decodeRoot(root hujson.Value, v any) {
	target := reflect.ValueOf(v).Elem()
	if _, ok := root.Value.(*hujson.Object); !ok {
		d.addFault("", "expected an object, found %s", kindName(root.Value.Kind()))
		return
	}
	applyDefaults(target)
	d.decodeValue("", root, target)
}

// addFault records a fault at the line of key or of its nearest parent.
func (d *decoder) addFault(key, format string, args ...any) {
	d.faults = append(d.faults, d.positions.Fault(key, format, args...))
}

// lineAt returns the line, counted from 1, that contains the byte at offset.
func (d *decoder) lineAt(offset int) int {
	return 1 + sort.SearchInts(d.newlines, offset)
}

// decodeValue decodes v into target by the Go type of target. A type that implements
// encoding.TextUnmarshaler is read from a string.
func (d *decoder) decodeValue(key string, v hujson.Value, target reflect.Value) {
	if u, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(key, v, u)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.decodeObject(key, v, target)
	case reflect.Pointer: // an optional value, nil if the key is absent
		value := reflect.New(target.Type().Elem())
		d.decodeValue(key, v, value.Elem())
		target.Set(value)
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
		d.addFault(key, "decoding values of type %s is not supported", target.Type())
	}
}

// decodeObject decodes an object into a struct. For a duplicate key the first value
// stays and the second one is a fault.
func (d *decoder) decodeObject(key string, v hujson.Value, target reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addFault(key, "expected an object, found %s", kindName(v.Value.Kind()))
		return
	}
	fields := fieldIndexes(target.Type())
	for _, m := range object.Members {
		literal, _ := m.Name.Value.(hujson.Literal)
		name := literal.String()
		path := joinKey(key, name)
		line := d.lineAt(m.Name.StartOffset)
		if first, ok := d.positions.lines[path]; ok {
			d.addFaultAt(line, path, "key is given twice, first on line %d", first)
			continue
		}
		d.positions.lines[path] = line
		i, ok := fields[name]
		if !ok {
			d.addFault(path, "unknown key; known are %s", strings.Join(fieldNames(target.Type()), ", "))
			continue
		}
		d.decodeValue(path, m.Value, target.Field(i))
	}
}

// addFaultAt records a fault at the given line. A duplicate key needs it, because
// positions has the line of its first occurrence.
func (d *decoder) addFaultAt(line int, key, format string, args ...any) {
	f := d.positions.Fault(key, format, args...)
	f.Line = line
	d.faults = append(d.faults, f)
}

// decodeArray decodes a list into a slice. Every element starts with its defaults.
func (d *decoder) decodeArray(key string, v hujson.Value, target reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addFault(key, "expected a list, found %s", kindName(v.Value.Kind()))
		return
	}
	list := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i, element := range array.Elements {
		path := fmt.Sprintf("%s[%d]", key, i)
		d.positions.lines[path] = d.lineAt(element.StartOffset)
		applyDefaults(list.Index(i))
		d.decodeValue(path, element, list.Index(i))
	}
	target.Set(list)
}

// decodeText passes a string to u.
func (d *decoder) decodeText(key string, v hujson.Value, u encoding.TextUnmarshaler) {
	expected := "text"
	if _, ok := u.(*bundle.Duration); ok {
		expected = `a duration such as "250ms"`
	}
	s, ok := d.literal(key, v, '"', expected)
	if !ok {
		return
	}
	if err := u.UnmarshalText([]byte(s.String())); err != nil {
		d.addFault(key, "expected %s, found %q", expected, s.String())
	}
}

// decodeBool decodes true or false.
func (d *decoder) decodeBool(key string, v hujson.Value, target reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || (literal.Kind() != 't' && literal.Kind() != 'f') {
		d.addFault(key, "expected true or false, found %s", kindName(v.Value.Kind()))
		return
	}
	target.SetBool(literal.Bool())
}

// decodeInt decodes an integer that fits the type of target.
func (d *decoder) decodeInt(key string, v hujson.Value, target reflect.Value) {
	literal, ok := d.literal(key, v, '0', "a whole number")
	if !ok {
		return
	}
	n, err := strconv.ParseInt(string(literal), 10, target.Type().Bits())
	if err != nil {
		d.addFault(key, "expected a whole number, found %s", string(literal))
		return
	}
	target.SetInt(n)
}

// literal returns v as a literal of the given kind. For a value of another kind it
// records a fault that names the expected kind, and returns false.
func (d *decoder) literal(key string, v hujson.Value, kind hujson.Kind, expected string) (hujson.Literal, bool) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != kind {
		d.addFault(key, "expected %s, found %s", expected, kindName(v.Value.Kind()))
		return nil, false
	}
	return literal, true
}

// kindName describes a JSON type in error messages.
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

// joinKey appends a name to the path of its parent object, as in "mesh.contacts".
func joinKey(parent, name string) string {
	if parent == "" {
		return name
	}
	return parent + "." + name
}

// fieldIndexes maps the JSON names of a struct's fields to their indexes.
func fieldIndexes(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		if name := jsonName(t.Field(i)); name != "" {
			fields[name] = i
		}
	}
	return fields
}

// fieldNames returns the JSON names of a struct's fields in declaration order.
func fieldNames(t reflect.Type) []string {
	var list []string
	for i := range t.NumField() {
		if name := jsonName(t.Field(i)); name != "" {
			list = append(list, name)
		}
	}
	return list
}

// jsonName returns the key of a field as its json tag has it. It is empty for a field
// that is unexported, has no name in its tag, or is excluded with "-".
func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "-" || !f.IsExported() {
		return ""
	}
	return name
}
