package bundle

import "slices"

// matchKey is what two routes must share to compete for the same calls.
type matchKey struct {
	host, prefix string
}

// checkConflicts finds routes that compete for the same calls. Two routes with
// the same host and prefix conflict when neither names methods or both name the
// same one. A route without methods beside routes that name theirs takes the
// rest; if there is no rest, no call can reach it.
func (v *validator) checkConflicts(b *Bundle) {
	groups := make(map[matchKey][]*Route)
	for i := range b.Routes {
		r := &b.Routes[i]
		k := matchKey{host: r.Host, prefix: r.PathPrefix}
		for _, other := range groups[k] {
			v.checkPair(other, r)
		}
		groups[k] = append(groups[k], r)
	}
	for i := range b.Routes {
		r := &b.Routes[i]
		v.checkReachable(r, groups[matchKey{host: r.Host, prefix: r.PathPrefix}])
	}
}

func (v *validator) checkPair(a, b *Route) {
	key := KeyRoutes + "/" + b.Name
	if len(a.Methods) == 0 && len(b.Methods) == 0 {
		v.fault(key+".pathPrefix", "route conflicts with route %q: same host and path prefix, and neither names methods", a.Name)
		return
	}
	for _, m := range b.Methods {
		if slices.Contains(a.Methods, m) {
			v.fault(key+".methods", "route conflicts with route %q: same host and path prefix, and both take %s", a.Name, m)
		}
	}
}

// checkReachable tells whether the other routes of the group leave any method
// to a route that names none.
func (v *validator) checkReachable(r *Route, group []*Route) {
	if len(r.Methods) > 0 {
		return
	}
	for _, m := range knownMethods {
		if !slices.ContainsFunc(group, func(other *Route) bool { return slices.Contains(other.Methods, m) }) {
			return
		}
	}
	v.fault(KeyRoutes+"/"+r.Name+".pathPrefix", "no call can reach the route: others of the same host and path prefix take every method")
}
