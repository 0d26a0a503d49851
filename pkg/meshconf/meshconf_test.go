package meshconf_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tarragondrum/tarragondrum/pkg/meshconf"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

func route(name, prefix string) meshconf.Route {
	return meshconf.Route{Name: name, Host: "a.example", PathPrefix: prefix, Parts: []meshconf.Part{{Service: "s", Weight: 1}},
		MaxAttempts: 1, Timeout: time.Second}
}

// The route with the longest matching prefix wins, in any order of the routes.
func TestLongestPrefixWins(t *testing.T) {
	is := is.New(t)
	s, err := meshconf.Compile(meshconf.Config{
		Services: []meshconf.Service{{Name: "s"}},
		Routes:   []meshconf.Route{route("all", "/"), route("long", "/a/b/"), route("short", "/a/")},
	}, model.Revision{}, nil)
	is.NoErr(err)
	for path, want := range map[string]string{"/": "all", "/x": "all", "/a/": "short", "/a/c": "short", "/a/b/c": "long", "/a/bc": "short", "/a": "all"} {
		r, ok := s.Match("A.Example", path)
		is.True(ok)
		is.Equal(r.Name, want)
	}
}

// The version in force never decreases, whatever the order of publication.
func TestVersionNeverFalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h meshconf.Holder
		newest := uint64(0)
		for _, v := range rapid.SliceOf(rapid.Uint64Range(1, 9)).Draw(t, "versions") {
			s, err := meshconf.Compile(meshconf.Config{Version: v}, model.Revision{Number: v}, nil)
			if err != nil {
				t.Fatal(err)
			}
			if h.Publish(s) != (v > newest) {
				t.Fatalf("version %d after %d", v, newest)
			}
			newest = max(newest, v)
			if h.Current().Version != newest {
				t.Fatalf("in force is %d, newest is %d", h.Current().Version, newest)
			}
		}
	})
}
