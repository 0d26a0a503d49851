package outlier_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tarragondrum/tarragondrum/pkg/outlier"
)

var epoch = time.Unix(1_700_000_000, 0)

func fail(e *outlier.Endpoint, now time.Time, n int) (eject bool) {
	for range n {
		eject = e.Record(now, false, 0)
	}
	return eject
}

func TestFailuresInARowEject(t *testing.T) {
	is := is.New(t)
	var e outlier.Endpoint
	is.Equal(fail(&e, epoch, 4), false)
	e.Record(epoch, true, 0)
	is.Equal(fail(&e, epoch, 4), false)
	is.Equal(e.Record(epoch, false, 0), true)
}

// One failure is enough when the endpoint's node has counted many, and a good
// call is a good call whatever was counted.
func TestFailuresOfOthersCount(t *testing.T) {
	is := is.New(t)
	var e outlier.Endpoint
	is.Equal(e.Record(epoch, false, 4), false)
	is.Equal(e.Record(epoch, true, 9), false)
	is.Equal(e.Record(epoch, false, 5), true)
}

// An endpoint that answers its probes but fails most calls is found by its share.
func TestShareOfFailuresEjects(t *testing.T) {
	is := is.New(t)
	var e outlier.Endpoint
	eject := false
	for range 20 {
		e.Record(epoch, true, 0)
		e.Record(epoch, false, 0)
		eject = e.Record(epoch, false, 0) || eject
	}
	is.True(eject)
}

func TestReturnIsExponentialAndRamps(t *testing.T) {
	is := is.New(t)
	var e outlier.Endpoint
	now := epoch
	var lengths []time.Duration
	for range 4 {
		e.Eject(now)
		start := now
		for e.Ejected(now) {
			now = now.Add(time.Second)
		}
		lengths = append(lengths, now.Sub(start))
	}
	is.Equal(lengths, []time.Duration{5 * time.Second, 10 * time.Second, 20 * time.Second, 40 * time.Second})
	is.True(e.Weight() < 0.11)
	for range 5 {
		e.Record(now, true, 0)
	}
	is.True(e.Weight() > 0.5 && e.Weight() < 0.7)
	for range 5 {
		e.Record(now, true, 0)
	}
	is.True(e.Weight() > 0.99)
}

// However the calls end, no more than the allowed share is out.
func TestEjectionKeepsToItsFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 20).Draw(t, "total")
		percent := rapid.IntRange(0, 100).Draw(t, "percent")
		endpoints := make([]outlier.Endpoint, total)
		now := epoch
		for range rapid.IntRange(0, 200).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			e := &endpoints[rapid.IntRange(0, total-1).Draw(t, "endpoint")]
			if !e.Record(now, rapid.Float64Range(0, 1).Draw(t, "luck") > 0.8, rapid.IntRange(0, 8).Draw(t, "in a row")) {
				continue
			}
			out := 0
			for i := range endpoints {
				if endpoints[i].Ejected(now) {
					out++
				}
			}
			if outlier.Allowed(out, total, percent) {
				e.Eject(now)
				out++
			}
			if out*100 > total*percent {
				t.Fatalf("%d of %d are out, allowed are %d%%", out, total, percent)
			}
		}
	})
}

func TestPanicWhenOthersLeave(t *testing.T) {
	is := is.New(t)
	is.Equal(outlier.Panic(0, 0, 50), false)
	is.Equal(outlier.Panic(2, 4, 50), false)
	is.Equal(outlier.Panic(2, 3, 50), true)
	is.Equal(outlier.Panic(1, 1, 100), true)
}
