package quota

import (
	"cmp"
	"slices"
	"time"
)

// Environment is what a node knows of its fleet.
type Environment struct {
	// Hub is the hub of the node's data centre, empty if the node itself is the hub or knows no
	// other. OtherHubs are the hubs of the other data centres, if the node is a hub.
	Hub       string
	OtherHubs []string
	// Hosts is the number of hosts that share the limits, as Census counts them, 0 while the node
	// does not know its fleet.
	Hosts int
	// ProvenAt is when the configuration was last known to be current. It counts if Proven is
	// set.
	ProvenAt time.Duration
	Proven   bool
}

// Counts are events since the start of a node.
type Counts struct {
	// Granted and Received are tokens given to and received from other nodes, and Expired
	// those that expired without being used.
	Granted, Received, Expired int
	// Repeated are messages that were received before or came too late.
	Repeated int
}

// Node is the part of a node in the limits of organisations. It must not be used by several
// goroutines at once.
type Node struct {
	settings Settings
	name     string
	process  int64
	started  time.Duration

	env      Environment
	accounts map[string]*account
	// active are the accounts for which something may have to be done at a tick, and dirty
	// those that need tokens before the next tick.
	active, dirty map[*account]struct{}
	// later is when the buckets for which requests wait have a token.
	later map[*account]time.Duration
	own   Share
	hub   Hub
	hosts hostCount
	// wasFresh is set while the node may add tokens, and everFresh once it could.
	wasFresh, everFresh bool
	// bucketUsedAt is when a token was last taken from a bucket.
	bucketUsedAt time.Duration
	// share is the share of the limits that the node uses, and shareTime its integral over
	// time, in seconds, up to meteredAt.
	share, shareTime float64
	meteredAt        time.Duration
	number           uint64
	sent             []sentRequest
	flushedAt        time.Duration
	turn             int
	counts           Counts
}

// sentRequest is a request whose answers are accepted.
type sentRequest struct {
	to     string
	number uint64
	at     time.Duration
	borrow bool
	// parts has a bit for each answer that was received.
	parts uint64
}

// NewNode returns the state of a node without tokens. process identifies it to other nodes, and
// since is the time since which neither this process nor a former one has leased the share of the
// node or used it.
func NewNode(s Settings, name string, process int64, since, now time.Duration) *Node {
	n := &Node{
		settings: s, name: name, process: process, started: now.Truncate(time.Millisecond), meteredAt: now, flushedAt: now - FlushInterval,
		accounts: make(map[string]*account), active: make(map[*account]struct{}), dirty: make(map[*account]struct{}), later: make(map[*account]time.Duration),
		hub: Hub{followers: make(map[string]*follower)},
	}
	n.own.Delay(since + settleTime)
	return n
}

// Counts returns the events since the start.
func (n *Node) Counts() Counts { return n.counts }

// Share returns the share of the limits that the node uses for itself and its followers.
func (n *Node) Share() float64 { return n.share }

// State is what a node knows of its limits and of one organisation.
type State struct {
	Limit Limit
	// Share is the share of the limits that the node uses, Bucket its tokens for the
	// organisation, and Held those that it got from other nodes.
	Share, Bucket float64
	Held          int
	// Leased is set while another node uses the share of this one, and Adds while this node
	// may add tokens. Hosts is the number of hosts by which limits are divided.
	Leased, Adds bool
	Hosts        int
}

// State returns the state as of the last event.
func (n *Node) State(organisation string) State {
	now := n.meteredAt
	s := State{Share: n.share, Leased: now < n.own.leasedUntil, Adds: n.isFresh(now), Hosts: n.hosts.largest(now)}
	if a := n.accounts[organisation]; a != nil {
		s.Limit, s.Bucket, s.Held = a.size.limit, a.bucket.level, a.holder.Held()
	}
	return s
}

// IsActive reports whether any organisation has a limit.
func (n *Node) IsActive() bool { return len(n.accounts) > 0 }

// SetLimits replaces the limits, by organisation. The tokens of those that remain are reduced
// to the new size at once, and new ones begin without tokens.
func (n *Node) SetLimits(now time.Duration, limits map[string]Limit) {
	n.meter(now)
	for name, a := range n.accounts {
		if _, limited := limits[name]; !limited {
			delete(n.accounts, name)
			delete(n.active, a)
			delete(n.dirty, a)
			delete(n.later, a)
		}
	}
	for name, l := range limits {
		a := n.accounts[name]
		if a == nil {
			a = &account{name: name, bucket: Bucket{filled: n.shareTime}}
			n.accounts[name] = a
		}
		if a.size.limit != l {
			if a.size.hold > 0 {
				n.refill(now, a)
			}
			a.size = n.settings.sizeOf(l)
			n.refill(now, a)
		}
	}
}

