package upstream_test

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/bench/upstream"
	"github.com/tarragondrum/tarragondrum/pkg/history"
)

func start(t *testing.T, o upstream.Options) *upstream.Server {
	o.Address = "127.0.0.1:0"
	s, err := upstream.Start(o)
	is.New(t).NoErr(err)
	t.Cleanup(s.Stop)
	return s
}

// get calls a path and returns the status, or 0 if the exchange broke.
func get(s *upstream.Server, path string, header ...string) (int, string) {
	q, _ := http.NewRequest(http.MethodGet, "http://"+s.Addr()+path, nil)
	for i := 0; i+1 < len(header); i += 2 {
		q.Header.Set(header[i], header[i+1])
	}
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	r, err := c.Do(q)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = r.Body.Close() }()
	body, _ := io.ReadAll(r.Body)
	return r.StatusCode, string(body)
}

// A crash cuts the call that runs, and the stand-in comes back on its address.
func TestCrashAndRestart(t *testing.T) {
	is := is.New(t)
	var h history.History
	s := start(t, upstream.Options{History: &h})
	status, _ := get(s, "/a")
	is.Equal(status, http.StatusOK)
	s.CrashAfter(1)
	status, _ = get(s, "/a", "Idempotency-Key", "k", upstream.HeaderAttempt, "1")
	is.Equal(status, 0)
	is.Equal(h.Check().Runs, 2)
	is.NoErr(s.Restart())
	status, _ = get(s, "/a", upstream.HeaderPoison, "true")
	is.Equal(status, 0)
	is.Equal(s.Crashes(), uint64(2))
}

// No call that a crash cuts ends with an empty success.
func TestCrashNeverAnswersEmpty(t *testing.T) {
	for range 20 {
		s := start(t, upstream.Options{Median: 2 * time.Millisecond, Spread: 1})
		var calls sync.WaitGroup
		for range 40 {
			calls.Go(func() {
				if status, body := get(s, "/a"); status == http.StatusOK && body == "" {
					t.Error("a call that the crash cut was answered 200 without a body")
				}
			})
		}
		time.Sleep(2 * time.Millisecond)
		s.Crash()
		calls.Wait()
	}
}

// A failing or stalled stand-in still has a good health page; calls over the
// queue are shed.
func TestLyingHealthAndShedding(t *testing.T) {
	is := is.New(t)
	s := start(t, upstream.Options{Slots: 1, Queue: 0})
	s.SetFailing(true)
	status, _ := get(s, "/a")
	is.Equal(status, http.StatusInternalServerError)
	s.SetFailing(false)
	s.SetStalled(true)
	done := make(chan int)
	go func() {
		status, _ := get(s, "/a")
		done <- status
	}()
	for s.Busy() == 0 {
		time.Sleep(time.Millisecond)
	}
	status, _ = get(s, "/b")
	is.Equal(status, http.StatusServiceUnavailable)
	health, _ := get(s, upstream.HealthPath)
	is.Equal(health, http.StatusOK)
	s.SetStalled(false)
	is.Equal(<-done, http.StatusOK)
}
