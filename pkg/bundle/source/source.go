// Package source loads a bundle from a folder of files in JSON with comments, the form
// in which operators keep it in version control.
package source

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/jsonc"
)

// Extension is the file name extension of the files that belong to a bundle. Load
// ignores other files.
const Extension = ".jsonc"

// file is the content of one file. Any file may define services, routes and organisations, but only
// one file of a bundle may define the limits.
type file struct {
	Services []bundle.Service `json:"services"`
	Routes   []bundle.Route   `json:"routes"`
	Limits   bundle.Limits    `json:"limits"`
	// Organisations have keys, which requests to routes that are not public need.
	Organisations []bundle.Organisation `json:"organisations"`
}

// Load reads every bundle file of the folder and its subfolders, fills in defaults and
// validates the resulting bundle. It returns a normalized bundle and the faults found.
// The bundle is valid only if there are no faults.
func Load(dir string) (bundle.Bundle, []bundle.Fault) {
	names, err := listFiles(dir)
	if err != nil {
		return bundle.Bundle{}, []bundle.Fault{{File: dir, Message: err.Error()}}
	}
	if len(names) == 0 {
		message := fmt.Sprintf("folder has no files with the extension %s", Extension)
		return bundle.Bundle{}, []bundle.Fault{{File: dir, Message: message}}
	}
	l := loader{
		dir: dir, services: make(map[string]location), routes: make(map[string]location),
		organisations: make(map[string]location), hashOrders: make(map[string][]int),
	}
	jsonc.ApplyDefaults(&l.bundle.Limits)
	for _, name := range names {
		l.loadFile(name)
	}
	l.bundle.Normalize()
	if !l.unreadable {
		l.check()
	}
	return l.bundle, l.faults
}

// listFiles returns the paths of the bundle's files in sorted order.
func listFiles(dir string) ([]string, error) {
	if _, err := os.Stat(dir); err != nil {
		return nil, fmt.Errorf("read folder: %w", err)
	}
	var names []string
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.Type().IsRegular() && strings.HasSuffix(path, Extension) {
			names = append(names, path)
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("read folder: %w", err)
	}
	sort.Strings(names)
	return names, nil
}

// location is the place in a file where an object is defined.
type location struct {
	// positions maps the keys of the file to lines.
	positions *jsonc.Positions
	// key is the object's key in the file, such as "routes[2]".
	key string
}

// loader collects the objects and faults of all files of one bundle.
type loader struct {
	dir    string
	bundle bundle.Bundle
	// services, routes and organisations hold where each object is first defined, by name.
	services      map[string]location
	routes        map[string]location
	organisations map[string]location
	// hashOrders holds the positions in the file of an organisation's sorted key hashes, by name.
	hashOrders map[string][]int
	// limits is where the limits are defined; it is nil until a file defines them.
	limits *location
	faults []bundle.Fault
	// unreadable is set when a file could not be read or parsed at all. The bundle is
	// then not validated, since references to objects in that file would be reported
	// as faults.
	unreadable bool
}

// loadFile decodes one file and adds its objects to the bundle.
func (l *loader) loadFile(name string) {
	var f file
	positions, faults := jsonc.DecodeFile(name, &f)
	l.faults = append(l.faults, faults...)
	for _, fault := range faults {
		l.unreadable = l.unreadable || fault.Key == ""
	}
	l.addLimits(f.Limits, positions)
	l.addOrganisations(f.Organisations, positions)
	for i, s := range f.Services {
		loc := location{positions: positions, key: fmt.Sprintf("services[%d]", i)}
		if l.define(l.services, "service", s.Name, loc) {
			l.bundle.Services = append(l.bundle.Services, s)
		}
	}
	for i, r := range f.Routes {
		loc := location{positions: positions, key: fmt.Sprintf("routes[%d]", i)}
		if l.define(l.routes, "route", r.Name, loc) {
			l.bundle.Routes = append(l.bundle.Routes, r)
		}
	}
}

// addOrganisations adds the organisations of a file to the bundle.
func (l *loader) addOrganisations(organisations []bundle.Organisation, positions *jsonc.Positions) {
	for i, o := range organisations {
		loc := location{positions: positions, key: fmt.Sprintf("organisations[%d]", i)}
		if l.define(l.organisations, "organisation", o.Name, loc) {
			l.bundle.Organisations = append(l.bundle.Organisations, o)
			l.hashOrders[o.Name] = o.KeyHashes.SortOrder()
		}
	}
}

