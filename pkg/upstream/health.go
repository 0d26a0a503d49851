package upstream

// Probe results and calls are weighed together: neither a failing probe nor
// failing calls alone stop an upstream.
const (
	// probeFailures in a row make a probe count as failing.
	probeFailures = 3
	// callFailures in a row make the calls count as failing.
	callFailures = 3
)

// health keeps the newest signals of an upstream's health.
type health struct {
	failedProbes int
	failedCalls  int
}

// observe takes in the outcome of a call.
func (h *health) observe(ok bool) {
	if ok {
		h.failedCalls = 0
		return
	}
	h.failedCalls++
}

// probed takes in a probe and reports whether the probe's standing changed.
func (h *health) probed(ok bool) bool {
	before := h.probeFails()
	if ok {
		h.failedProbes = 0
	} else {
		h.failedProbes++
	}
	return before != h.probeFails()
}

// probeFails reports whether the probe counts as failing.
func (h *health) probeFails() bool { return h.failedProbes >= probeFailures }

// down reports whether the upstream should get no calls: its probe fails, and
// so do its calls.
func (h *health) down() bool {
	return h.probeFails() && h.failedCalls >= callFailures
}
