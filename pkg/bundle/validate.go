package bundle

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// Limits of a bundle's content and of the faults that are reported.
const (
	maxNameLength     = 128
	maxPathLength     = 1024
	maxAttempts       = 5
	maxWeight         = 1_000_000
	maxConnections    = 100_000
	minHeaderBytes    = 256
	maxHeaderBytes    = 1 << 20
	maxBodyBytes      = 1 << 30
	minTimeout        = time.Millisecond
	maxTimeout        = 10 * time.Minute
	minHeaderTimeout  = 100 * time.Millisecond
	maxHeaderTimeout  = time.Minute
	minIdleTimeout    = time.Second
	maxFaultsReported = 200
	maxFaultsInError  = 3
)

// Kinds of objects. The key of a fault begins with the kind of the object concerned,
// for example "routes/orders.timeout".
const (
	KeyServices = "services"
	KeyRoutes   = "routes"
	KeyLimits   = "limits"
	// KeyOrganisations is the kind of organisations.
	KeyOrganisations = "organisations"
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	hostPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)
)

// Validate returns the faults of a normalized bundle, at most maxFaultsReported.
// Operators' tools and nodes run the same checks.
func Validate(b *Bundle) []Fault {
	v := &validator{services: make(map[string]bool, len(b.Services))}
	v.checkSizes(b)
	for i := range b.Services {
		v.checkService(&b.Services[i])
	}
	for i := range b.Routes {
		v.checkRoute(&b.Routes[i])
	}
	v.checkOrganisations(b)
	v.checkLimits(&b.Limits)
	v.checkDuplicates(b)
	v.checkConflicts(b)
	if len(v.faults) > maxFaultsReported {
		v.faults = v.faults[:maxFaultsReported]
	}
	return v.faults
}

// Check validates a normalized bundle and returns an error that wraps ErrInvalid and
// lists the first maxFaultsInError faults, or nil if there are none.
func Check(b *Bundle) error {
	faults := Validate(b)
	if len(faults) == 0 {
		return nil
	}
	var text []string
	for _, f := range faults[:min(len(faults), maxFaultsInError)] {
		text = append(text, f.Key+": "+f.Message)
	}
	return fmt.Errorf("%w: %d in all, such as %s", ErrInvalid, len(faults), strings.Join(text, "; "))
}

// validator collects the faults of one bundle.
type validator struct {
	// services holds the names of the services that routes may refer to.
	services map[string]bool
	faults   []Fault
}

// addFault records a fault at the given key; an empty key stands for the whole bundle.
func (v *validator) addFault(key, format string, args ...any) {
	v.faults = append(v.faults, Fault{Key: key, Message: fmt.Sprintf(format, args...)})
}

func (v *validator) checkSizes(b *Bundle) {
	if len(b.Services) == 0 {
		v.addFault(KeyServices, "bundle has no services")
	}
	raw, err := encMode.Marshal(b)
	if err != nil || len(raw) > MaxContentBytes {
		v.addFault("", "bundle has %d bytes, but at most %d are allowed", len(raw), MaxContentBytes)
	}
}

func (v *validator) checkService(s *Service) {
	key := KeyServices + "/" + s.Name
	v.services[s.Name] = true
	v.checkName(key, s.Name)
	v.checkDuration(key+".timeout", s.Timeout, minTimeout, maxTimeout)
	v.checkPath(key+".healthPath", s.HealthPath)
	v.checkRange(key+".maxConnections", s.MaxConnections, 1, maxConnections)
}

func (v *validator) checkLimits(l *Limits) {
	v.checkRange(KeyLimits+".headerBytes", l.HeaderBytes, minHeaderBytes, maxHeaderBytes)
	v.checkRange(KeyLimits+".bodyBytes", l.BodyBytes, 0, maxBodyBytes)
	v.checkDuration(KeyLimits+".headerTimeout", l.HeaderTimeout, minHeaderTimeout, maxHeaderTimeout)
	v.checkDuration(KeyLimits+".idleTimeout", l.IdleTimeout, minIdleTimeout, maxTimeout)
}

