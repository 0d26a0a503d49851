package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Hub holds the leases of the followers of a node.
type Hub struct {
	followers map[string]*follower
	// nextChange is when a lease begins or ends next.
	nextChange time.Duration
	counted    int
}

// follower is what a hub knows of a node that sends it requests.
type follower struct {
	process int64
	// number is the largest of the requests, and received has a bit for each of the last 64.
	number, received uint64
	// last is the number of the request received last, and part that of the last answer.
	last uint64
	part uint8
	seen time.Duration
	// The share of the follower counts between from and until.
	from, until time.Duration
	// pending is the tokens that the hub is getting from others for the last request, until
	// pendingUntil.
	pending      map[string]int
	pendingUntil time.Duration
}

// follower returns the record of the sender of a request, or nil if the request is old or was
// received before.
func (h *Hub) follower(now time.Duration, from string, r *Request) *follower {
	f := h.followers[from]
	if f == nil {
		f = &follower{process: r.Process}
		h.followers[from] = f
	}
	if f.process != r.Process {
		// The lease stays: the new process does not use its share before it has ended.
		f.process, f.number, f.received, f.pending = r.Process, 0, 0, nil
	}
	if !f.isNew(r.Number) {
		return nil
	}
	f.last, f.seen = r.Number, now
	return f
}

// isNew records the number of a request and reports whether it was not received before.
// Requests that are overtaken by many others are lost.
func (f *follower) isNew(number uint64) bool {
	if number > f.number {
		f.received = f.received<<min(64, number-f.number) | 1
		f.number = number
		return true
	}
	bit := uint64(1) << min(63, f.number-number)
	if f.number-number > 63 || f.received&bit != 0 {
		return false
	}
	f.received |= bit
	return true
}

// renew extends a lease by a tick that the hub made at the given time.
func (h *Hub) renew(now time.Duration, f *follower, made time.Duration, rested bool) {
	if made > now || now >= made+leaseTime {
		return
	}
	if now >= f.until {
		// Tokens of the follower's own bucket may be in use for maxValidity.
		f.from = now + maxValidity
	}
	if rested {
		f.from = min(f.from, now)
	}
	f.until = max(f.until, made+leaseTime)
	h.nextChange = 0
}

// count returns the number of shares that followers have leased to the hub.
func (h *Hub) count(now time.Duration) int {
	if now < h.nextChange {
		return h.counted
	}
	h.counted = 0
	h.nextChange = now + time.Minute
	for node, f := range h.followers {
		switch {
		case now < f.from:
			h.nextChange = min(h.nextChange, f.from, f.until)
		case now < f.until:
			h.counted++
			h.nextChange = min(h.nextChange, f.until)
		case now > f.seen+forgetAfter:
			delete(h.followers, node)
		}
	}
	return h.counted
}

// handleRequest answers a request of a follower or of another hub.
func (n *Node) handleRequest(now time.Duration, from string, r *Request) []Message {
	f := n.hub.follower(now, from, r)
	if f == nil {
		n.counts.Repeated++
		return nil
	}
	if r.HubProcess == n.process {
		n.takeBack(now, r.Unused)
		if r.Tick > 0 && n.leases(now) {
			n.hub.renew(now, f, n.madeAt(r.Tick), r.Rested)
			n.meter(now)
		}
	}
	g := n.newGrant(now, f)
	for _, w := range r.Wants {
		a := n.accounts[w.Organisation]
		if a == nil || w.Tokens <= 0 {
			continue
		}
		n.touch(a)
		if r.Borrow {
			n.lend(now, a, w.Tokens, g)
			continue
		}
		a.drawn.add(now, float64(w.Tokens))
		if missing := n.give(now, a, w.Tokens, g); missing > 0 && (n.borrow(now, a, missing) || n.awaitRefill(now, a)) {
			f.await(now, w.Organisation, missing)
		} else if missing > 0 {
			g.Tokens = append(g.Tokens, Tokens{Organisation: a.name, RetryMs: n.retryMs(now, a)})
		}
	}
	return append([]Message{{To: from, Grant: g}}, n.Flush(now)...)
}

// newGrant returns an empty answer to the last request of a follower.
func (n *Node) newGrant(now time.Duration, f *follower) *Grant {
	f.part = (f.part + 1) % maxParts
	return &Grant{
		Process: n.process, RequestProcess: f.process, Request: f.last, Part: f.part,
		Tick: n.tick(now), NoLease: !n.leases(now),
	}
}

// takeBack puts tokens that were not used back into the buckets.
func (n *Node) takeBack(now time.Duration, unused []Unused) {
	for _, u := range unused {
		if a := n.accounts[u.Organisation]; a != nil && u.Tokens > 0 {
			n.refill(now, a)
			a.bucket.PutBack(now, n.madeAt(u.Issued), u.Tokens, a.size.hold)
		}
	}
}

// give adds tokens to a grant, from the bucket and from those borrowed from other hubs, and
// returns how many are missing.
func (n *Node) give(now time.Duration, a *account, want int, g *Grant) (missing int) {
	n.refill(now, a)
	if got := a.bucket.Take(now, want); got > 0 {
		want -= got
		n.bucketUsedAt = now
		n.addTokens(g, Tokens{Organisation: a.name, Tokens: got, ValidMs: a.size.validity.Milliseconds()})
	}
	n.counts.Expired += a.holder.expire(now)
	for want > 0 {
		l, ok := a.holder.Take(want)
		if !ok {
			break
		}
		want -= l.n
		n.addTokens(g, Tokens{Organisation: a.name, Tokens: l.n, ValidMs: (l.expires - now).Milliseconds(), Borrowed: true})
	}
	return want
}

