package proxy

// Endpoints returns the number of endpoints of a service that a node knows.
func Endpoints(i *Inbound, service string) int {
	e := i.shared.forwarder.table.entry(service)
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.endpoints)
}
