// Package pace schedules large messages on the outbound link of a host, so that short
// messages do not queue behind them.
package pace

import (
	"context"
	"math"
	"sync"
	"time"
)

const (
	// PartBytes is the size of the parts of a large message. A message of at most this size
	// is short. At 8 Mbit/s, the slowest link of the example deployments, a short message
	// waits 16 ms for one part.
	PartBytes = 16 << 10
	// linkShare is the share of the link's bandwidth that is scheduled. Above it packets
	// start to queue in the link itself.
	linkShare   = 0.97
	bitsPerByte = 8
)

// Timetable schedules the bytes that a host sends on its link. Short messages are sent at
// once and delay what is scheduled next. Large messages are sent one after another at the
// speed of the link, so that a short message waits for at most one part of a large one.
// Timetable does no I/O: the time is an argument.
type Timetable struct {
	// perByte is the time that the link takes for one byte, in nanoseconds.
	perByte float64
	// free is when the link has sent all bytes that are scheduled.
	free time.Time
}

// NewTimetable returns the timetable of a link of mbps Mbit/s.
func NewTimetable(mbps float64) Timetable {
	return Timetable{perByte: float64(time.Second) * bitsPerByte / (mbps * 1e6 * linkShare)}
}

// Reserve reserves the link for n bytes and returns when the reservation begins.
func (t *Timetable) Reserve(now time.Time, n int) time.Time {
	if t.free.Before(now) {
		t.free = now
	}
	begin := t.free
	t.free = begin.Add(t.Time(n))
	return begin
}

// Release cancels the reservation of n bytes that were not sent.
func (t *Timetable) Release(n int) { t.free = t.free.Add(-t.Time(n)) }

// Time returns how long the link takes for n bytes.
func (t *Timetable) Time(n int) time.Duration {
	return time.Duration(math.Round(t.perByte * float64(n)))
}

// Backlog returns how long the link is reserved from now on.
func (t *Timetable) Backlog(now time.Time) time.Duration { return max(0, t.free.Sub(now)) }

// Uplink schedules the outbound link of this host. It is safe for concurrent use. A nil
// Uplink has no limit.
type Uplink struct {
	mu    sync.Mutex
	table Timetable
	// requested schedules the parts that other nodes request, which don't wait for large answers.
	requested Timetable
}

// NewUplink returns the Uplink of a host with a link of mbps Mbit/s.
func NewUplink(mbps float64) *Uplink {
	return &Uplink{table: NewTimetable(mbps), requested: NewTimetable(mbps)}
}

// RecordSent records that a short message of n bytes is sent at once.
func (u *Uplink) RecordSent(n int) {
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.table.Reserve(time.Now(), n)
}

// ReservePart reserves the link for a part of n bytes that another node has requested, and returns
// the time until it may be sent. Such parts are sent one after another, but not behind the large
// messages of this host, as the requesting node keeps a share of its link for each of them.
func (u *Uplink) ReservePart(n int) time.Duration {
	if u == nil {
		return 0
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	u.table.Reserve(now, n)
	return u.requested.Reserve(now, n).Sub(now)
}

// Schedule reserves the link for a large message of n bytes.
func (u *Uplink) Schedule(n int) *Schedule {
	s := &Schedule{uplink: u, left: n}
	if u == nil {
		return s
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	s.begin = u.table.Reserve(time.Now(), n)
	return s
}

// Backlog returns how long the link takes for all messages that are scheduled.
func (u *Uplink) Backlog() time.Duration {
	if u == nil {
		return 0
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.table.Backlog(time.Now())
}

// Time returns how long the link takes for n bytes.
func (u *Uplink) Time(n int) time.Duration {
	if u == nil {
		return 0
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.table.Time(n)
}

// Schedule is the reservation of one large message on the link. It is not safe for
// concurrent use.
type Schedule struct {
	uplink *Uplink
	begin  time.Time
	sent   int
	left   int
}

// Due returns when the next part may be sent.
func (s *Schedule) Due() time.Time { return s.begin.Add(s.uplink.Time(s.sent)) }

// Wait waits until the next part may be sent, or returns the error of ctx.
func (s *Schedule) Wait(ctx context.Context) error {
	d := time.Until(s.Due())
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// PartSent records that n bytes are sent.
func (s *Schedule) PartSent(n int) { s.sent, s.left = s.sent+n, s.left-n }

// Cancel cancels the reservation of the bytes that are not sent. It may be called more than
// once.
func (s *Schedule) Cancel() {
	if s.uplink == nil || s.left <= 0 {
		return
	}
	s.uplink.mu.Lock()
	defer s.uplink.mu.Unlock()
	s.uplink.table.Release(s.left)
	s.left = 0
}
