package rest_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/platform"
	"github.com/tarragondrum/tarragondrum/pkg/platform/rest"
	"github.com/tarragondrum/tarragondrum/pkg/platform/standin"
)

var key = platform.Key{Collection: platform.CollectionContacts, Name: "cluj-1"}

func value(s string) json.RawMessage { return json.RawMessage(`{"s":"` + s + `"}`) }

// start runs a stand-in and returns it with a client.
func start(t *testing.T, c standin.Config) (*standin.Server, *rest.Client) {
	t.Helper()
	c.Address = "127.0.0.1:0"
	s, err := standin.Start(c)
	is.New(t).NoErr(err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = s.Stop(ctx)
	})
	return s, connect(t, rest.Config{URL: s.URL()})
}

func connect(t *testing.T, c rest.Config) *rest.Client {
	t.Helper()
	c.Mesh = "guild"
	client, err := rest.New(c)
	is.New(t).NoErr(err)
	t.Cleanup(client.Close)
	return client
}

func TestObjectsLikeTheInterfaceSays(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	_, client := start(t, standin.Config{})
	_, err := client.Get(ctx, key)
	is.True(errors.Is(err, platform.ErrNotFound))
	first, err := client.Put(ctx, key, value("<one>"), "")
	is.NoErr(err)
	_, err = client.Put(ctx, key, value("two"), "")
	is.True(errors.Is(err, platform.ErrConflict))
	second, err := client.Put(ctx, key, value("two"), first)
	is.NoErr(err)
	_, err = client.Put(ctx, key, value("three"), first)
	is.True(errors.Is(err, platform.ErrConflict))
	_, err = client.Put(ctx, platform.Key{Collection: key.Collection, Name: "absent"}, value("x"), second)
	is.True(errors.Is(err, platform.ErrConflict))

	objects, revision, err := client.List(ctx, key.Collection)
	is.NoErr(err)
	is.Equal(len(objects), 1)
	is.Equal(objects[0].Key, key)
	is.Equal(string(objects[0].Value), string(value("two")))
	is.Equal(revision, second)

	is.True(errors.Is(client.Delete(ctx, key, first), platform.ErrConflict))
	is.NoErr(client.Delete(ctx, key, second))
	is.True(errors.Is(client.Delete(ctx, key, second), platform.ErrNotFound))
}

func TestValuesUpToAMegabyte(t *testing.T) {
	is := is.New(t)
	_, client := start(t, standin.Config{})
	full := json.RawMessage(`"` + strings.Repeat("<", platform.MaxValueBytes-2) + `"`)
	_, err := client.Put(t.Context(), key, full, "")
	is.NoErr(err)
	o, err := client.Get(t.Context(), key)
	is.NoErr(err)
	is.Equal(string(o.Value), string(full))
	_, err = client.Put(t.Context(), key, append(full, ' '), o.Revision)
	is.True(errors.Is(err, platform.ErrTooLarge))
}

func TestMeshesAreApart(t *testing.T) {
	is := is.New(t)
	s, client := start(t, standin.Config{})
	_, err := client.Put(t.Context(), key, value("guild"), "")
	is.NoErr(err)
	other, err := rest.New(rest.Config{URL: s.URL(), Mesh: "order-desk"})
	is.NoErr(err)
	defer other.Close()
	_, err = other.Get(t.Context(), key)
	is.True(errors.Is(err, platform.ErrNotFound))
}

func TestLostAnswerIsUnknownAndTookEffect(t *testing.T) {
	is := is.New(t)
	s, client := start(t, standin.Config{})
	is.NoErr(s.Apply(standin.Faults{LoseAnswers: 1}))
	_, err := client.Put(t.Context(), key, value("lost"), "")
	is.True(errors.Is(err, platform.ErrUnknownOutcome))
	o, err := client.Get(t.Context(), key)
	is.NoErr(err)
	is.Equal(string(o.Value), string(value("lost")))
	is.Equal(s.Store().Calls().Put, uint64(1)) // the client did not write twice
}

func TestDownIsUnavailableAndPasses(t *testing.T) {
	is := is.New(t)
	s, client := start(t, standin.Config{})
	first, err := client.Put(t.Context(), key, value("one"), "")
	is.NoErr(err)
	client.Close() // no connection is left, as after a long outage
	down, up := true, false
	is.NoErr(s.Apply(standin.Faults{Down: &down}))
	_, err = client.Put(t.Context(), key, value("two"), first)
	is.True(errors.Is(err, platform.ErrUnavailable))
	is.True(!errors.Is(err, platform.ErrUnknownOutcome))
	_, err = client.Get(t.Context(), key)
	is.True(errors.Is(err, platform.ErrUnavailable))
	_, err = client.Watch(t.Context(), key.Collection, first)
	is.True(errors.Is(err, platform.ErrUnavailable))
	is.NoErr(s.Apply(standin.Faults{Down: &up}))
	_, err = client.Put(t.Context(), key, value("two"), first)
	is.NoErr(err)
}

