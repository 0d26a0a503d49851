package bundle

import (
	"fmt"
	"reflect"
	"sort"
	"strings"
)

// Action says how an object differs between two bundles.
type Action string

// Actions of a Change.
const (
	ActionAdd    Action = "add"
	ActionChange Action = "change"
	ActionRemove Action = "remove"
)

// Change describes one object that was added, changed or removed between two bundles.
type Change struct {
	Action Action `json:"action"`
	// Kind is KeyServices, KeyRoutes, KeyOrganisations or KeyLimits.
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Fields lists the fields that differ; it is set for ActionChange only.
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange is one field that differs: its JSON key, and both values as text.
type FieldChange struct {
	Key  string `json:"key"`
	From string `json:"from"`
	To   string `json:"to"`
}

// String formats the change as one line of a diff: "+" marks an added object, "-" a
// removed one and "~" a changed one.
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

// Changes lists the objects that differ between two normalized bundles: first the
// services, then the routes, then the organisations, each sorted by name, and last the limits.
func Changes(from, to *Bundle) []Change {
	changes := objectChanges(KeyServices, from.Services, to.Services, func(s Service) string { return s.Name })
	changes = append(changes, objectChanges(KeyRoutes, from.Routes, to.Routes, func(r Route) string { return r.Name })...)
	changes = append(changes, objectChanges(KeyOrganisations, from.Organisations, to.Organisations, func(o Organisation) string { return o.Name })...)
	if fields := fieldChanges("", reflect.ValueOf(from.Limits), reflect.ValueOf(to.Limits)); len(fields) > 0 {
		changes = append(changes, Change{Action: ActionChange, Kind: KeyLimits, Fields: fields})
	}
	return changes
}

// objectChanges returns the changes between two lists of objects of one kind, sorted by
// name. The function name returns the name that identifies an object.
func objectChanges[T any](kind string, from, to []T, name func(T) string) []Change {
	updated, removed := diff(from, to, name)
	old := make(map[string]T, len(from))
	for _, v := range from {
		old[name(v)] = v
	}
	var changes []Change
	for _, v := range updated {
		c := Change{Action: ActionAdd, Kind: kind, Name: name(v)}
		if previous, ok := old[c.Name]; ok {
			c.Action = ActionChange
			c.Fields = fieldChanges("", reflect.ValueOf(previous), reflect.ValueOf(v))
		}
		changes = append(changes, c)
	}
	for _, n := range removed {
		changes = append(changes, Change{Action: ActionRemove, Kind: kind, Name: n})
	}
	sort.SliceStable(changes, func(i, j int) bool { return changes[i].Name < changes[j].Name })
	return changes
}

// diff returns the elements of to that are new or changed, and the names of the
// elements of from that are missing from to.
func diff[T any](from, to []T, name func(T) string) (updated []T, removed []string) {
	old := make(map[string]T, len(from))
	for _, v := range from {
		old[name(v)] = v
	}
	for _, v := range to {
		previous, ok := old[name(v)]
		if !ok || !reflect.DeepEqual(previous, v) {
			updated = append(updated, v)
		}
		delete(old, name(v))
	}
	for _, v := range from {
		if _, ok := old[name(v)]; ok {
			removed = append(removed, name(v))
		}
	}
	return updated, removed
}

// fieldChanges compares two structs of one type field by field. It names the fields by
// their JSON keys, prefixed by parent, and descends into nested structs.
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

// formatField formats a value for a FieldChange: durations as text such as "250ms",
// strings quoted.
func formatField(v reflect.Value) string {
	if d, ok := v.Interface().(Duration); ok {
		return d.Std().String()
	}
	if v.Kind() == reflect.Pointer {
		if v.IsNil() {
			return "none"
		}
		return formatField(v.Elem())
	}
	if v.Kind() == reflect.String {
		return fmt.Sprintf("%q", v.String())
	}
	return fmt.Sprint(v.Interface())
}
