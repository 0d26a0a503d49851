package dispatch

// Tries holds what the earlier tries of a request showed, on which the choice of the next
// upstream depends.
type Tries struct {
	// Tried holds the nodes that are excluded from the next try, and NoSlot those that had no
	// free slot. These may be asked again to queue the request.
	Tried, NoSlot map[string]bool
	// Count is the number of nodes that the request was sent to.
	Count int
	// MayQueue allows the next try to wait for a slot.
	MayQueue bool
}

// NextTry returns the index of the candidate for the next try, or -1 if there is none. It
// prefers upstreams that probably have a free slot, for up to maxFreeSlotTries tries. After
// that the request may wait for a slot, and t.MayQueue is set.
func NextTry(candidates []Candidate, o Origin, t *Tries, random func() float64) int {
	tried := func(node string) bool { return t.Tried[node] }
	i := Choose(candidates, o, tried, random)
	if t.MayQueue || i >= 0 && t.Count < maxFreeSlotTries && !candidates[i].FullFor(o) {
		return i
	}
	// No free slot is known. Choose the upstream with the lowest estimated cost, including
	// those that had no free slot in an earlier try, and allow it to queue the request.
	t.MayQueue = true
	for node := range t.Tried {
		t.Tried[node] = t.Tried[node] && !t.NoSlot[node]
	}
	return Choose(candidates, o, tried, random)
}