// lend adds tokens for another hub to a grant, as far as this one does not need them.
func (n *Node) lend(now time.Duration, a *account, want int, g *Grant) {
	n.refill(now, a)
	got := a.bucket.Take(now, min(want, a.surplus(now)))
	if got > 0 {
		n.bucketUsedAt = now
	}
	t := Tokens{Organisation: a.name, Tokens: got, ValidMs: a.size.validity.Milliseconds()}
	if got < want {
		t.RetryMs = n.retryMs(now, a)
	}
	n.addTokens(g, t)
}

func (n *Node) addTokens(g *Grant, t Tokens) {
	n.counts.Granted += t.Tokens
	g.Tokens = append(g.Tokens, t)
}

// retryMs returns the time until the bucket of an organisation likely has a token again, in
// milliseconds.
func (n *Node) retryMs(now time.Duration, a *account) int64 {
	perS := n.share * a.size.limit.RatePerS
	if perS <= 0 {
		return leaseTime.Milliseconds()
	}
	if a.drawn.value(now) > overdrawn*perS {
		return min(refusalMemory, a.size.validity/4).Milliseconds()
	}
	ms := math.Ceil(1000 * (1 - min(1, a.bucket.level)) / perS)
	return max(1, int64(min(ms, float64(n.settings.Window.Milliseconds()))))
}

// awaitRefill makes Flush serve those that wait for tokens of an organisation once the bucket has
// one. It reports false if that takes too long.
func (n *Node) awaitRefill(now time.Duration, a *account) bool {
	wait := time.Duration(n.retryMs(now, a)) * time.Millisecond
	isFull := n.share*a.size.capacity-a.bucket.outstanding(now, a.size.hold) < 1
	isFrequent := n.share*a.size.limit.RatePerS > 1/FlushInterval.Seconds()
	if a.bucket.level >= 1 || wait > maxRefillWait || isFull || isFrequent {
		return false
	}
	if _, waits := n.later[a]; !waits {
		n.later[a] = now + wait
	}
	return true
}

// serveLater serves those that wait for tokens that are due by now.
func (n *Node) serveLater(now time.Duration) []Message {
	var due []*account
	for a, at := range n.later {
		if now >= at {
			due = append(due, a)
		}
	}
	slices.SortFunc(due, func(x, y *account) int { return cmp.Compare(x.name, y.name) })
	var list []Message
	for _, a := range due {
		delete(n.later, a)
		list = append(list, n.servePending(now, a)...)
	}
	return list
}

// await notes that the last request of a follower gets further tokens later.
func (f *follower) await(now time.Duration, organisation string, tokens int) {
	if f.pending == nil || now >= f.pendingUntil {
		f.pending = make(map[string]int)
	}
	f.pending[organisation] = tokens
	f.pendingUntil = now + MaxWait
}

// borrow notes that tokens are to be requested from another hub. It reports false if none can
// be asked now.
func (n *Node) borrow(now time.Duration, a *account, tokens int) bool {
	if !n.isHub() || n.lender(now, a) == "" && a.borrowing.asked == "" {
		return false
	}
	a.borrowing.want = max(a.borrowing.want, tokens)
	n.dirty[a] = struct{}{}
	return true
}

// lender returns the hub to be asked for tokens next, or an empty name if none can be asked.
func (n *Node) lender(now time.Duration, a *account) string {
	b := &a.borrowing
	if b.asked != "" && now < b.askedAt+MaxWait {
		return ""
	}
	for i := range n.env.OtherHubs {
		hub := n.env.OtherHubs[(n.turn+i)%len(n.env.OtherHubs)]
		if now >= b.empty[hub] {
			return hub
		}
	}
	return ""
}

// noteLent records the answer of another hub. If it had too few tokens, another one is asked.
func (n *Node) noteLent(now time.Duration, from string, a *account, t *Tokens) {
	b := &a.borrowing
	if b.asked == from {
		b.asked = ""
	}
	if t.RetryMs > 0 {
		if b.empty == nil {
			b.empty = make(map[string]time.Duration)
		}
		b.empty[from] = now + min(refusalMemory, time.Duration(t.RetryMs)*time.Millisecond)
	}
}

// servePending gives tokens that have arrived to the followers that wait for them, and tells
// them if there will be none.
func (n *Node) servePending(now time.Duration, a *account) []Message {
	var nodes []string
	total := 0
	for node, f := range n.hub.followers {
		if f.pending[a.name] > 0 && now < f.pendingUntil {
			nodes = append(nodes, node)
			total += f.pending[a.name]
		}
	}
	slices.Sort(nodes)
	var list []Message
	missing := 0
	for _, node := range nodes {
		f := n.hub.followers[node]
		g := n.newGrant(now, f)
		left := n.give(now, a, f.pending[a.name], g)
		f.pending[a.name] = left
		missing += left
		if left > 0 && n.lender(now, a) == "" && a.borrowing.asked == "" && !n.awaitRefill(now, a) {
			delete(f.pending, a.name)
			g.Tokens = append(g.Tokens, Tokens{Organisation: a.name, RetryMs: n.retryMs(now, a)})
		}
		if len(g.Tokens) > 0 {
			list = append(list, Message{To: node, Grant: g})
		}
	}
	missing += max(0, a.waiting-a.holder.Held())
	if missing > 0 {
		n.borrow(now, a, missing)
	}
	return list
}
