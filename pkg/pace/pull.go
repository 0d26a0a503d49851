package pace

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// pullShare is the share of the inbound link at which bodies are requested. The rest is for
	// short messages, and for requests of callers, which no schedule delays.
	pullShare = 0.85
	// pullWindowParts and pullWindowTime bound the bytes that are requested and not received. With
	// two parts the link stays busy, and a short message waits for at most two parts. Faster links
	// need more parts to cover the time until a slow node answers.
	pullWindowParts = 2
	pullWindowTime  = 20 * time.Millisecond
	// firstPartsOfBody and maxPartsOfBody bound the parts of one body that are requested and not
	// received: firstPartsOfBody at first, and one more for each part that has come, so that a distant
	// sender can use the link and one that does not answer takes little of the window.
	firstPartsOfBody = 4
	maxPartsOfBody   = 64
	// latePartTimes and minLatePart are the time, in part times and at least, after which a part
	// that has not come no longer counts in the window, so that a slow sender does not keep the
	// link idle.
	latePartTimes = 3
	minLatePart   = 30 * time.Millisecond
	// maxReceivedParts bounds how long other messages delay the next part, in part times.
	maxReceivedParts = 4
)

// Pulls schedules the requests for parts of large bodies that other nodes send to this host. Bodies
// are requested one after another, the more urgent ones first. Pulls does no I/O: the time is an
// argument. It is not safe for concurrent use.
type Pulls struct {
	table Timetable
	// part is the time of one part on the link, and window the largest number of bytes that may be
	// requested and not received.
	part   time.Duration
	window int
	bodies []*Pull
	others share
}

// share is the share of the link that other messages take, as a decaying average.
type share struct {
	busy time.Duration
	at   time.Time
}

const (
	// otherHalfLife is the age at which received messages count half in the share.
	otherHalfLife = 500 * time.Millisecond
	// maxOtherShare bounds the share, so that estimates stay within ten times the time on an idle
	// link.
	maxOtherShare = 0.9
)

// add adds a time during which the link was taken.
func (s *share) add(now time.Time, took time.Duration) {
	s.busy, s.at = time.Duration(float64(s.busy)*s.decay(now))+took, now
}

// value returns the share of the time that the link is taken.
func (s *share) value(now time.Time) float64 {
	return min(maxOtherShare, float64(s.busy)*s.decay(now)*math.Ln2/float64(otherHalfLife))
}

// decay returns the weight of what was added before.
func (s *share) decay(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(s.at)) / float64(otherHalfLife))
}

// Pull is a body that is requested in parts.
type Pull struct {
	rank int
	size int
	// next is the offset of the next part, and received the number of bytes that were received.
	next     int
	received int
	open     []openPart
	// maxOpen is the number of parts that may be open.
	maxOpen int
	// paused is set while the connection to the sender is lost.
	paused bool
	// progress is when a part was last received, or requested while none was outstanding.
	progress time.Time
}

// openPart is a part that was requested and not received.
type openPart struct {
	offset, bytes int
	at            time.Time
}

// PartRequest asks for a part of a body.
type PartRequest struct {
	Pull          *Pull
	Offset, Bytes int
}

// NewPulls returns the schedule of a host with a link of mbps Mbit/s.
func NewPulls(mbps float64) *Pulls {
	p := &Pulls{table: Timetable{perByte: float64(time.Second) * bitsPerByte / (mbps * 1e6 * pullShare)}}
	p.part = p.table.Time(PartBytes)
	p.window = max(pullWindowParts*PartBytes, int(float64(pullWindowTime)/p.table.perByte))
	return p
}

// Add adds a body of size bytes. Bodies of a lower rank are requested first, those of equal rank in
// the order in which they were added.
func (p *Pulls) Add(now time.Time, rank, size int) *Pull {
	b := &Pull{rank: rank, size: size, progress: now, maxOpen: firstPartsOfBody}
	i := len(p.bodies)
	for i > 0 && p.bodies[i-1].rank > rank {
		i--
	}
	p.bodies = slices.Insert(p.bodies, i, b)
	return b
}

// Remove removes a body. It does nothing if the body was removed before.
func (p *Pulls) Remove(b *Pull) {
	if i := slices.Index(p.bodies, b); i >= 0 {
		p.bodies = slices.Delete(p.bodies, i, i+1)
	}
}

// Pause ends the requests for a body, as the connection to its sender is lost.
func (p *Pulls) Pause(now time.Time, b *Pull) {
	if len(b.open) == 0 {
		b.progress = now
	}
	b.paused, b.open = true, nil
}

// Restart requests a body from its start, on a new connection.
func (p *Pulls) Restart(now time.Time, b *Pull) {
	b.paused, b.open, b.next, b.received, b.progress, b.maxOpen = false, nil, 0, 0, now, firstPartsOfBody
}

