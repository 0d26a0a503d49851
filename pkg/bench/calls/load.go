package calls

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// stream is an open-loop flow of calls: they start at their planned times,
// whether or not earlier ones have ended.
type stream struct {
	// rate is in calls per second; arrivals are a Poisson process.
	rate  float64
	start time.Duration
	// length is how long the stream lasts; zero means to the end of the run.
	length time.Duration
	// draw returns the next call.
	draw func(rng *rand.Rand) call
}

// always returns a stream of the same call.
func always(rate float64, c call) stream {
	return stream{rate: rate, draw: func(*rand.Rand) call { return c }}
}

// during returns s limited to a part of the run.
func (s stream) during(start, length time.Duration) stream {
	s.start, s.length = start, length
	return s
}

// maxInFlight bounds the goroutines of one run.
const maxInFlight = 20000

// drive sends all streams for the given time and waits for the answers.
func drive(ctx context.Context, s *callers, length time.Duration, seed uint64, streams ...stream) {
	begin := time.Now()
	var wg sync.WaitGroup
	inFlight := make(chan struct{}, maxInFlight)
	for i, st := range streams {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		end := length
		if st.length > 0 {
			end = min(length, st.start+st.length)
		}
		wg.Go(func() {
			for at := st.start; at < end && ctx.Err() == nil; {
				pause(ctx, time.Until(begin.Add(at)))
				planned := begin.Add(at)
				c := st.draw(rng)
				inFlight <- struct{}{}
				wg.Go(func() {
					defer func() { <-inFlight }()
					s.run(ctx, planned, c)
				})
				at += time.Duration(rng.ExpFloat64() / st.rate * float64(time.Second))
			}
		})
	}
	wg.Wait()
}
