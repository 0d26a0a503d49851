// Package source loads a bundle from a folder of JSON-with-comments files, as
// operators keep it in version control.
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

// Extension is the ending of the files that belong to a bundle.
const Extension = ".jsonc"

// file is the content of one file. Any file may hold services and routes, and
// one the limits.
type file struct {
	Services []bundle.Service `json:"services"`
	Routes   []bundle.Route   `json:"routes"`
	Limits   bundle.Limits    `json:"limits"`
}

// Load reads every file of the folder and its subfolders, fills in defaults and
// checks the whole. It returns every fault found; the bundle is normalized and
// only valid without faults.
func Load(dir string) (bundle.Bundle, []bundle.Fault) {
	names, err := list(dir)
	if err != nil {
		return bundle.Bundle{}, []bundle.Fault{{File: dir, Message: err.Error()}}
	}
	if len(names) == 0 {
		message := fmt.Sprintf("folder has no files that end in %s", Extension)
		return bundle.Bundle{}, []bundle.Fault{{File: dir, Message: message}}
	}
	l := loader{dir: dir, services: make(map[string]place), routes: make(map[string]place)}
	jsonc.ApplyDefaults(&l.bundle.Limits)
	for _, name := range names {
		l.load(name)
	}
	l.bundle.Normalize()
	if !l.unread {
		l.check()
	}
	return l.bundle, l.faults
}

// list returns the bundle's files sorted by name.
func list(dir string) ([]string, error) {
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

// place is where an object is defined.
type place struct {
	positions *jsonc.Positions
	// key is the object's key in the file, such as "routes[2]".
	key string
}

type loader struct {
	dir      string
	bundle   bundle.Bundle
	services map[string]place
	routes   map[string]place
	// limits is where the limits stand; nil while no file has them.
	limits *place
	faults []bundle.Fault
	// unread tells that a file could not be read at all, so that references into
	// it cannot be checked.
	unread bool
}

func (l *loader) load(name string) {
	var f file
	positions, faults := jsonc.DecodeFile(name, &f)
	l.faults = append(l.faults, faults...)
	for _, fault := range faults {
		l.unread = l.unread || fault.Key == ""
	}
	l.setLimits(f.Limits, positions)
	for i, s := range f.Services {
		p := place{positions: positions, key: fmt.Sprintf("services[%d]", i)}
		if l.define(l.services, "service", s.Name, p) {
			l.bundle.Services = append(l.bundle.Services, s)
		}
	}
	for i, r := range f.Routes {
		p := place{positions: positions, key: fmt.Sprintf("routes[%d]", i)}
		if l.define(l.routes, "route", r.Name, p) {
			l.bundle.Routes = append(l.bundle.Routes, r)
		}
	}
}

// setLimits takes the limits of a file, of which there may be one.
func (l *loader) setLimits(limits bundle.Limits, positions *jsonc.Positions) {
	if !positions.Has(bundle.KeyLimits) {
		return
	}
	p := place{positions: positions, key: bundle.KeyLimits}
	if l.limits != nil {
		l.faults = append(l.faults, positions.Fault(bundle.KeyLimits, "limits are already given in %s", l.limits.describe()))
		return
	}
	l.limits, l.bundle.Limits = &p, limits
}

// define notes where an object stands. It refuses a second one of its name and
// reports whether the object is the first.
func (l *loader) define(places map[string]place, kind, name string, p place) bool {
	first, ok := places[name]
	if !ok {
		places[name] = p
		return true
	}
	l.faults = append(l.faults, p.positions.Fault(p.key+".name",
		"%s %q is already defined in %s", kind, name, first.describe()))
	return false
}

func (p place) describe() string {
	f := p.positions.Fault(p.key, "")
	return fmt.Sprintf("%s, line %d", f.File, f.Line)
}

// check runs the checks that a node runs and adds the places of the faults. A
// key that already has a fault is not reported again.
func (l *loader) check() {
	reported := make(map[bundle.Fault]bool)
	for _, f := range l.faults {
		reported[bundle.Fault{File: f.File, Key: f.Key}] = true
	}
	for _, f := range bundle.Validate(&l.bundle) {
		f = l.locate(f)
		if !reported[bundle.Fault{File: f.File, Key: f.Key}] {
			l.faults = append(l.faults, f)
		}
	}
}

// locate turns the key of a fault in the bundle into file, line and key.
func (l *loader) locate(f bundle.Fault) bundle.Fault {
	if strings.HasPrefix(f.Key, bundle.KeyLimits) && l.limits != nil {
		return l.limits.positions.Fault(f.Key, "%s", f.Message)
	}
	kind, rest, _ := strings.Cut(f.Key, "/")
	places := l.services
	if kind == bundle.KeyRoutes {
		places = l.routes
	}
	for end := len(rest); end >= 0; end = strings.LastIndexByte(rest[:end], '.') {
		if p, ok := places[rest[:end]]; ok {
			return p.positions.Fault(p.key+rest[end:], "%s", f.Message)
		}
	}
	if f.File == "" {
		f.File = l.dir
	}
	return f
}

// Reference returns the reference of the files in Markdown.
func Reference() string {
	return referenceHeader + jsonc.Table(jsonc.Entries(file{}))
}

const referenceHeader = `# Bundle files

A bundle is a folder of files that end in ` + "`.jsonc`" + `, in any number of
subfolders: JSON with comments and trailing commas. Each file may hold services
and routes, and one of them the limits. ` + "`tarragondrum bundle check DIR`" + ` checks a
folder without the platform and reports every fault with file, line and key.
Defaults are written into the bundle when it is prepared, so a later program
with other defaults does not change its meaning.

Durations are whole milliseconds, written like ` + "`250ms`" + ` or ` + "`2s`" + `. Two routes must
differ in their host or path prefix. A request is matched by its exact host and
the longest path prefix.

Written by ` + "`tarragondrum bundle reference`" + `.

`