// tick returns the reading of the clock in milliseconds since the start, plus one.
func (n *Node) tick(now time.Duration) int64 { return (now - n.started).Milliseconds() + 1 }

// madeAt returns the time of a tick, rounded down.
func (n *Node) madeAt(tick int64) time.Duration {
	return n.started + time.Duration(tick-1)*time.Millisecond
}

func (n *Node) isHub() bool { return n.env.Hub == "" }

// leases reports whether the node may use the shares of followers.
func (n *Node) leases(now time.Duration) bool { return n.isFresh(now) && now >= n.own.usableFrom }

// isFresh reports whether the node may add tokens.
func (n *Node) isFresh(now time.Duration) bool {
	return n.env.Proven && now-n.env.ProvenAt <= ProofTimeout && n.hosts.largest(now) > 0
}

// meter counts the shares that the node uses, and reduces all buckets at once if they have
// become fewer. A share that ended since the last call is not counted for that time.
func (n *Node) meter(now time.Duration) {
	fresh := n.isFresh(now)
	if fresh && !n.wasFresh {
		// Other nodes may not know this one and divide the limits among fewer. They have known
		// a node that is starting since it joined, or from its former process.
		if n.everFresh {
			n.own.Delay(now + settleTime)
		} else {
			n.own.Delay(now + maxValidity)
		}
	}
	n.wasFresh, n.everFresh = fresh, n.everFresh || fresh
	count := n.hub.count(now)
	if n.own.IsOwn(now) {
		count++
	}
	share := 0.0
	if fresh && count > 0 {
		share = min(1, float64(count)/float64(n.hosts.largest(now)))
	}
	if passed := min(now-n.meteredAt, maxStep); passed > 0 {
		n.shareTime += min(share, n.share) * passed.Seconds()
	}
	n.meteredAt = now
	reduced := share < n.share
	n.share = share
	if reduced {
		for _, a := range n.accounts {
			n.refill(now, a)
		}
	}
}

// refill adds the tokens of an organisation that are due.
func (n *Node) refill(now time.Duration, a *account) {
	a.bucket.Refill(now, n.shareTime, n.share, &a.size)
}

// touch makes the next ticks look at an account.
func (n *Node) touch(a *account) { n.active[a] = struct{}{} }

// Take takes a token for a request of an organisation. If there is none, wait tells whether
// the request should wait for one: the caller then calls Wait, and Take again when tokens have
// arrived. Else the request is refused.
func (n *Node) Take(now time.Duration, organisation string) (t Token, ok, wait bool) {
	a := n.accounts[organisation]
	if a == nil {
		return Token{}, true, false
	}
	a.used.add(now, 1)
	a.drawn.add(now, 1)
	n.touch(a)
	if t, ok := n.take(now, a); ok {
		return t, true, false
	}
	return Token{}, false, now >= a.refusedUntil && n.canAsk(now, a)
}

// canAsk reports whether another node may have tokens.
func (n *Node) canAsk(now time.Duration, a *account) bool {
	return !n.isHub() || a.borrowing.asked != "" || n.lender(now, a) != "" || n.awaitRefill(now, a)
}

// TakeLater takes a token for a request that has waited.
func (n *Node) TakeLater(now time.Duration, organisation string) (Token, bool) {
	a := n.accounts[organisation]
	if a == nil {
		return Token{}, true
	}
	return n.take(now, a)
}

func (n *Node) take(now time.Duration, a *account) (Token, bool) {
	n.meter(now)
	n.counts.Expired += a.holder.expire(now)
	if l, ok := a.holder.Take(1); ok {
		a.served.add(now, 1)
		return Token{organisation: a.name, lot: l}, true
	}
	n.refill(now, a)
	if a.bucket.Take(now, 1) == 1 {
		a.served.add(now, 1)
		n.bucketUsedAt = now
		l := lot{n: 1, issued: n.tick(now), expires: now + a.size.validity}
		return Token{organisation: a.name, lot: l, own: true}, true
	}
	return Token{}, false
}

// Wait notes that a request waits for a token. EndWait must be called once it has ended.
func (n *Node) Wait(now time.Duration, organisation string) {
	if a := n.accounts[organisation]; a != nil {
		a.waiting++
		n.touch(a)
		n.dirty[a] = struct{}{}
		if n.isHub() {
			n.borrow(now, a, a.waiting-a.holder.Held())
		}
	}
}

// AskAgain makes Flush request the tokens for which requests of an organisation wait once more,
// since the answer may be lost. It is called every AskInterval while a request waits.
func (n *Node) AskAgain(now time.Duration, organisation string) {
	if a := n.accounts[organisation]; a != nil && a.missing(now, false) > 0 {
		n.dirty[a] = struct{}{}
	}
}

// EndWait notes that a request no longer waits.
func (n *Node) EndWait(organisation string) {
	if a := n.accounts[organisation]; a != nil && a.waiting > 0 {
		a.waiting--
	}
}

