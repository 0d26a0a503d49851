package bundle

// match is what a request is matched by.
type match struct {
	host, prefix string
}

// checkConflicts finds routes that compete for the same requests.
func (v *validator) checkConflicts(b *Bundle) {
	first := make(map[match]*Route)
	for i := range b.Routes {
		r := &b.Routes[i]
		m := match{host: r.Host, prefix: r.PathPrefix}
		if other, ok := first[m]; ok {
			v.fault(KeyRoutes+"/"+r.Name+".pathPrefix", "route conflicts with route %q: same host and path prefix", other.Name)
			continue
		}
		first[m] = r
	}
}
