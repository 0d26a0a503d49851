package host_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/platform/standin"
)

// A configuration is in force within its bound although watches miss it, and on nodes that
// the store rejects.
func TestConfigurationReachesEveryNode(t *testing.T) {
	for name, trouble := range map[string]func(c *cluster){
		"calm":         func(*cluster) {},
		"deaf watches": func(c *cluster) { c.store.SetDeaf(true) },
		"the store turns a lead away": func(c *cluster) {
			c.store.SetFaults(c.hosts[0].StoreAddress, standin.Faults{Status: http.StatusServiceUnavailable})
		},
		"the store is silent to most": func(c *cluster) {
			for _, m := range c.hosts[:3] {
				c.store.SetFaults(m.StoreAddress, standin.Faults{Silent: true})
			}
		},
		"the store resets connections of a data centre": func(c *cluster) {
			c.store.SetFaults(c.hosts[0].StoreAddress, standin.Faults{Reset: true})
			c.store.SetFaults(c.hosts[2].StoreAddress, standin.Faults{Reset: true})
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 4)
			trouble(c)
			c.putConfig(3, "ledger")
			for _, m := range c.hosts {
				c.eventuallyLedger(m)
			}
		})
	}
}

// eventuallyLedger waits until a host sends requests of the desk route to the ledger
// service, as version 3 does.
func (c *cluster) eventuallyLedger(m *member) {
	c.t.Helper()
	c.eventually("version 3 on "+m.IP, func() bool {
		c.get(m, "/desk/x", "probe-"+m.IP)
		for _, s := range c.seen("probe-" + m.IP) {
			if strings.HasPrefix(s.Path, "/desk/") && c.isLedger(s) {
				return true
			}
		}
		return false
	})
}

// storeCalls counts the calls that the store got.
func (c *cluster) storeCalls() int {
	n := 0
	for _, k := range c.store.Calls() {
		n += k
	}
	return n
}

// isLedger reports whether an upstream of the ledger saw the request.
func (c *cluster) isLedger(s standin.Seen) bool {
	for _, m := range c.hosts {
		seen, _ := m.Upstream.Seen()
		for _, other := range seen {
			if other == s && m.Upstream.Service == "ledger" {
				return true
			}
		}
	}
	return false
}

// A broken configuration, or one with an older version, is refused whole and the old one
// stays in force.
func TestBrokenConfigurationIsRefused(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2)
	c.store.Put("config", "main", []byte(`{"version":"00000009","routes":{"desk":{"host":"a.example"`+"}"+`}}`))
	c.store.Put("config", "main", []byte(`{"version":"0000000a","routes":{"x":{"host":"a.example","pathPrefix":"/x/","kind":"idempotent","timeoutMs":1,"service":"none","maxAttempts":1}},"services":{}}`))
	c.eventually("refused", func() bool { return strings.Contains(c.hosts[0].log.String(), "config-refused") })
	c.putConfig(1, "ledger")
	time.Sleep(time.Second)
	is.Equal(c.get(c.hosts[0], "/desk/x", "kept").status, http.StatusOK)
	seen, _ := c.hosts[0].Upstream.Seen()
	is.Equal(seen[len(seen)-1].ID, "kept")
}

// A route of an unknown kind is reported and does not keep the other routes out of force.
func TestUnknownKindKeepsNothingBack(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2)
	c.store.Put("config", "main", []byte(`{"version":"00000009","routes":{`+
		`"odd":{"host":"a.example","pathPrefix":"/odd/","kind":"job","timeoutMs":900,"service":"desk","maxAttempts":2},`+
		`"plain":{"host":"a.example","pathPrefix":"/plain/","kind":"idempotent","timeoutMs":900,"service":"desk","maxAttempts":2}},"services":{"desk":{}}}`))
	c.eventually("reported", func() bool { return strings.Contains(c.hosts[0].log.String(), "route-kind-unknown") })
	is.Equal(c.get(c.hosts[0], "/plain/x", "plain").status, http.StatusOK)
	is.Equal(c.get(c.hosts[0], "/odd/x", "odd").status, http.StatusOK)
}

// A lead that restarts reads at every interval, since no other node does while it covers
// them.
func TestLeadReadsAtEveryIntervalAfterARestart(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	first := c.hosts[0]
	first.Kill()
	c.start(first)
	time.Sleep(600 * time.Millisecond) // until it has joined and read once
	before := c.storeCalls()
	time.Sleep(2 * time.Second)
	is.True(c.storeCalls()-before >= 2)
}

// A version whose acceptance record cannot be read is in force, and the node reports it.
func TestUnreadableRecordIsReported(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2)
	c.store.Put("config", "main", []byte(`{"version":"00000009","acceptance":"of another tool","routes":{`+
		`"plain":{"host":"a.example","pathPrefix":"/plain/","kind":"idempotent","timeoutMs":900,"service":"desk","maxAttempts":2}},"services":{"desk":{}}}`))
	c.eventually("reported", func() bool { return strings.Contains(c.hosts[0].log.String(), "sign-off-record-unreadable") })
	report := c.hosts[0].Node.Report()
	is.Equal(report.Version, model.Version(9))
	is.True(report.RecordError != "")
}

// In a small fleet one node reads the store for the nodes of all data centres.
func TestOneNodeReadsTheStore(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4)
	time.Sleep(5 * time.Second) // until all have started and one lead remains
	before := c.storeCalls()
	const rest = 4
	time.Sleep(rest * time.Second)
	// A read every 0.9 s, a list of the hosts every 8 s, and a watch of either kind.
	is.True(c.storeCalls()-before <= rest*10/9+4)
}