// IsRefused reports whether waiting requests of an organisation are to be refused now, since
// the hub has no tokens.
func (n *Node) IsRefused(now time.Duration, organisation string) bool {
	a := n.accounts[organisation]
	return a != nil && (now < a.refusedUntil || !n.canAsk(now, a))
}

// RetryAfter returns the time until a token is likely free for a request that is refused. Each
// call returns the turn of one request.
func (n *Node) RetryAfter(now time.Duration, organisation string) time.Duration {
	a := n.accounts[organisation]
	if a == nil {
		return 0
	}
	return a.retryAfter(now, n.settings.Window, n.hosts.largest(now))
}

// Return takes back the token of a request that was not run.
func (n *Node) Return(now time.Duration, t Token) {
	a := n.accounts[t.organisation]
	if a == nil {
		return
	}
	n.meter(now)
	switch {
	case t.own:
		n.refill(now, a)
		a.bucket.PutBack(now, n.madeAt(t.lot.issued), 1, a.size.hold)
	case now < t.lot.expires:
		a.holder.Add(t.lot)
		n.touch(a)
	default:
		a.holder.noteUnused(now, t.lot)
		n.touch(a)
	}
}

// Tick returns the messages that are due every TickInterval.
func (n *Node) Tick(now time.Duration, env Environment) []Message {
	n.env = env
	if env.Hosts > 0 {
		n.hosts.observe(now, env.Hosts)
	}
	n.meter(now)
	if !n.IsActive() {
		return nil
	}
	for a := range n.active {
		n.counts.Expired += a.holder.expire(now)
		a.borrowing.expire(now)
		if a.isIdle(now) {
			delete(n.active, a)
			continue
		}
		n.dirty[a] = struct{}{}
		if n.isHub() {
			n.borrowAhead(now, a)
		}
	}
	return n.send(now, true)
}

// expire ends a search whose answer has not come, so that another hub is asked.
func (b *borrowing) expire(now time.Duration) {
	if b.asked != "" && now >= b.askedAt+MaxWait {
		if b.empty == nil {
			b.empty = make(map[string]time.Duration)
		}
		b.empty[b.asked] = now + leaseTime
		b.asked = ""
	}
}

// borrowAhead requests tokens from other hubs if the expected use exceeds what this one has.
func (n *Node) borrowAhead(now time.Duration, a *account) {
	n.refill(now, a)
	expected := a.drawn.value(now) * horizon.Seconds()
	have := a.bucket.level + float64(a.holder.Held()) + n.share*a.size.limit.RatePerS*horizon.Seconds()
	if missing := int(expected - have); missing > 0 {
		n.borrow(now, a, missing)
	}
}

// Flush returns the requests for missing tokens, at most once every FlushInterval, and the grants
// of tokens that were awaited.
func (n *Node) Flush(now time.Duration) []Message {
	var list []Message
	if len(n.later) > 0 {
		n.meter(now)
		list = n.serveLater(now)
	}
	if len(n.dirty) == 0 || now < n.flushedAt+FlushInterval {
		return list
	}
	return append(list, n.send(now, false)...)
}

// FlushDue returns the time until Flush has to be called, and false if it need not be called.
func (n *Node) FlushDue(now time.Duration) (time.Duration, bool) {
	wait, due := n.flushedAt+FlushInterval-now, len(n.dirty) > 0
	for _, at := range n.later {
		if !due || at-now < wait {
			wait, due = at-now, true
		}
	}
	return max(0, wait), due
}

// send returns the requests to the hub, or of a hub to other hubs.
func (n *Node) send(now time.Duration, isTick bool) []Message {
	n.flushedAt = now
	n.turn++
	byHub := make(map[string]*Request)
	for a := range n.dirty {
		if n.isHub() {
			n.addBorrow(now, a, byHub)
		} else if want := a.missing(now, isTick); want > 0 {
			a.asked, a.askedAt = want, now
			r := requestTo(byHub, n.env.Hub)
			r.Wants = append(r.Wants, Want{a.name, want})
		}
	}
	clear(n.dirty)
	if isTick {
		n.addTick(now, byHub)
	}
	return n.numbered(now, byHub)
}

func requestTo(byHub map[string]*Request, hub string) *Request {
	if byHub[hub] == nil {
		byHub[hub] = &Request{}
	}
	return byHub[hub]
}

// addBorrow adds the tokens that a hub needs to the request to another one.
func (n *Node) addBorrow(now time.Duration, a *account, byHub map[string]*Request) {
	lender := n.lender(now, a)
	if a.borrowing.want <= 0 || lender == "" {
		a.borrowing.want = 0
		return
	}
	r := requestTo(byHub, lender)
	r.Borrow = true
	r.Wants = append(r.Wants, Want{a.name, a.borrowing.want})
	a.borrowing.want, a.borrowing.asked, a.borrowing.askedAt = 0, lender, now
}

