package fleet

import "time"

const (
	// ProbeAfter is how long a contact may be silent before it is probed. It is longer than
	// the interval of 0.3 s between the announcements of a lead.
	ProbeAfter = 400 * time.Millisecond
	// ExcludeAfter is how long a contact may be silent before it is excluded. A fully loaded
	// node with a sixth of a core answers a probe within about 100 ms.
	ExcludeAfter = 700 * time.Millisecond
)

// SilenceDetector decides when a node probes a silent contact and when it excludes the contact and
// uses the next one. Hosts that lose power do not close their connections. Without probes,
// their followers would get no new configuration until the connections time out, and all
// of them would then read the store at once.
type SilenceDetector struct {
	probedAt   time.Time // when the contact was probed last
	excludedAt time.Time // when the contact was excluded
}

// Check updates the state from lastHeard, the time of the contact's last message, and reports
// whether to probe the contact now.
func (s *SilenceDetector) Check(now, lastHeard time.Time) (probe bool) {
	silence := now.Sub(lastHeard)
	if silence > ExcludeAfter && s.probedAt.After(lastHeard) && now.Sub(s.probedAt) >= ExcludeAfter-ProbeAfter {
		s.excludedAt = now
		return false
	}
	if silence > ProbeAfter && !s.probedAt.After(lastHeard) {
		s.probedAt = now
		return true
	}
	return false
}

// IsExcluded reports whether the contact is excluded, which lasts until its next message.
func (s *SilenceDetector) IsExcluded(lastHeard time.Time) bool { return s.excludedAt.After(lastHeard) }
