package jsonc

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
)

// Entry describes one key of a file, as the tags of its struct field say.
type Entry struct {
	// Key is the path of the key; a list is marked by "[]".
	Key string
	// Type is the kind of value in words.
	Type string
	// Default is the value without the key; empty when there is none.
	Default string
	// Help says what the key means, with its unit.
	Help string
}

// Entries lists the keys of a file that is decoded into the type of v, in the
// order of the fields.
func Entries(v any) []Entry { return entries("", reflect.TypeOf(v)) }

func entries(parent string, t reflect.Type) []Entry {
	var list []Entry
	for i := range t.NumField() {
		field := t.Field(i)
		name := jsonName(field)
		if name == "" {
			continue
		}
		key := join(parent, name)
		inner := field.Type
		if inner.Kind() == reflect.Slice {
			key += "[]"
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct {
			list = append(list, entries(key, inner)...)
			continue
		}
		list = append(list, Entry{
			Key:     key,
			Type:    typeName(inner),
			Default: field.Tag.Get("default"),
			Help:    field.Tag.Get("help"),
		})
	}
	return list
}

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

// Table writes entries as a Markdown table.
func Table(list []Entry) string {
	var b strings.Builder
	b.WriteString("| key | type | default | meaning |\n|---|---|---|---|\n")
	for _, e := range list {
		value := ""
		if e.Default != "" {
			value = "`" + e.Default + "`"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", e.Key, e.Type, value, e.Help)
	}
	return b.String()
}