func (v *validator) checkRoute(r *Route) {
	key := KeyRoutes + "/" + r.Name
	v.checkName(key, r.Name)
	if !hostPattern.MatchString(r.Host) {
		v.addFault(key+".host", "host %q is not a lower-case host name without port", r.Host)
	}
	v.checkPath(key+".pathPrefix", r.PathPrefix)
	if !strings.HasSuffix(r.PathPrefix, "/") {
		v.addFault(key+".pathPrefix", "path prefix %q must end in /; a prefix covers whole segments", r.PathPrefix)
	}
	v.checkParts(key, r)
	if !r.Class.Valid() {
		v.addFault(key+".class", "class %q is unknown; known are %v", r.Class, model.Classes())
	}
	if r.Timeout != 0 {
		v.checkDuration(key+".timeout", r.Timeout, minTimeout, maxTimeout)
	}
	if r.Target != 0 {
		v.checkDuration(key+".target", r.Target, minTimeout, maxTimeout)
	}
	if r.Timeout != 0 && r.Target > r.Timeout {
		v.addFault(key+".target", "target %s is longer than the timeout %s", r.Target.Std(), r.Timeout.Std())
	}
	v.checkRange(key+".attempts", r.Attempts, 1, maxAttempts)
}

// checkParts checks that a route names either one existing service, or parts with
// distinct existing services and a total weight above zero.
func (v *validator) checkParts(key string, r *Route) {
	if len(r.Parts) == 0 {
		if !v.services[r.Service] {
			v.addFault(key+".service", "service %q does not exist in this bundle", r.Service)
		}
		return
	}
	if r.Service != "" {
		v.addFault(key+".service", "route has both service %q and parts", r.Service)
	}
	total := 0
	seen := make(map[string]bool, len(r.Parts))
	for _, p := range r.Parts {
		if !v.services[p.Service] {
			v.addFault(key+".parts", "service %q does not exist in this bundle", p.Service)
		}
		if seen[p.Service] {
			v.addFault(key+".parts", "service %q is given twice", p.Service)
		}
		seen[p.Service] = true
		v.checkRange(key+".parts", p.Weight, 0, maxWeight)
		total += p.Weight
	}
	if total == 0 {
		v.addFault(key+".parts", "route has no weight")
	}
}

func (v *validator) checkName(key, name string) {
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		v.addFault(key+".name", "name %q must be 1 to %d lower-case letters, digits and inner hyphens", name, maxNameLength)
	}
}

func (v *validator) checkPath(key, path string) {
	if !strings.HasPrefix(path, "/") || len(path) > maxPathLength {
		v.addFault(key, "path %q must begin with / and have at most %d characters", path, maxPathLength)
		return
	}
	if strings.ContainsAny(path, "?# \t\r\n\\") || hasEmptyOrDotSegment(path) {
		v.addFault(key, "path %q must be clean: no query, fragment, space, empty or dot segment", path)
	}
}

// hasEmptyOrDotSegment reports whether a segment of the path is "", "." or "..".
func hasEmptyOrDotSegment(path string) bool {
	terminated := path + "/"
	return strings.Contains(path, "//") || strings.Contains(terminated, "/../") || strings.Contains(terminated, "/./")
}

// checkDuration checks the range of d and that it has no fraction of a millisecond.
func (v *validator) checkDuration(key string, d Duration, low, high time.Duration) {
	if d.Std() < low || d.Std() > high {
		v.addFault(key, "duration %s must be between %s and %s", d.Std(), low, high)
	}
	if d.Std()%time.Millisecond != 0 {
		v.addFault(key, "duration %s must be whole milliseconds", d.Std())
	}
}

// checkRange checks that n, an int or int64, lies between low and high inclusive.
func (v *validator) checkRange(key string, n any, low, high int64) {
	var value int64
	switch n := n.(type) {
	case int:
		value = int64(n)
	case int64:
		value = n
	}
	if value < low || value > high {
		v.addFault(key, "value %d must be between %d and %d", value, low, high)
	}
}

// checkDuplicates reports services and routes whose name occurs twice. Package source
// reports duplicates itself, with both locations; this check covers bundles that reach
// a node without having been loaded from source files.
func (v *validator) checkDuplicates(b *Bundle) {
	for i := 1; i < len(b.Services); i++ {
		if b.Services[i].Name == b.Services[i-1].Name {
			v.addFault(KeyServices+"/"+b.Services[i].Name+".name", "service %q is defined twice", b.Services[i].Name)
		}
	}
	for i := 1; i < len(b.Routes); i++ {
		if b.Routes[i].Name == b.Routes[i-1].Name {
			v.addFault(KeyRoutes+"/"+b.Routes[i].Name+".name", "route %q is defined twice", b.Routes[i].Name)
		}
	}
}
