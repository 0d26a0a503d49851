// Package poison finds calls that crash the upstreams that run them and decides
// on their quarantine. It is pure; package upstream reports the crashes.
package poison

// Guard is what the proxy looks up under the name "poison".
type Guard interface {
	// Quarantined reports whether calls with the fingerprint are refused.
	Quarantined(fingerprint uint64) bool
	// Begin notes that a call runs on an upstream of this host; the returned
	// function must be called when it ends. crashed tells that the upstream died
	// while the call was running.
	Begin(upstream string, fingerprint uint64) (end func(crashed bool))
}
