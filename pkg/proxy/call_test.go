package proxy

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cloudwego/hertz/pkg/protocol"
)

// Calls with other bodies have other fingerprints, streamed ones included.
func TestFingerprintsDiffer(t *testing.T) {
	is := is.New(t)
	seen := map[uint64]bool{}
	for _, body := range []string{"", "a", "b", strings.Repeat("a", 70_000), strings.Repeat("b", 70_000)} {
		var q protocol.Request
		q.SetBodyStream(strings.NewReader(body), -1)
		c := &call{service: "s", method: "POST", uri: "/"}
		is.NoErr(c.readBody(&q, 0))
		is.Equal(c.replayable(), len(body) < maxReplayBytes)
		c.mark()
		is.True(!seen[c.fingerprint])
		seen[c.fingerprint] = true
	}
}
