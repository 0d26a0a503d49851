package bundle

// match is what two routes must share to compete for the same calls.
type match struct {
	host, prefix string
}

// anyMethod stands for the methods that no other route of the group names.
const anyMethod = ""

// group holds the routes of one match by method: the first that takes it.
type group map[string]*Route

// checkConflicts finds routes that compete for the same calls. Two routes with
// the same host and prefix conflict when neither names methods or both name the
// same one. A route without methods beside routes that name theirs takes the
// rest; if there is no rest, no call can reach it.
func (v *validator) checkConflicts(b *Bundle) {
	groups := make(map[match]group)
	for i := range b.Routes {
		r := &b.Routes[i]
		m := match{host: r.Host, prefix: r.PathPrefix}
		if groups[m] == nil {
			groups[m] = make(group)
		}
		v.addToGroup(groups[m], r)
	}
	for i := range b.Routes {
		r := &b.Routes[i]
		v.checkReachable(r, groups[match{host: r.Host, prefix: r.PathPrefix}])
	}
}

// addToGroup reports the methods of r that another route of the group takes.
func (v *validator) addToGroup(g group, r *Route) {
	key := KeyRoutes + "/" + r.Name
	if len(r.Methods) == 0 {
		if first, ok := g[anyMethod]; ok {
			v.fault(key+".pathPrefix", "route conflicts with route %q: same host and path prefix, and neither names methods", first.Name)
			return
		}
		g[anyMethod] = r
	}
	for _, method := range r.Methods {
		first, ok := g[method]
		if ok && first != r {
			v.fault(key+".methods", "route conflicts with route %q: same host and path prefix, and both take %s", first.Name, method)
			continue
		}
		g[method] = r
	}
}

// checkReachable tells whether the other routes of the group leave any method
// to a route that names none.
func (v *validator) checkReachable(r *Route, g group) {
	if len(r.Methods) > 0 {
		return
	}
	for _, method := range knownMethods {
		if g[method] == nil {
			return
		}
	}
	v.fault(KeyRoutes+"/"+r.Name+".pathPrefix", "no call can reach the route: others of the same host and path prefix take every method")
}
