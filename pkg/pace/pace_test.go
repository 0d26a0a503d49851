package pace

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Reservations follow one another, and both large and short messages use time on the link.
// Release shortens the backlog.
func TestTimetable(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	table := NewTimetable(8 / linkShare) // 1 µs for each byte
	is.Equal(table.Reserve(now, 100_000), now)
	is.Equal(table.Reserve(now, 50_000), now.Add(100*time.Millisecond))
	is.Equal(table.Backlog(now), 150*time.Millisecond)
	table.Release(20_000)
	is.Equal(table.Backlog(now), 130*time.Millisecond)
	later := now.Add(time.Second)
	is.Equal(table.Backlog(later), time.Duration(0))
	is.Equal(table.Reserve(later, 10), later)
}

// The parts of a message are due at the speed of the link, and a cancelled message frees its
// time for others.
func TestSchedule(t *testing.T) {
	is := is.New(t)
	u := NewUplink(8 / linkShare)
	first := u.Schedule(200_000)
	first.PartSent(PartBytes)
	is.Equal(first.Due().Sub(first.begin), PartBytes*time.Microsecond)
	second := u.Schedule(10_000)
	is.True(second.Due().Sub(first.begin) >= 200*time.Millisecond)
	first.Cancel()
	is.True(u.Backlog() < 50*time.Millisecond)
	first.Cancel()
	is.True(u.Backlog() > 0) // the second Cancel has no effect
	var unlimited *Uplink
	unlimited.Schedule(1 << 20).PartSent(10)
	is.Equal(unlimited.Backlog(), time.Duration(0))
}
