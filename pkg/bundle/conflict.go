package bundle

// matchKey holds the properties of a request that select its route. Two routes must
// not have the same key.
type matchKey struct {
	host, prefix string
}

// checkConflicts reports routes with the host and path prefix of an earlier route.
func (v *validator) checkConflicts(b *Bundle) {
	first := make(map[matchKey]*Route)
	for i := range b.Routes {
		r := &b.Routes[i]
		m := matchKey{host: r.Host, prefix: r.PathPrefix}
		if other, ok := first[m]; ok {
			v.addFault(KeyRoutes+"/"+r.Name+".pathPrefix", "route conflicts with route %q: same host and path prefix", other.Name)
			continue
		}
		first[m] = r
	}
}
