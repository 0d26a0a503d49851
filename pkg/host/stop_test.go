package host

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/meshconf"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// A stop that callers do not leave accepts requests only as long as the slowest route can
// still end within the grace period of 6 s.
func TestFinishTime(t *testing.T) {
	is := is.New(t)
	n := newUnstartedNode(t)
	is.Equal(n.finishTime(), peerNoticeTime+finishMargin) // no configuration is in force
	for version, tt := range []struct{ timeout, want time.Duration }{
		{1500 * time.Millisecond, 2 * time.Second},
		{2 * time.Second, 2500 * time.Millisecond},
		{30 * time.Second, 3 * time.Second}, // half of the grace
	} {
		s, err := meshconf.Compile(meshconf.Config{
			Version: uint64(version + 1), Services: []meshconf.Service{{Name: "s"}},
			Routes: []meshconf.Route{
				{Name: "short", Host: "h", PathPrefix: "/a/", Parts: []meshconf.Part{{Service: "s", Weight: 1}}, MaxAttempts: 1, Timeout: time.Second},
				{Name: "long", Host: "h", PathPrefix: "/b/", Parts: []meshconf.Part{{Service: "s", Weight: 1}}, MaxAttempts: 1, Timeout: tt.timeout},
			},
		}, model.Revision{Number: uint64(version + 1)}, nil)
		is.NoErr(err)
		is.True(n.config.Publish(s))
		is.Equal(n.finishTime(), tt.want)
	}
}
