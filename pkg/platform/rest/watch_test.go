package rest_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/platform"
	"github.com/tarragondrum/tarragondrum/pkg/platform/rest"
	"github.com/tarragondrum/tarragondrum/pkg/platform/standin"
)

func TestWatchDeliversChangesInOrder(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	s, client := start(t, standin.Config{})
	first, err := client.Put(ctx, key, value("before"), "")
	is.NoErr(err)
	w, err := client.Watch(ctx, key.Collection, first)
	is.NoErr(err)
	defer func() { _ = w.Close() }()
	second, err := client.Put(ctx, key, value("one"), first)
	is.NoErr(err)
	is.NoErr(client.Delete(ctx, key, second))

	change, err := w.Next(ctx)
	is.NoErr(err)
	is.Equal(change.Type, platform.ChangePut)
	is.Equal(change.Object.Key, key)
	is.Equal(change.Object.Revision, second)
	is.Equal(string(change.Object.Value), string(value("one")))
	change, err = w.Next(ctx)
	is.NoErr(err)
	is.Equal(change.Type, platform.ChangeDelete)
	is.Equal(s.Store().Calls().Watch, uint64(1)) // a waiting watch is one call
}

func TestDroppedWatchGoesOnFromItsLastRevision(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	s, client := start(t, standin.Config{})
	first, err := client.Put(ctx, key, value("before"), "")
	is.NoErr(err)
	w, err := client.Watch(ctx, key.Collection, first)
	is.NoErr(err)
	is.NoErr(s.Apply(standin.Faults{DropWatches: true}))
	_, err = w.Next(ctx)
	is.True(errors.Is(err, platform.ErrUnavailable))
	_, err = client.Put(ctx, key, value("meanwhile"), first)
	is.NoErr(err)
	w, err = client.Watch(ctx, key.Collection, first)
	is.NoErr(err)
	defer func() { _ = w.Close() }()
	change, err := w.Next(ctx)
	is.NoErr(err)
	is.Equal(string(change.Object.Value), string(value("meanwhile")))
}

func TestCompactedWatchMustListAgain(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	s, client := start(t, standin.Config{})
	first, err := client.Put(ctx, key, value("one"), "")
	is.NoErr(err)
	second, err := client.Put(ctx, key, value("two"), first)
	is.NoErr(err)
	is.NoErr(s.Apply(standin.Faults{Compact: true}))
	_, err = client.Watch(ctx, key.Collection, first)
	is.True(errors.Is(err, platform.ErrCompacted))
	_, revision, err := client.List(ctx, key.Collection)
	is.NoErr(err)
	is.Equal(revision, second)
	w, err := client.Watch(ctx, key.Collection, revision)
	is.NoErr(err)
	is.NoErr(w.Close())
}

func TestWatchEndsWithItsContextAndClose(t *testing.T) {
	is := is.New(t)
	_, client := start(t, standin.Config{})
	w, err := client.Watch(t.Context(), key.Collection, "0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = w.Next(ctx)
	is.True(errors.Is(err, context.Canceled))
	is.NoErr(w.Close())
	_, err = w.Next(t.Context())
	is.True(errors.Is(err, platform.ErrUnavailable))
}

// A watch whose lines cannot be read ends with an error and skips nothing.
func TestUnreadableEventsEndTheWatch(t *testing.T) {
	cases := map[string]struct {
		line string
		want error
	}{
		"not JSON":       {"{\n", platform.ErrUnavailable},
		"no object":      {`{"type":"ADDED"}` + "\n", platform.ErrUnavailable},
		"no revision":    {`{"type":"ADDED","object":{}}` + "\n", platform.ErrUnavailable},
		"unknown type":   {`{"type":"MOVED","object":{"metadata":{"resourceVersion":"8"}}}` + "\n", platform.ErrUnavailable},
		"expired":        {`{"type":"ERROR","object":{"code":410}}` + "\n", platform.ErrCompacted},
		"other error":    {`{"type":"ERROR","object":{"code":500}}` + "\n", platform.ErrUnavailable},
		"half a line":    {`{"type":"ADDED","object":{"metadata"`, platform.ErrUnavailable},
		"only bookmarks": {`{"type":"BOOKMARK","object":{}}` + "\n", platform.ErrUnavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(c.line))
			}))
			defer server.Close()
			w, err := connect(t, rest.Config{URL: server.URL}).Watch(t.Context(), key.Collection, "7")
			is.NoErr(err)
			_, err = w.Next(t.Context())
			is.True(errors.Is(err, c.want))
		})
	}
}
