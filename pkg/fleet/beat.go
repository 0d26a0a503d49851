package fleet

// Heartbeat is one heartbeat of the upstream on this node's host, or the removal of its entry.
type Heartbeat struct {
	Upstream
	// Removed is set if the upstream deleted its entry.
	Removed bool
}

// HeartbeatResult is the result of applying a heartbeat.
type HeartbeatResult string

// The results of applying a heartbeat.
const (
	// Unchanged: the heartbeat contains nothing that other nodes need to know.
	Unchanged HeartbeatResult = "unchanged"
	// Changed: the record changed and must be sent to other nodes.
	Changed HeartbeatResult = "changed"
	// Stale: the heartbeat is stale, since a newer one or a later start of the upstream
	// is known.
	Stale HeartbeatResult = "late"
)

// ApplyHeartbeat returns the state of the upstream after a heartbeat. Heartbeats are ordered by
// the start time of the upstream process and then by sequence number. A stale heartbeat
// changes nothing, and a process that is leaving or has ended never becomes ready again.
func ApplyHeartbeat(current Upstream, b Heartbeat) (Upstream, HeartbeatResult) {
	if b.Removed {
		return remove(current, b)
	}
	if b.Born < current.Born || (b.Born == current.Born && b.Sequence <= current.Sequence) {
		return current, Stale
	}
	next := b.Upstream
	if current.State == StateGone && current.Born == 0 && current.ID == b.ID {
		// The removal of this process arrived before its first heartbeat and without a
		// start time.
		current.Born, current.Sequence = b.Born, b.Sequence
		return current, Unchanged
	}
	if b.Born > current.Born {
		return next, Changed
	}
	if current.State == StateGone || (current.State == StateLeaving && next.State == StateReady) {
		next.State = current.State
	}
	changed := next.State != current.State || next.Slots != current.Slots || next.Service != current.Service || next.ID != current.ID ||
		next.Version != current.Version
	if !changed {
		current.Sequence = next.Sequence
		current.WarmAtUnixMs = next.WarmAtUnixMs
		return current, Unchanged
	}
	return next, Changed
}

// remove marks the upstream process that b names as gone. The removal carries the start
// time of the process only if the upstream sends it. The removal of a process that is not
// known yet is stored, so that a delayed heartbeat of that process does not make it ready.
func remove(current Upstream, b Heartbeat) (Upstream, HeartbeatResult) {
	switch {
	case b.Born != 0 && b.Born < current.Born:
		return current, Stale
	case b.ID != current.ID && b.Born == 0 && current.State != StateNone && current.State != StateGone:
		// The removal has no start time, and a different upstream runs on the host.
		return current, Stale
	case b.ID == current.ID && current.State == StateGone:
		return current, Unchanged
	case b.ID != current.ID || b.Born > current.Born:
		b.State = StateGone
		return b.Upstream, Changed
	}
	current.State = StateGone
	return current, Changed
}

// Supersedes reports whether a is a later state of an upstream than b: a later start of
// the process, or a later lifecycle state of the same process.
func Supersedes(a, b Upstream) bool {
	if a.Born != b.Born {
		return a.Born > b.Born
	}
	return lifecycleOrder(a.State) > lifecycleOrder(b.State)
}

// lifecycleOrder returns the position of s in the order ready, leaving, gone.
func lifecycleOrder(s State) int {
	switch s {
	case StateReady:
		return 1
	case StateLeaving:
		return 2
	case StateGone:
		return 3
	}
	return 0
}