func TestSlowWriteIsUnknownAndSlowReadUnavailable(t *testing.T) {
	is := is.New(t)
	s, _ := start(t, standin.Config{})
	client := connect(t, rest.Config{URL: s.URL(), Timeout: 50 * time.Millisecond})
	slow := 10_000
	is.NoErr(s.Apply(standin.Faults{SlowMilliseconds: &slow}))
	_, err := client.Put(t.Context(), key, value("slow"), "")
	is.True(errors.Is(err, platform.ErrUnknownOutcome))
	_, err = client.Get(t.Context(), key)
	is.True(errors.Is(err, platform.ErrUnavailable))
	_, err = client.Watch(t.Context(), key.Collection, "0")
	is.True(errors.Is(err, platform.ErrUnavailable))
}

func TestOverTheRateSaysWhenToComeBack(t *testing.T) {
	is := is.New(t)
	_, client := start(t, standin.Config{Reads: 1, Writes: 1})
	revision, err := client.Put(t.Context(), key, value("one"), "")
	is.NoErr(err)
	// The rate lets at most one more of these through each second.
	for err == nil {
		revision, err = client.Put(t.Context(), key, value("two"), revision)
	}
	var limited *platform.RateLimitError
	is.True(errors.As(err, &limited))
	is.True(errors.Is(err, platform.ErrRateLimited))
	is.Equal(limited.RetryAfter, time.Second)
}

func TestTokenIsRequired(t *testing.T) {
	is := is.New(t)
	s, client := start(t, standin.Config{Token: "secret"})
	_, err := client.Put(t.Context(), key, value("one"), "")
	is.True(errors.Is(err, platform.ErrRefused))
	file := filepath.Join(t.TempDir(), "token")
	is.NoErr(os.WriteFile(file, []byte("secret\n"), 0o600))
	_, err = connect(t, rest.Config{URL: s.URL(), TokenFile: file}).Put(t.Context(), key, value("one"), "")
	is.NoErr(err)
}

// Answers that a client cannot trust leave the outcome of a write open.
func TestUnclearAnswers(t *testing.T) {
	cases := map[string]http.HandlerFunc{
		"server error":    func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"unavailable":     func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"redirect":        func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/other", http.StatusFound) },
		"not JSON":        func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("<html>")) },
		"no revision":     func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) },
		"truncated":       truncated,
		"connection lost": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	}
	for name, handler := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(handler)
			defer server.Close()
			client := connect(t, rest.Config{URL: server.URL})
			_, err := client.Put(t.Context(), key, value("one"), "7")
			is.True(errors.Is(err, platform.ErrUnknownOutcome))
			if name == "no revision" {
				return
			}
			_, err = client.Get(t.Context(), key)
			is.True(errors.Is(err, platform.ErrUnavailable))
		})
	}
}

func truncated(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "1000")
	_, _ = w.Write([]byte(`{"metadata":{"resourceVersion":"8"`))
}

func TestNobodyListensIsUnavailable(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := ln.Addr().String()
	is.NoErr(ln.Close())
	_, err = connect(t, rest.Config{URL: "http://" + address}).Put(t.Context(), key, value("one"), "")
	is.True(errors.Is(err, platform.ErrUnavailable))
}

func TestBadConfigurationIsRefused(t *testing.T) {
	is := is.New(t)
	for _, c := range []rest.Config{
		{URL: "", Mesh: "m"}, {URL: "127.0.0.1:7000", Mesh: "m"}, {URL: "ftp://host", Mesh: "m"},
		{URL: "http://127.0.0.1"}, {URL: "http://127.0.0.1", Mesh: "m", TokenFile: "absent"},
	} {
		_, err := rest.New(c)
		is.True(err != nil)
	}
}

// A server that takes a write on a connection in use and then closes it gets
// the write once only, whatever the HTTP client may do with reads.
func TestWriteIsNeverSentTwice(t *testing.T) {
	is := is.New(t)
	var writes atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = w.Write([]byte(`{"metadata":{"resourceVersion":"7"}}`))
			return
		}
		writes.Add(1)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	}))
	defer server.Close()
	client := connect(t, rest.Config{URL: server.URL})
	for want := int64(1); want <= 3; want++ {
		_, err := client.Get(t.Context(), key) // leaves a connection to use again
		is.NoErr(err)
		_, err = client.Put(t.Context(), key, value("one"), "7")
		is.True(errors.Is(err, platform.ErrUnknownOutcome))
		is.Equal(writes.Load(), want)
	}
	err := client.Delete(t.Context(), key, "7")
	is.True(errors.Is(err, platform.ErrUnknownOutcome))
	is.Equal(writes.Load(), int64(4))
}
