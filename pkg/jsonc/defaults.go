package jsonc

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
)

// ApplyDefaults sets every field of the struct that v points to, and of the
// structs inside it, to the value of its "default" tag. It panics if a tag
// does not parse as the type of its field, which is a programming error. Decode calls
// it for every struct of a file.
func ApplyDefaults(v any) { applyDefaults(reflect.ValueOf(v).Elem()) }

// applyDefaults does the work of ApplyDefaults for one value; values that are not
// structs stay unchanged.
func applyDefaults(target reflect.Value) {
	if target.Kind() != reflect.Struct {
		return
	}
	for i := range target.NumField() {
		field := target.Type().Field(i)
		if !field.IsExported() {
			continue
		}
		if text, ok := field.Tag.Lookup("default"); ok {
			if err := setText(target.Field(i), text); err != nil {
				panic(fmt.Sprintf("default of %s.%s: %v", target.Type(), field.Name, err))
			}
			continue
		}
		applyDefaults(target.Field(i))
	}
}

// setText parses text as the type of target and stores the result there.
func setText(target reflect.Value, text string) error {
	if u, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return u.UnmarshalText([]byte(text))
	}
	switch target.Kind() {
	case reflect.String:
		target.SetString(text)
		return nil
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(text, 10, target.Type().Bits())
		target.SetInt(n)
		return err
	case reflect.Bool:
		b, err := strconv.ParseBool(text)
		target.SetBool(b)
		return err
	}
	return fmt.Errorf("type %s cannot have a default", target.Type())
}