// keyInFile returns the rest of the key of a fault in an organisation as it is in the file, where
// the hashes of keys are not sorted.
func (l *loader) keyInFile(name, rest string) string {
	var i int
	if _, err := fmt.Sscanf(rest, ".keyHashes[%d]", &i); err == nil && i < len(l.hashOrders[name]) {
		return fmt.Sprintf(".keyHashes[%d]", l.hashOrders[name][i])
	}
	return rest
}

// addLimits sets the limits of the bundle if the file defines them. A second file that
// defines limits is a fault.
func (l *loader) addLimits(limits bundle.Limits, positions *jsonc.Positions) {
	if !positions.Has(bundle.KeyLimits) {
		return
	}
	loc := location{positions: positions, key: bundle.KeyLimits}
	if l.limits != nil {
		l.faults = append(l.faults, positions.Fault(bundle.KeyLimits, "limits are already defined in %s", l.limits.describe()))
		return
	}
	l.limits, l.bundle.Limits = &loc, limits
}

// define records the location of an object and returns true. If an object of the same
// kind and name is already defined, it adds a fault and returns false.
func (l *loader) define(locations map[string]location, kind, name string, loc location) bool {
	first, ok := locations[name]
	if !ok {
		locations[name] = loc
		return true
	}
	l.faults = append(l.faults, loc.positions.Fault(loc.key+".name",
		"%s %q is already defined in %s", kind, name, first.describe()))
	return false
}

// describe returns the file and line of the location for messages.
func (loc location) describe() string {
	f := loc.positions.Fault(loc.key, "")
	return fmt.Sprintf("%s, line %d", f.File, f.Line)
}

// check validates the bundle as a node does, and adds the faults with their locations. It
// leaves out faults of keys that already have a fault from decoding.
func (l *loader) check() {
	reported := make(map[bundle.Fault]bool)
	for _, f := range l.faults {
		reported[bundle.Fault{File: f.File, Key: f.Key}] = true
	}
	for _, f := range bundle.Validate(&l.bundle) {
		f = l.resolveLocation(f)
		if !reported[bundle.Fault{File: f.File, Key: f.Key}] {
			l.faults = append(l.faults, f)
		}
	}
}

// resolveLocation replaces the key of a fault in the bundle, such as
// "routes/orders.timeout", by the file, line and key where the object is defined. Object
// names may contain dots if they are invalid, so it tries the longest name first. A
// fault without a known object is attributed to the folder.
func (l *loader) resolveLocation(f bundle.Fault) bundle.Fault {
	if strings.HasPrefix(f.Key, bundle.KeyLimits) && l.limits != nil {
		return l.limits.positions.Fault(f.Key, "%s", f.Message)
	}
	kind, rest, _ := strings.Cut(f.Key, "/")
	locations := l.services
	switch kind {
	case bundle.KeyRoutes:
		locations = l.routes
	case bundle.KeyOrganisations:
		locations = l.organisations
	}
	for end := len(rest); end >= 0; end = strings.LastIndexByte(rest[:end], '.') {
		if loc, ok := locations[rest[:end]]; ok {
			field := rest[end:]
			if kind == bundle.KeyOrganisations {
				field = l.keyInFile(rest[:end], field)
			}
			return loc.positions.Fault(loc.key+field, "%s", f.Message)
		}
	}
	if f.File == "" {
		f.File = l.dir
	}
	return f
}

// Reference returns the reference documentation of the file format in Markdown.
func Reference() string {
	return referenceHeader + jsonc.Table(jsonc.Entries(file{}))
}

const referenceHeader = `# Bundle files

A bundle is a folder of files that end in ` + "`.jsonc`" + `, in any number of
subfolders: JSON with comments and trailing commas. Each file may hold services,
routes and organisations, and one of them the limits. ` + "`tarragondrum bundle check DIR`" + `
checks a folder without the platform and reports every fault with file, line and key.
Defaults are written into the bundle when it is prepared, so a later program
with other defaults does not change its meaning.

Durations are whole milliseconds, written like ` + "`250ms`" + ` or ` + "`2s`" + `. Two routes must
differ in their host or path prefix. A request is matched by its exact host and
the longest path prefix.

If a bundle has organisations, requests need the key of one of them, unless their
route is public. The bundle has the hashes of the keys, never the keys: for a new
random key, ` + "`printf %s KEY | sha256sum`" + ` prints the hash.

Written by ` + "`tarragondrum bundle reference`" + `.

`
