package jsonc

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
)

// Entry describes one key of a file for the reference documentation. It is read from
// the tags of the struct field.
type Entry struct {
	// Key is the path of the key; "[]" after a name marks a list.
	Key string
	// Type is the type of the value as the documentation names it, such as "duration".
	Type string
	// Default is the value that applies if the key is absent; empty if there is none.
	Default string
	// Help says what the key means, with its unit.
	Help string
}

// Entries lists the keys of a file that is decoded into the type of v, in the
// order of the fields.
func Entries(v any) []Entry { return entries("", reflect.TypeOf(v)) }

// entries lists the keys below parent for the struct type t.
func entries(parent string, t reflect.Type) []Entry {
	var list []Entry
	for i := range t.NumField() {
		field := t.Field(i)
		name := jsonName(field)
		if name == "" {
			continue
		}
		key := joinKey(parent, name)
		valueType := field.Type
		if valueType.Kind() == reflect.Pointer {
			valueType = valueType.Elem()
		}
		if valueType.Kind() == reflect.Slice {
			key += "[]"
			valueType = valueType.Elem()
		}
		if valueType.Kind() == reflect.Struct {
			list = append(list, entries(key, valueType)...)
			continue
		}
		list = append(list, Entry{
			Key:     key,
			Type:    typeName(valueType),
			Default: field.Tag.Get("default"),
			Help:    field.Tag.Get("help"),
		})
	}
	return list
}

// typeName names a Go type as users of the file know it.
func typeName(t reflect.Type) string {
	if t == reflect.TypeFor[bundle.Duration]() {
		return "duration"
	}
	if reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
		return "text"
	}
	switch t.Kind() {
	case reflect.Int, reflect.Int64:
		return "number"
	case reflect.Bool:
		return "true or false"
	}
	return "string"
}

// Table returns the entries as a Markdown table.
func Table(list []Entry) string {
	var b strings.Builder
	b.WriteString("| key | type | default | meaning |\n|---|---|---|---|\n")
	for _, e := range list {
		defaultCell := ""
		if e.Default != "" {
			defaultCell = "`" + e.Default + "`"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", e.Key, e.Type, defaultCell, e.Help)
	}
	return b.String()
}
