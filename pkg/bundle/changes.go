package bundle

import (
	"fmt"
	"reflect"
	"sort"
	"strings"
)

// Action tells what happens to an object between two bundles.
type Action string

// The actions.
const (
	ActionAdd    Action = "add"
	ActionChange Action = "change"
	ActionRemove Action = "remove"
)

// Change is one object that differs between two bundles.
type Change struct {
	Action Action `json:"action"`
	// Kind is KeyServices, KeyRoutes or KeyLimits.
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Fields lists what differs in a changed object.
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange is one key of an object that differs.
type FieldChange struct {
	Key  string `json:"key"`
	From string `json:"from"`
	To   string `json:"to"`
}

// String writes the change in one line.
func (c Change) String() string {
	object := strings.TrimSuffix(c.Kind, "s") + " " + c.Name
	if c.Kind == KeyLimits {
		object = c.Kind
	}
	switch c.Action {
	case ActionAdd:
		return "+ " + object
	case ActionRemove:
		return "- " + object
	}
	fields := make([]string, 0, len(c.Fields))
	for _, f := range c.Fields {
		fields = append(fields, fmt.Sprintf("%s %s -> %s", f.Key, f.From, f.To))
	}
	return "~ " + object + ": " + strings.Join(fields, ", ")
}

// Changes lists the objects that differ between two normalized bundles, services
// first, sorted by name, and the limits last.
func Changes(from, to *Bundle) []Change {
	changes := changesOf(KeyServices, from.Services, to.Services, func(s Service) string { return s.Name })
	changes = append(changes, changesOf(KeyRoutes, from.Routes, to.Routes, func(r Route) string { return r.Name })...)
	if fields := fieldChanges("", reflect.ValueOf(from.Limits), reflect.ValueOf(to.Limits)); len(fields) > 0 {
		changes = append(changes, Change{Action: ActionChange, Kind: KeyLimits, Fields: fields})
	}
	return changes
}

func changesOf[T any](kind string, from, to []T, name func(T) string) []Change {
	put, gone := diff(from, to, name)
	old := make(map[string]T, len(from))
	for _, v := range from {
		old[name(v)] = v
	}
	var changes []Change
	for _, v := range put {
		c := Change{Action: ActionAdd, Kind: kind, Name: name(v)}
		if was, ok := old[c.Name]; ok {
			c.Action = ActionChange
			c.Fields = fieldChanges("", reflect.ValueOf(was), reflect.ValueOf(v))
		}
		changes = append(changes, c)
	}
	for _, n := range gone {
		changes = append(changes, Change{Action: ActionRemove, Kind: kind, Name: n})
	}
	sort.SliceStable(changes, func(i, j int) bool { return changes[i].Name < changes[j].Name })
	return changes
}

// diff returns the elements of to that are new or changed, and the names of
// the elements of from that are gone.
func diff[T any](from, to []T, name func(T) string) (put []T, gone []string) {
	old := make(map[string]T, len(from))
	for _, v := range from {
		old[name(v)] = v
	}
	for _, v := range to {
		was, ok := old[name(v)]
		if !ok || !reflect.DeepEqual(was, v) {
			put = append(put, v)
		}
		delete(old, name(v))
	}
	for _, v := range from {
		if _, ok := old[name(v)]; ok {
			gone = append(gone, name(v))
		}
	}
	return put, gone
}

// fieldChanges compares two structs of one type, key by key.
func fieldChanges(parent string, from, to reflect.Value) []FieldChange {
	var changes []FieldChange
	for i := range from.NumField() {
		name, _, _ := strings.Cut(from.Type().Field(i).Tag.Get("json"), ",")
		key := parent + name
		a, b := from.Field(i), to.Field(i)
		if a.Kind() == reflect.Struct {
			changes = append(changes, fieldChanges(key+".", a, b)...)
			continue
		}
		if !reflect.DeepEqual(a.Interface(), b.Interface()) {
			changes = append(changes, FieldChange{Key: key, From: formatField(a), To: formatField(b)})
		}
	}
	return changes
}

func formatField(v reflect.Value) string {
	if d, ok := v.Interface().(Duration); ok {
		return d.Std().String()
	}
	if v.Kind() == reflect.String {
		return fmt.Sprintf("%q", v.String())
	}
	return fmt.Sprint(v.Interface())
}
