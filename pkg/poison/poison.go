// Package poison finds calls that crash the upstreams that run them and decides
// on their quarantine. It is pure; package upstream reports the crashes.
package poison

// Guard is what the proxy looks up under the name "poison".
type Guard interface {
	// Quarantined reports whether calls with the fingerprint are refused.
	Quarantined(fingerprint uint64) bool
	// Begin notes that a call is about to run on an upstream of this host; the
	// returned function must be called when it ends.
	Begin(upstream string, fingerprint uint64) (end func(End))
}

// End tells how a call ended.
type End string

// The ends of a call.
const (
	// EndAlive: the upstream outlived the call, whatever it answered.
	EndAlive End = "alive"
	// EndCrashed: the upstream crashed while the call was running.
	EndCrashed End = "crashed"
	// EndNotSent: no part of the call reached the upstream.
	EndNotSent End = "not-sent"
)
