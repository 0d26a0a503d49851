package bundle

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// Limits of a bundle's content.
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

// The first part of a fault's key tells which kind of object it is in. The key
// of a fault in a bundle is like "routes/orders.timeout".
const (
	KeyServices = "services"
	KeyRoutes   = "routes"
	KeyLimits   = "limits"
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	hostPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)
)

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
	v.checkLimits(&b.Limits)
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
		v.fault(key+".host", "host %q is not a lower-case host name without port", r.Host)
	}
	v.checkPath(key+".pathPrefix", r.PathPrefix)
	if !strings.HasSuffix(r.PathPrefix, "/") {
		v.fault(key+".pathPrefix", "path prefix %q must end in /; a prefix covers whole segments", r.PathPrefix)
	}
	v.checkParts(key, r)
	if !r.Class.Valid() {
		v.fault(key+".class", "class %q is unknown; known are %v", r.Class, model.Classes())
	}
	if r.Timeout != 0 {
		v.checkDuration(key+".timeout", r.Timeout, minTimeout, maxTimeout)
	}
	if r.Target != 0 {
		v.checkDuration(key+".target", r.Target, minTimeout, maxTimeout)
	}
	if r.Timeout != 0 && r.Target > r.Timeout {
		v.fault(key+".target", "target %s is longer than the timeout %s", r.Target.Std(), r.Timeout.Std())
	}
	v.checkRange(key+".attempts", r.Attempts, 1, maxAttempts)
}

// checkParts checks where the requests of a route go.
func (v *validator) checkParts(key string, r *Route) {
	if len(r.Parts) == 0 {
		if !v.services[r.Service] {
			v.fault(key+".service", "service %q does not exist in this bundle", r.Service)
		}
		return
	}
	if r.Service != "" {
		v.fault(key+".service", "route has both service %q and parts", r.Service)
	}
	total := 0
	seen := make(map[string]bool, len(r.Parts))
	for _, p := range r.Parts {
		if !v.services[p.Service] {
			v.fault(key+".parts", "service %q does not exist in this bundle", p.Service)
		}
		if seen[p.Service] {
			v.fault(key+".parts", "service %q is given twice", p.Service)
		}
		seen[p.Service] = true
		v.checkRange(key+".parts", p.Weight, 0, maxWeight)
		total += p.Weight
	}
	if total == 0 {
		v.fault(key+".parts", "route has no weight")
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

func (v *validator) checkDuration(key string, d Duration, low, high time.Duration) {
	if d.Std() < low || d.Std() > high {
		v.fault(key, "duration %s must be between %s and %s", d.Std(), low, high)
	}
	if d.Std()%time.Millisecond != 0 {
		v.fault(key, "duration %s must be whole milliseconds", d.Std())
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
