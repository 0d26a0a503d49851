package intake

const (
	// failingWeight is the weight of the newest request in the failure rate.
	failingWeight = 0.08
	// garbledLimit is the number of consecutive malformed answers after which an upstream
	// counts as failing. If a third of the answers are malformed, one run of three in 27 is.
	garbledLimit = 3
	// garbledFailingShare is the lowest failure rate that such an upstream reports. Nodes
	// prefer other upstreams from 0.5 on and a report loses half of its weight in 2 s, so they
	// do for about 1.2 s.
	garbledFailingShare = 0.75
)

// health summarises the outcomes of the newest requests at the upstream.
type health struct {
	// failing is the moving average of the failure rate, 0 to 1.
	failing float64
	// garbled is the number of consecutive malformed answers up to now.
	garbled int
}

// record adds the outcome of a request, and reports whether the waiting requests should be
// refused so that other upstreams run them. This guards against an upstream that starts to
// send malformed answers while a burst waits for it: each further request that reaches it
// would take from the retry budget of all.
func (s *health) record(good, garbled bool) (flushQueue bool) {
	target := 1.0
	if good {
		target = 0
	}
	s.failing += failingWeight * (target - s.failing)
	if !garbled {
		s.garbled = 0
		return false
	}
	s.garbled++
	if s.garbled < garbledLimit {
		return false
	}
	s.failing = max(s.failing, garbledFailingShare)
	return true
}
