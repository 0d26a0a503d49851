package quota

import (
	"math"
	"time"
)

// Token is the right to run one request. The zero token belongs to a request without a limit.
type Token struct {
	organisation string
	lot          lot
	// own is set if the token came from the bucket of this node.
	own bool
}

// lot is tokens that were received together, or returned.
type lot struct {
	n       int
	expires time.Duration
	// hub issued the tokens at the tick issued. It is empty for tokens that are not reported
	// as unused.
	hub    identity
	issued int64
}

// Holder holds the tokens of one organisation that a node received from hubs.
type Holder struct {
	lots []lot
	// unused are tokens that expired and are not reported yet.
	unused []lot
}

// expire moves expired tokens to those that are reported, and returns their number.
func (h *Holder) expire(now time.Duration) int {
	expired := 0
	kept := h.lots[:0]
	for _, l := range h.lots {
		if l.n > 0 && now < l.expires {
			kept = append(kept, l)
			continue
		}
		expired += l.n
		h.noteUnused(now, l)
	}
	h.lots = kept
	return expired
}

// noteUnused records expired tokens for the next report.
func (h *Holder) noteUnused(now time.Duration, l lot) {
	h.unused = append(h.dropOldUnused(now), l)
	if l.n == 0 || l.hub.node == "" {
		h.unused = h.unused[:len(h.unused)-1]
	}
}

// dropOldUnused discards expired tokens that their hub takes for used already.
func (h *Holder) dropOldUnused(now time.Duration) []lot {
	kept := h.unused[:0]
	for _, l := range h.unused {
		if now < l.expires+maxValidity {
			kept = append(kept, l)
		}
	}
	return kept
}

// Add stores received tokens.
func (h *Holder) Add(l lot) { h.lots = append(h.lots, l) }

// Held returns the number of tokens.
func (h *Holder) Held() int {
	sum := 0
	for _, l := range h.lots {
		sum += l.n
	}
	return sum
}

// Take takes at most n tokens of the lot that expires first.
func (h *Holder) Take(n int) (lot, bool) {
	first := -1
	for i := range h.lots {
		if h.lots[i].n > 0 && (first < 0 || h.lots[i].expires < h.lots[first].expires) {
			first = i
		}
	}
	if first < 0 || n <= 0 {
		return lot{}, false
	}
	taken := h.lots[first]
	taken.n = min(n, taken.n)
	h.lots[first].n -= taken.n
	return taken, true
}

// reportUnused removes and returns the expired tokens that a hub issued.
func (h *Holder) reportUnused(now time.Duration, organisation string, hub identity) []Unused {
	var list []Unused
	kept := h.unused[:0]
	for _, l := range h.dropOldUnused(now) {
		switch {
		case l.hub != hub:
			kept = append(kept, l)
		case len(list) > 0 && list[len(list)-1].Issued == l.issued:
			list[len(list)-1].Tokens += l.n
		default:
			list = append(list, Unused{Organisation: organisation, Issued: l.issued, Tokens: l.n})
		}
	}
	h.unused = kept
	return list
}

// account is what a node knows of one organisation with a limit.
type account struct {
	name   string
	size   size
	bucket Bucket
	holder Holder
	// used estimates the requests of the organisation at this node, and drawn those and the
	// tokens that others requested from the bucket.
	used, drawn rateEstimate
	// served estimates the requests that got a token here.
	served rateEstimate
	// waiting are the requests that wait for a token here.
	waiting int
	// asked is the tokens requested from the hub at askedAt and not answered yet.
	asked   int
	askedAt time.Duration
	// refusedUntil is until when requests are refused without asking the hub again.
	refusedUntil time.Duration
	// nextFree is when a token is likely free for the next request that is refused.
	nextFree time.Duration
	// borrowing is the search for tokens at other hubs.
	borrowing borrowing
}

// borrowing is the search of a hub for tokens at other hubs.
type borrowing struct {
	// want is the tokens to be requested next. asked is the hub that was asked at askedAt and
	// has not answered, empty if there is none.
	want    int
	asked   string
	askedAt time.Duration
	// empty is until when hubs that had no tokens are not asked again.
	empty map[string]time.Duration
}

// isIdle reports whether nothing has to be done for the organisation at a tick.
func (a *account) isIdle(now time.Duration) bool {
	return a.waiting == 0 && len(a.holder.lots) == 0 && len(a.holder.unused) == 0 && a.borrowing.want == 0 && a.borrowing.asked == "" &&
		a.used.value(now) < 0.01 && a.drawn.value(now) < 0.01
}

// advance returns the tokens to be held for the use expected within the horizon. Organisations
// that are used rarely request tokens when a request needs one.
func (a *account) advance(now time.Duration) int {
	expected := a.used.value(now) * min(horizon, a.size.validity).Seconds()
	if expected < minAdvance {
		return 0
	}
	return int(math.Ceil(expected))
}

// missing returns the tokens to be requested from the hub now.
func (a *account) missing(now time.Duration, inAdvance bool) int {
	want := a.waiting
	if inAdvance {
		want = max(want, a.advance(now))
	}
	want -= a.holder.Held()
	if now < a.askedAt+AskInterval {
		want -= a.asked
	}
	return max(0, want)
}

// surplus returns the tokens that a hub can give to other hubs.
func (a *account) surplus(now time.Duration) int {
	return max(0, int(a.bucket.level-a.drawn.value(now)*lendReserve.Seconds()))
}

// retryAfter returns when a token is likely free for one more refused request, and reserves
// that time. A node gets at least its part of the limit, or as much as it got recently.
func (a *account) retryAfter(now, window time.Duration, hosts int) time.Duration {
	perS := max(a.served.value(now), a.size.limit.RatePerS/float64(max(1, hosts)))
	at := max(now, a.refusedUntil, a.nextFree)
	a.nextFree = min(at+time.Duration(float64(time.Second)/perS), now+window)
	return a.nextFree - now
}