// addTick adds the tick that leases the share to the hub, and the tokens that were not used.
func (n *Node) addTick(now time.Duration, byHub map[string]*Request) {
	if !n.isHub() {
		r := requestTo(byHub, n.env.Hub)
		hub, tick := n.own.Lease(now, n.env.Hub)
		n.meter(now)
		if hub.node == n.env.Hub {
			r.HubProcess, r.Tick = hub.process, tick
			r.Rested = tick > 0 && now >= n.bucketUsedAt+maxValidity
		}
	}
	for a := range n.active {
		for _, l := range a.holder.unused {
			if l.hub.node == "" {
				continue
			}
			r := requestTo(byHub, l.hub.node)
			if n.isHub() || l.hub.node != n.env.Hub {
				r.Borrow = true
			}
			if r.HubProcess == 0 {
				r.HubProcess = l.hub.process
			}
			if r.HubProcess == l.hub.process {
				r.Unused = append(r.Unused, a.holder.reportUnused(now, a.name, l.hub)...)
				break
			}
		}
	}
}

// numbered numbers the requests and remembers when they were sent.
func (n *Node) numbered(now time.Duration, byHub map[string]*Request) []Message {
	n.sent = slices.DeleteFunc(n.sent, func(s sentRequest) bool { return now > s.at+maxValidity })
	list := make([]Message, 0, len(byHub))
	for hub, r := range byHub {
		slices.SortFunc(r.Wants, func(x, y Want) int { return cmp.Compare(x.Organisation, y.Organisation) })
		list = append(list, Message{To: hub, Request: r})
	}
	slices.SortFunc(list, func(x, y Message) int { return cmp.Compare(x.To, y.To) })
	for _, m := range list {
		n.number++
		m.Request.Process, m.Request.Number = n.process, n.number
		n.sent = append(n.sent, sentRequest{to: m.To, number: n.number, at: now, borrow: m.Request.Borrow})
	}
	return list
}

// Receive processes a message of another node. It returns the messages that follow and the
// organisations for which tokens have arrived or for which the hub has none.
func (n *Node) Receive(now time.Duration, from string, m Message) (follow []Message, organisations []string) {
	n.meter(now)
	if m.Request != nil {
		follow = n.handleRequest(now, from, m.Request)
	}
	if m.Grant != nil {
		more, changed := n.handleGrant(now, from, m.Grant)
		follow, organisations = append(follow, more...), changed
	}
	return follow, organisations
}

// sentRequest returns the request that a grant answers, or nil if the grant was received
// before, comes too late, or is not for this process.
func (n *Node) sentRequest(now time.Duration, from string, g *Grant) *sentRequest {
	if g.RequestProcess != n.process || g.Part >= maxParts {
		return nil
	}
	for i := range n.sent {
		s := &n.sent[i]
		if s.number != g.Request || s.to != from {
			continue
		}
		if now > s.at+maxValidity || s.parts&(1<<g.Part) != 0 {
			return nil
		}
		s.parts |= 1 << g.Part
		return s
	}
	return nil
}

// handleGrant stores received tokens.
func (n *Node) handleGrant(now time.Duration, from string, g *Grant) (follow []Message, organisations []string) {
	s := n.sentRequest(now, from, g)
	if s == nil {
		n.counts.Repeated++
		return nil, nil
	}
	hub := identity{from, g.Process}
	if !g.NoLease && !s.borrow {
		n.own.Receive(now, hub, g.Tick)
	}
	for i := range g.Tokens {
		t := &g.Tokens[i]
		a := n.accounts[t.Organisation]
		if a == nil {
			continue
		}
		n.touch(a)
		n.store(s, a, hub, g.Tick, t)
		if s.borrow {
			n.noteLent(now, from, a, t)
			follow = append(follow, n.servePending(now, a)...)
		} else {
			a.asked = 0
			if t.RetryMs > 0 && t.Tokens == 0 {
				a.refusedUntil = now + min(refusalMemory, time.Duration(t.RetryMs)*time.Millisecond)
			}
		}
		organisations = append(organisations, a.name)
	}
	return append(follow, n.Flush(now)...), organisations
}

// store adds received tokens to the holder. They expire counted from the time when the request
// was sent, so that no delay makes them valid for longer.
func (n *Node) store(s *sentRequest, a *account, hub identity, tick int64, t *Tokens) {
	if t.Tokens <= 0 {
		return
	}
	n.counts.Received += t.Tokens
	l := lot{n: t.Tokens, expires: s.at + min(time.Duration(t.ValidMs)*time.Millisecond, maxValidity), hub: hub, issued: tick}
	if t.Borrowed {
		l.hub = identity{}
	}
	a.holder.Add(l)
}
