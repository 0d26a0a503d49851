package host_test

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/platform/standin"
)

// A heartbeat of another writer, which lacks a field, names another address or has an id
// that cannot be read, is refused and displaces nothing. The upstream of the host, the only
// one of its service, still gets the requests of this node and of the other one.
func TestHeartbeatOfAnotherWriterDisplacesNothing(t *testing.T) {
	c := newCluster(t, 2)
	m := c.hosts[0]
	for name, tt := range map[string]struct {
		id     string
		change func(beat map[string]any)
	}{
		"no address":      {"other", func(b map[string]any) { delete(b, "address") }},
		"another address": {"other", func(b map[string]any) { b["address"] = "127.0.0.1:9" }},
		"port too large":  {"other", func(b map[string]any) { b["address"] = "127.0.0.1:70000" }},
		"no zone":         {"other", func(b map[string]any) { delete(b["info"].(map[string]any), "zone") }},
		"no version":      {"other", func(b map[string]any) { delete(b["info"].(map[string]any), "version") }},
		"id not UTF-8":    {"%ff%fe", func(map[string]any) {}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			beat := map[string]any{
				"address": m.Upstream.Address(), "born": time.Now().UnixMilli(),
				"info":   map[string]any{"service": m.Service, "version": "v1", "zone": "z", "slots": slots},
				"status": map[string]any{"state": "ready", "sequence": 1, "coldRemainingMs": 0},
			}
			tt.change(beat)
			is.Equal(c.announce(m, http.MethodPut, tt.id, beat), http.StatusBadRequest)
			is.NoErr(m.Upstream.Beat(m.AnnounceAddress(), "ready"))
			for i := range 12 {
				is.Equal(c.get(c.hosts[i%2], "/desk/x", fmt.Sprintf("%s-%d", strings.ReplaceAll(name, " ", "-"), i)).status, http.StatusOK)
			}
		})
	}
	c.eventually("logged", func() bool { return strings.Contains(m.log.String(), `"heartbeat-refused"`) })
}

// announce makes a call about an upstream, with a JSON body, to the node of a host.
func (c *cluster) announce(m *member, method, id string, document map[string]any) int {
	c.t.Helper()
	body, err := json.Marshal(maps.Clone(document))
	if err != nil {
		c.t.Fatal(err)
	}
	request, err := http.NewRequest(method, "http://"+m.AnnounceAddress()+"/instances/"+id, strings.NewReader(string(body)))
	if err != nil {
		c.t.Fatal(err)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode
}

// A record of the store whose numbers are too large, such as an incarnation that no later
// one can exceed, is not taken: the changes that the host itself sends still count.
func TestRecordWithNumbersTooLargeIsNotTaken(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4)
	m := c.hosts[0]
	m.StopHeartbeats()
	raw, ok := c.store.Get("tarragondrum-rosters", "dc-0")
	is.True(ok)
	odd := regexp.MustCompile(`"incarnation":\d+`).ReplaceAll(raw, []byte(`"incarnation":9223372036854775807`))
	is.True(string(odd) != string(raw))
	c.store.Put("tarragondrum-rosters", "dc-0", odd)
	// A node of the same data centre reads the roster when it starts and tells the others.
	c.hosts[2].Kill()
	c.start(c.hosts[2])
	c.eventually("the restarted node is ready", func() bool { return c.hosts[2].IsReady(t.Context()) })
	time.Sleep(2 * time.Second) // until every node would have the record
	c.hosts[2].Upstream.Close() // the upstream of the first host alone serves the requests
	address := m.Upstream.Address()
	m.Upstream.Close()
	next, err := standin.NewUpstream("up-next", m.Service, address, slots)
	is.NoErr(err)
	t.Cleanup(next.Close)
	next.Born = time.Now().UnixMilli()
	c.eventually("the new upstream is served", func() bool {
		is.NoErr(next.Beat(m.AnnounceAddress(), standin.StateReady))
		return c.get(c.hosts[1], "/desk/x", "next").status == http.StatusOK
	})
	c.eventually("reported", func() bool { return strings.Contains(c.hosts[2].log.String(), `"store-entry-unreadable"`) })
}
