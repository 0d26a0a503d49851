package bundle

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// Limits of a bundle's content.
const (
	maxServices       = 10_000
	maxRoutes         = 50_000
	maxNameLength     = 128
	maxPathLength     = 1024
	maxAttempts       = 5
	maxQueue          = 100_000
	maxBodyBytes      = 1 << 30
	minTimeout        = time.Millisecond
	maxTimeout        = 10 * time.Minute
	minProbeInterval  = 100 * time.Millisecond
	maxProbeInterval  = 10 * time.Minute
	maxWarmup         = time.Hour
	percent           = 100
	maxFaultsReported = 200
	maxFaultsInError  = 3
)

// The first part of a fault's key tells which kind of object it is in. The key
// of a fault in a bundle is like "routes/orders.timeout".
const (
	KeyServices = "services"
	KeyRoutes   = "routes"
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	hostPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)
)

// knownMethods are the methods that a route can name.
var knownMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// safeMethods never change anything on the upstream.
var safeMethods = []string{"GET", "HEAD", "OPTIONS"}

// Validate returns every broken rule of a normalized bundle. Operators' tools
// and nodes run the same checks. At most maxFaultsReported faults are returned.
func Validate(b *Bundle) []Fault {
	v := &validator{services: make(map[string]bool, len(b.Services))}
	v.checkSizes(b)
	for i := range b.Services {
		v.checkService(&b.Services[i])
	}
	for i := range b.Routes {
		v.checkRoute(&b.Routes[i])
	}
	v.checkDuplicates(b)
	v.checkConflicts(b)
	if len(v.faults) > maxFaultsReported {
		v.faults = v.faults[:maxFaultsReported]
	}
	return v.faults
}

// Check is Validate as an error: it returns ErrInvalid with the first faults.
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

type validator struct {
	services map[string]bool
	faults   []Fault
}

func (v *validator) fault(key, format string, args ...any) {
	v.faults = append(v.faults, Fault{Key: key, Message: fmt.Sprintf(format, args...)})
}

func (v *validator) checkSizes(b *Bundle) {
	if len(b.Services) == 0 {
		v.fault(KeyServices, "bundle has no services")
	}
	if len(b.Services) > maxServices {
		v.fault(KeyServices, "bundle has %d services, at most %d are allowed", len(b.Services), maxServices)
	}
	if len(b.Routes) > maxRoutes {
		v.fault(KeyRoutes, "bundle has %d routes, at most %d are allowed", len(b.Routes), maxRoutes)
	}
	raw, err := encMode.Marshal(b)
	if err != nil || len(raw) > MaxContentBytes {
		v.fault("", "bundle has %d bytes, at most %d are allowed", len(raw), MaxContentBytes)
	}
}

func (v *validator) checkService(s *Service) {
	key := KeyServices + "/" + s.Name
	v.services[s.Name] = true
	v.checkName(key, s.Name)
	v.checkDuration(key+".timeout", s.Timeout, minTimeout, maxTimeout)
	v.checkRange(key+".retryBudgetPercent", s.RetryBudgetPercent, 0, percent)
	v.checkRange(key+".maxBodyBytes", s.MaxBodyBytes, 0, maxBodyBytes)
	v.checkRange(key+".queue.interactive", s.Queue.Interactive, 0, maxQueue)
	v.checkRange(key+".queue.order", s.Queue.Order, 0, maxQueue)
	v.checkRange(key+".queue.batch", s.Queue.Batch, 0, maxQueue)
	v.checkRange(key+".queue.internal", s.Queue.Internal, 0, maxQueue)
	v.checkDuration(key+".warmup", s.Warmup, 0, maxWarmup)
	v.checkRange(key+".maxEjectedPercent", s.MaxEjectedPercent, 0, percent)
	if s.Probe.Path != "" {
		v.checkProbe(key+".probe", s.Probe)
	}
}

func (v *validator) checkProbe(key string, p Probe) {
	v.checkPath(key+".path", p.Path)
	v.checkDuration(key+".interval", p.Interval, minProbeInterval, maxProbeInterval)
	v.checkDuration(key+".timeout", p.Timeout, minTimeout, maxTimeout)
	if p.Timeout > p.Interval {
		v.fault(key+".timeout", "probe timeout %s is longer than its interval %s", p.Timeout.Std(), p.Interval.Std())
	}
}

