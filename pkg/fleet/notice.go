package fleet

// Notice is what an upstream tells about itself in an answer, in addition to its heartbeats.
type Notice struct {
	// Limited is set if the upstream accepts at most LimitPerS requests a second from all
	// nodes together.
	Limited   bool
	LimitPerS float64
	// Leaving is set if the upstream drains. The same process never accepts requests again.
	Leaving bool
}

// SameLimit reports whether two notices name the same limit, or none.
func (n Notice) SameLimit(other Notice) bool {
	return n.Limited == other.Limited && n.LimitPerS == other.LimitPerS
}