// RecordReceived records that n bytes of other messages came over the link. They delay the next part
// by at most maxReceivedParts part times: what has come no longer takes the link, and a link that is
// faster than its setting must not end the requests.
func (p *Pulls) RecordReceived(now time.Time, n int) {
	p.others.add(now, p.table.Time(n))
	latest := now.Add(maxReceivedParts * p.part)
	if p.table.free.After(latest) {
		latest = p.table.free
	}
	p.reserve(now, n)
	if p.table.free.After(latest) {
		p.table.free = latest
	}
}

// reserve reserves the link for n bytes. A schedule that is behind by less than one part, as timers
// are late, catches up.
func (p *Pulls) reserve(now time.Time, n int) { p.table.Reserve(now.Add(-p.part), n) }

// Next returns the next part to request, with a nil Pull if there is none now. Then again is when
// Next must be called again, or 0 if not before another method was called.
func (p *Pulls) Next(now time.Time) (r PartRequest, again time.Duration) {
	b := p.first()
	if b == nil {
		return PartRequest{}, 0
	}
	if wait := p.table.Backlog(now); wait > 0 {
		return PartRequest{}, wait
	}
	n := min(PartBytes, b.size-b.next)
	if outstanding, late := p.outstanding(now); outstanding > 0 && outstanding+n > p.window {
		return PartRequest{}, late
	}
	if len(b.open) == 0 {
		b.progress = now
	}
	b.open = append(b.open, openPart{offset: b.next, bytes: n, at: now})
	r = PartRequest{Pull: b, Offset: b.next, Bytes: n}
	b.next += n
	p.reserve(now, n)
	return r, 0
}

// first returns the first body of which a part may be requested, or nil.
func (p *Pulls) first() *Pull {
	for _, b := range p.bodies {
		if !b.paused && b.next < b.size && len(b.open) < b.maxOpen {
			return b
		}
	}
	return nil
}

// outstanding returns the bytes that count in the window, and when the first of them becomes late.
func (p *Pulls) outstanding(now time.Time) (bytes int, late time.Duration) {
	limit := max(latePartTimes*p.part, minLatePart)
	late = limit
	for _, b := range p.bodies {
		for _, o := range b.open {
			if left := limit - now.Sub(o.at); left > 0 {
				bytes += o.bytes
				late = min(late, left)
			}
		}
	}
	return bytes, late
}

// Received records a received part, and reports whether the part was requested.
func (p *Pulls) Received(now time.Time, b *Pull, offset, bytes int) bool {
	i := slices.IndexFunc(b.open, func(o openPart) bool { return o.offset == offset && o.bytes == bytes })
	if i < 0 {
		return false
	}
	b.open = slices.Delete(b.open, i, i+1)
	b.received += bytes
	b.maxOpen = min(b.maxOpen+1, maxPartsOfBody)
	b.progress = now
	return true
}

// Complete reports whether the whole body was received.
func (b *Pull) Complete() bool { return b.received == b.size }

// StalledFor returns how long a body has made no progress although its parts are requested or its
// connection is lost, and 0 while it waits for its turn.
func (p *Pulls) StalledFor(now time.Time, b *Pull) time.Duration {
	if !b.paused && len(b.open) == 0 {
		return 0
	}
	return now.Sub(b.progress)
}

// Wait returns how long the link is taken by other bodies before one of this rank would be
// requested, if other messages continue to come as in the last second.
func (p *Pulls) Wait(now time.Time, rank int) time.Duration {
	bytes := 0
	for _, b := range p.bodies {
		if b.rank <= rank {
			bytes += b.size - b.next
		}
	}
	return p.table.Backlog(now) + time.Duration(float64(p.table.Time(bytes))/(1-p.others.value(now)))
}

// Time returns how long n bytes take.
func (p *Pulls) Time(n int) time.Duration { return p.table.Time(n) }

// Downlink schedules the inbound link of this host. It is safe for concurrent use. A nil Downlink
// has no limit, and requests nothing.
type Downlink struct {
	mu    sync.Mutex
	pulls *Pulls
}

// NewDownlink returns the Downlink of a host with a link of mbps Mbit/s, nil if it is unlimited.
func NewDownlink(mbps float64) *Downlink {
	if mbps <= 0 || math.IsInf(mbps, 1) {
		return nil
	}
	return &Downlink{pulls: NewPulls(mbps)}
}

// Do runs f with the schedule and the time, while no other uses the schedule.
func (d *Downlink) Do(f func(p *Pulls, now time.Time)) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.pulls, time.Now())
}

// RecordReceived records that n bytes of other messages came over the link.
func (d *Downlink) RecordReceived(n int) {
	d.Do(func(p *Pulls, now time.Time) { p.RecordReceived(now, n) })
}

// Wait returns how long the link is taken before a body of this rank would be requested.
func (d *Downlink) Wait(rank int) (wait time.Duration) {
	d.Do(func(p *Pulls, now time.Time) { wait = p.Wait(now, rank) })
	return wait
}

// Backlog returns how long the link is taken by the bodies of all ranks.
func (d *Downlink) Backlog() time.Duration { return d.Wait(math.MaxInt) }

// Time returns how long n bytes take.
func (d *Downlink) Time(n int) (took time.Duration) {
	d.Do(func(p *Pulls, _ time.Time) { took = p.Time(n) })
	return took
}
