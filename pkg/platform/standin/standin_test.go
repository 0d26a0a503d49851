package standin_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/platform"
	"github.com/tarragondrum/tarragondrum/pkg/platform/fake"
	"github.com/tarragondrum/tarragondrum/pkg/platform/rest"
	"github.com/tarragondrum/tarragondrum/pkg/platform/standin"
)

func start(t *testing.T) *standin.Server {
	t.Helper()
	s, err := standin.Start(standin.Config{Address: "127.0.0.1:0", FaultAddress: "127.0.0.1:0"})
	is.New(t).NoErr(err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = s.Stop(ctx)
	})
	return s
}

// do makes a request and returns the status code and body.
func do(t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	is := is.New(t)
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	is.NoErr(err)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	return resp.StatusCode, string(raw)
}

func TestFaultsOverHTTP(t *testing.T) {
	is := is.New(t)
	s := start(t)
	client, err := rest.New(rest.Config{URL: s.URL(), Mesh: "m"})
	is.NoErr(err)
	defer client.Close()
	key := platform.Key{Collection: platform.CollectionHeads, Name: "head"}
	fault := func(body string) {
		t.Helper()
		code, text := do(t, http.MethodPost, s.FaultURL()+"/faults", body)
		if code != http.StatusOK {
			t.Fatalf("faults %s: %d %s", body, code, text)
		}
	}
	fault(`{"loseAnswers":1}`)
	_, err = client.Put(t.Context(), key, json.RawMessage(`1`), "")
	is.True(errors.Is(err, platform.ErrUnknownOutcome))
	fault(`{"down":true}`)
	client.Close()
	_, err = client.Get(t.Context(), key)
	is.True(errors.Is(err, platform.ErrUnavailable))
	fault(`{"down":true}`) // twice is the same
	fault(`{"down":false,"readsPerSecond":1,"writesPerSecond":1}`)
	o, err := client.Get(t.Context(), key)
	is.NoErr(err)
	for err == nil {
		_, err = client.Get(t.Context(), key)
	}
	is.True(errors.Is(err, platform.ErrRateLimited))
	fault(`{"readsPerSecond":0,"writesPerSecond":0,"compact":true}`)
	_, err = client.Put(t.Context(), key, json.RawMessage(`2`), o.Revision)
	is.NoErr(err)
	fault(`{"compact":true}`)
	_, err = client.Watch(t.Context(), key.Collection, o.Revision)
	is.True(errors.Is(err, platform.ErrCompacted))

	var calls fake.Calls
	_, text := do(t, http.MethodGet, s.FaultURL()+"/calls", "")
	is.NoErr(json.Unmarshal([]byte(text), &calls))
	is.Equal(calls.Put, uint64(2))
	is.Equal(calls.Watch, uint64(1))
}

func TestWrongFaultsAreRefused(t *testing.T) {
	for _, body := range []string{`{`, `{"readsPerSecond":1}`} {
		is := is.New(t)
		code, _ := do(t, http.MethodPost, start(t).FaultURL()+"/faults", body)
		is.Equal(code, http.StatusBadRequest)
	}
}

// Requests that a careless client could send are refused and change nothing.
func TestWrongRequestsAreRefused(t *testing.T) {
	s := start(t)
	collection := s.URL() + "/apis/tarragondrum.io/v1/namespaces/m/heads"
	cases := map[string]struct {
		method, url, body string
		code              int
	}{
		"not JSON":                {http.MethodPost, collection, `{`, 400},
		"other version":           {http.MethodPost, collection, `{"apiVersion":"v9","metadata":{"name":"x"},"spec":1}`, 400},
		"no spec":                 {http.MethodPost, collection, `{"apiVersion":"tarragondrum.io/v1","metadata":{"name":"x"}}`, 400},
		"no name":                 {http.MethodPost, collection, `{"apiVersion":"tarragondrum.io/v1","spec":1}`, 400},
		"new with a revision":     {http.MethodPost, collection, `{"apiVersion":"tarragondrum.io/v1","metadata":{"name":"x","resourceVersion":"1"},"spec":1}`, 400},
		"update without revision": {http.MethodPut, collection + "/x", `{"apiVersion":"tarragondrum.io/v1","metadata":{"name":"x"},"spec":1}`, 400},
		"update of another name":  {http.MethodPut, collection + "/x", `{"apiVersion":"tarragondrum.io/v1","metadata":{"name":"y","resourceVersion":"1"},"spec":1}`, 400},
		"delete without revision": {http.MethodDelete, collection + "/x", `{}`, 400},
		"watch without revision":  {http.MethodGet, collection + "?watch=1", ``, 400},
		"absent":                  {http.MethodGet, collection + "/x", ``, 404},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			code, text := do(t, c.method, c.url, c.body)
			is.Equal(code, c.code)
			var status rest.Status
			is.NoErr(json.Unmarshal([]byte(text), &status))
			is.Equal(status.Code, c.code)
		})
	}
}

func TestStopEndsRunningWatches(t *testing.T) {
	is := is.New(t)
	s, err := standin.Start(standin.Config{Address: "127.0.0.1:0"})
	is.NoErr(err)
	client, err := rest.New(rest.Config{URL: s.URL(), Mesh: "m"})
	is.NoErr(err)
	defer client.Close()
	w, err := client.Watch(t.Context(), platform.CollectionHeads, "0")
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	is.NoErr(s.Stop(ctx))
	_, err = w.Next(t.Context())
	is.True(errors.Is(err, platform.ErrUnavailable))
}

func TestAddressInUseIsAnError(t *testing.T) {
	is := is.New(t)
	s := start(t)
	_, err := standin.Start(standin.Config{Address: strings.TrimPrefix(s.URL(), "http://")})
	is.True(err != nil)
}
