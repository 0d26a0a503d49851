package deadline_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/deadline"
)

func TestTimeout(t *testing.T) {
	for _, tt := range []struct{ asked, route, service, want time.Duration }{
		{-1, 0, 0, deadline.Default},
		{-1, 0, 2 * time.Second, 2 * time.Second},
		{-1, 3 * time.Second, 2 * time.Second, 3 * time.Second},
		{time.Second, 3 * time.Second, 2 * time.Second, time.Second},
		{time.Minute, 3 * time.Second, 0, 3 * time.Second},
		{0, 3 * time.Second, 0, 0},
		{-1, 100 * time.Hour, 0, deadline.Max},
	} {
		is.New(t).Equal(deadline.Timeout(tt.asked, tt.route, tt.service), tt.want)
	}
}

// The remaining time only shrinks from hop to hop.
func TestRemainingShrinks(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	end := now.Add(time.Second)
	left := deadline.Remaining(now, end)
	read, err := deadline.Parse(deadline.Format(left))
	is.NoErr(err)
	is.Equal(read, 980*time.Millisecond)
	is.Equal(deadline.Remaining(now, now.Add(10*time.Millisecond)), 9*time.Millisecond)
	is.True(deadline.Remaining(end, end) < 0)
}

func FuzzParse(f *testing.F) {
	for _, s := range []string{"1.5s", "0s", "-1s", "1000000h", "", "soon", "9223372036854775807ns", "1e9s"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		d, err := deadline.Parse(s)
		if err == nil && (d < 0 || d > deadline.Max) {
			t.Fatalf("%q is read as %v", s, d)
		}
	})
}