func (v *validator) checkRoute(r *Route) {
	key := KeyRoutes + "/" + r.Name
	v.checkName(key, r.Name)
	if r.Host != "" && !hostPattern.MatchString(r.Host) {
		v.fault(key+".host", "host %q is not a lower-case host name without port", r.Host)
	}
	v.checkPath(key+".pathPrefix", r.PathPrefix)
	if len(r.PathPrefix) > 1 && strings.HasSuffix(r.PathPrefix, "/") {
		v.fault(key+".pathPrefix", "path prefix %q must not end in /; a prefix covers whole segments", r.PathPrefix)
	}
	v.checkMethods(key+".methods", r.Methods)
	if !v.services[r.Service] {
		v.fault(key+".service", "service %q does not exist in this bundle", r.Service)
	}
	if !r.Class.Valid() {
		v.fault(key+".class", "class %q is unknown; known are %v", r.Class, model.Classes())
	}
	if r.Timeout != 0 {
		v.checkDuration(key+".timeout", r.Timeout, minTimeout, maxTimeout)
	}
	v.checkRange(key+".attempts", r.Attempts, 1, maxAttempts)
	v.checkClass(key, r)
}

// checkClass holds the rules that tie a route's class to its other fields.
func (v *validator) checkClass(key string, r *Route) {
	if r.Class == model.ClassInternal && !r.Internal {
		v.fault(key+".internal", "a route of class internal must set internal to true")
	}
	if r.Class != model.ClassOrder {
		return
	}
	if r.Attempts > 1 {
		v.fault(key+".attempts", "a route of class order is not idempotent and has exactly 1 attempt")
	}
	if len(r.Methods) == 0 {
		v.fault(key+".methods", "a route of class order must name its methods")
	}
	for _, m := range r.Methods {
		if slices.Contains(safeMethods, m) {
			v.fault(key+".methods", "method %s changes nothing and cannot be of class order", m)
		}
	}
}

func (v *validator) checkName(key, name string) {
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		v.fault(key+".name", "name %q must be 1 to %d lower-case letters, digits and inner hyphens", name, maxNameLength)
	}
}

func (v *validator) checkPath(key, path string) {
	if !strings.HasPrefix(path, "/") || len(path) > maxPathLength {
		v.fault(key, "path %q must begin with / and have at most %d characters", path, maxPathLength)
		return
	}
	if strings.ContainsAny(path, "?# \t\r\n\\") || hasOddSegment(path) {
		v.fault(key, "path %q must be clean: no query, fragment, space, empty or dot segment", path)
	}
}

func hasOddSegment(path string) bool {
	slashed := path + "/"
	return strings.Contains(path, "//") || strings.Contains(slashed, "/../") || strings.Contains(slashed, "/./")
}

func (v *validator) checkMethods(key string, methods []string) {
	seen := make(map[string]bool, len(methods))
	for _, m := range methods {
		if !slices.Contains(knownMethods, m) {
			v.fault(key, "method %q is unknown; known are %s", m, strings.Join(knownMethods, ", "))
		}
		if seen[m] {
			v.fault(key, "method %q is given twice", m)
		}
		seen[m] = true
	}
}

func (v *validator) checkDuration(key string, d Duration, low, high time.Duration) {
	if d.Std() < low || d.Std() > high {
		v.fault(key, "duration %s must be between %s and %s", d.Std(), low, high)
	}
}

func (v *validator) checkRange(key string, n any, low, high int64) {
	var value int64
	switch n := n.(type) {
	case int:
		value = int64(n)
	case int64:
		value = n
	}
	if value < low || value > high {
		v.fault(key, "%d must be between %d and %d", value, low, high)
	}
}

// checkDuplicates finds objects of one name; a source folder reports them with
// both places, a node refuses them all the same.
func (v *validator) checkDuplicates(b *Bundle) {
	for i := 1; i < len(b.Services); i++ {
		if b.Services[i].Name == b.Services[i-1].Name {
			v.fault(KeyServices+"/"+b.Services[i].Name+".name", "service %q is defined twice", b.Services[i].Name)
		}
	}
	for i := 1; i < len(b.Routes); i++ {
		if b.Routes[i].Name == b.Routes[i-1].Name {
			v.fault(KeyRoutes+"/"+b.Routes[i].Name+".name", "route %q is defined twice", b.Routes[i].Name)
		}
	}
}
