package proxy_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/proxy"
)

var token = proxy.NewToken([]byte(testSecret))

func TestHopSurvivesTheHeader(t *testing.T) {
	is := is.New(t)
	want := proxy.Hop{Depth: proxy.Depth{Level: 3, Retried: true}, Class: model.ClassOrder, Service: "orders", Upstream: "orders-1"}
	got, err := proxy.ParseHop(want.Encode(token), token)
	is.NoErr(err)
	is.Equal(got, want)
}

func TestHopNeedsTheToken(t *testing.T) {
	is := is.New(t)
	value := proxy.Hop{Class: model.ClassOrder, Service: "orders"}.Encode(proxy.NewToken([]byte("another secret")))
	_, err := proxy.ParseHop(value, token)
	is.True(errors.Is(err, proxy.ErrToken))
	// A node without a secret takes no hops, not even with an empty token.
	_, err = proxy.ParseHop(proxy.Hop{Class: model.ClassOrder, Service: "orders"}.Encode(""), "")
	is.True(errors.Is(err, proxy.ErrToken))
}

func TestMalformedHops(t *testing.T) {
	for _, rest := range []string{"", "1", "x order orders u", "1 urgent orders u", "1 order  u", "1 order orders u more", "99999 order orders u"} {
		_, err := proxy.ParseHop(string(token)+" "+rest, token)
		is.New(t).True(errors.Is(err, proxy.ErrHop))
	}
	_, err := proxy.ParseHop(strings.Repeat("x", 2000), token)
	is.New(t).True(errors.Is(err, proxy.ErrHop))
}

func FuzzParseHop(f *testing.F) {
	f.Add(proxy.Hop{Class: model.ClassOrder, Service: "orders", Upstream: "u"}.Encode(token))
	f.Add(string(token) + " 1r batch s ")
	f.Add("guess 1 order s u")
	f.Fuzz(func(t *testing.T, value string) {
		h, err := proxy.ParseHop(value, token)
		if err != nil {
			return
		}
		if !strings.HasPrefix(value, string(token)+" ") {
			t.Fatalf("%q is taken without the token", value)
		}
		again, err := proxy.ParseHop(h.Encode(token), token)
		if err != nil || again != h {
			t.Fatalf("%q is read as %+v and again as %+v, %v", value, h, again, err)
		}
	})
}

func FuzzParseDepth(f *testing.F) {
	for _, s := range []string{"", "0", "3r", "-1", "65536", "r", "3rr"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, value string) {
		d, err := proxy.ParseDepth(value)
		if err == nil && (d.Level < 0 || d.Level > 1<<16) {
			t.Fatalf("%q is read as %+v", value, d)
		}
	})
}
