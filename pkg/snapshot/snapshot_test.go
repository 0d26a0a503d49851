package snapshot_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/snapshot"
)

func route(name, host, prefix string, internal bool, methods ...string) bundle.Route {
	return bundle.Route{Name: name, Host: host, PathPrefix: prefix, Methods: methods, Service: "s", Class: model.ClassBatch, Internal: internal}
}

func compile(t *testing.T, routes ...bundle.Route) *snapshot.Snapshot {
	t.Helper()
	s, err := snapshot.Compile(bundle.Acceptance{Version: 1}, bundle.Bundle{Services: []bundle.Service{{Name: "s"}}, Routes: routes})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestMatch(t *testing.T) {
	s := compile(t,
		route("all", "", "/", false),
		route("shades", "", "/shades", false),
		route("shades by post", "", "/shades", false, "POST"),
		route("shades/red", "", "/shades/red", false),
		route("desk", "desk.example", "/", false, "GET"),
		route("label", "", "/label", true),
	)
	for _, tt := range []struct{ method, host, path, in, out string }{
		{"GET", "", "/", "all", "all"},
		{"GET", "", "/shades", "shades", "shades"},
		{"POST", "", "/shades/red2", "shades by post", "shades by post"},
		{"GET", "", "/shadesX", "all", "all"},
		{"POST", "", "/shades/red/1", "shades/red", "shades/red"},
		{"GET", "desk.example", "/shades", "desk", "desk"},
		{"POST", "desk.example", "/x", "all", "all"},
		{"GET", "", "/label/1", "all", "label"},
	} {
		is := is.New(t)
		in, ok := s.Match(tt.method, tt.host, tt.path)
		is.True(ok)
		is.Equal(in.Name, tt.in)
		out, ok := s.MatchOutbound(tt.method, tt.host, tt.path)
		is.True(ok)
		is.Equal(out.Name, tt.out)
	}
	_, ok := compile(t, route("x", "", "/x", false)).Match("GET", "", "/y")
	is.New(t).True(!ok)
}

// The longest prefix that covers whole segments wins, however the routes stand.
func TestLongestPrefixWins(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		segments := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "aa"}), 1, 4)
		var routes []bundle.Route
		for range rapid.IntRange(0, 8).Draw(rt, "routes") {
			prefix := "/" + strings.Join(segments.Draw(rt, "prefix"), "/")
			routes = append(routes, route(prefix, "", prefix, false))
		}
		path := "/" + strings.Join(segments.Draw(rt, "path"), "/")
		want := ""
		for _, r := range routes {
			if (path == r.PathPrefix || strings.HasPrefix(path, r.PathPrefix+"/")) && len(r.PathPrefix) > len(want) {
				want = r.PathPrefix
			}
		}
		got, ok := compile(t, routes...).Match("GET", "", path)
		if ok != (want != "") || (ok && got.PathPrefix != want) {
			rt.Fatalf("path %q matches %v, want %q", path, got, want)
		}
	})
}

func TestBadBundlesDoNotCompile(t *testing.T) {
	lost := route("lost", "", "/", false)
	lost.Service = "other"
	urgent := route("urgent", "", "/", false)
	urgent.Class = "urgent"
	for _, b := range []bundle.Bundle{
		{Services: []bundle.Service{{Name: "s"}}, Routes: []bundle.Route{lost}},
		{Services: []bundle.Service{{Name: "s"}}, Routes: []bundle.Route{urgent}},
		{Services: []bundle.Service{{Name: "s"}, {Name: "s"}}},
	} {
		s, err := snapshot.Compile(bundle.Acceptance{Version: 1}, b)
		is := is.New(t)
		is.True(errors.Is(err, snapshot.ErrCompile))
		is.True(s == nil)
	}
}

// Whatever is published in whatever order, the version in force only grows.
func TestVersionNeverFalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h snapshot.Holder
		newest := model.Version(0)
		for _, v := range rapid.SliceOf(rapid.Uint64Range(1, 9)).Draw(t, "versions") {
			s, err := snapshot.Compile(bundle.Acceptance{Version: model.Version(v)}, bundle.Bundle{})
			if err != nil {
				t.Fatal(err)
			}
			if h.Publish(s) != (s.Version() > newest) {
				t.Fatalf("version %d after %d", v, newest)
			}
			newest = max(newest, s.Version())
			if h.Current().Version() != newest {
				t.Fatalf("in force is %d, newest is %d", h.Current().Version(), newest)
			}
		}
	})
}
