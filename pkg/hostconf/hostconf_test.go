package hostconf_test

import (
	"bytes"
	"errors"
	"maps"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/hostconf"
)

// templateFields are the values that the platform puts into the template, by placeholder.
var templateFields = map[string]string{
	"nodeName": `"sidecar-a-1"`, "zone": `"a"`, "region": `"r"`, "ip": `"10.1.0.35"`, "limits.memoryMb": "284", "limits.maxFds": "4100", "limits.cpuShare": "0.32", "limits.linkMbps": "1000.0", "bootstrap": "true",
	"appAddr": `"10.1.0.35:8147"`, "service": `"desk"`, "heartbeatMs": "1500",
	"listenAddrs.outbound": `"10.1.0.35:8141"`, "listenAddrs.readyAddr": `"10.1.0.35:8140"`, "listenAddrs.control": `"10.1.0.35:8146"`,
	"internalPorts.0": "7660", "platform.address": `"10.200.1.7:8142"`,
	"bounds.drainMs": "2000", "bounds.graceS": "6", "bounds.retryBudgetRatio": "0.2", "bounds.budgetWindowS": "10",
	"bounds.retryBudgetSlack": "64", "bounds.reuseAfterS": "2", "bounds.configApplyMs": "2000",
}

// placeholder matches a field of the template, such as {{ip|json}}.
var placeholder = regexp.MustCompile(`\{\{([a-zA-Z0-9.]+)\|json\}\}`)

// section matches an optional part of the template, such as {{#ip}}"ip": {{ip|json}},{{/ip}}.
var section = regexp.MustCompile(`\{\{#([a-zA-Z0-9.]+)\}\}(.*?)\{\{/([a-zA-Z0-9.]+)\}\}`)

// demandingFields are the bounds of a deployment with organisations and roll-outs.
var demandingFields = map[string]string{
	"bounds.strictRevocation": "true", "bounds.revokeMs": "5000", "bounds.quotaWindowS": "5", "bounds.quotaExcess": "0.1", "bounds.quotaSlack": "20",
	"bounds.exposeShare": "0.1", "bounds.exposeSlack": "50", "bounds.rollbackMs": "5000",
}

// renderTemplate renders the deployed template for a deployment without optional bounds.
func renderTemplate(t *testing.T) string {
	t.Helper()
	return renderTemplateWith(t, nil)
}

// renderTemplateWith replaces the placeholders of the deployed template as the platform does.
// Sections are rendered only for fields that have a value.
func renderTemplateWith(t *testing.T, optional map[string]string) string {
	t.Helper()
	fields := maps.Clone(templateFields)
	maps.Copy(fields, optional)
	template, err := os.ReadFile("../../deploy/host.jsonc.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	rendered := section.ReplaceAllStringFunc(string(template), func(p string) string {
		part := section.FindStringSubmatch(p)
		if part[1] != part[3] {
			t.Fatalf("template section %s ends with another name", p)
		}
		if _, ok := fields[part[1]]; !ok {
			return ""
		}
		return part[2]
	})
	return placeholder.ReplaceAllStringFunc(rendered, func(p string) string {
		value, ok := fields[placeholder.FindStringSubmatch(p)[1]]
		if !ok {
			t.Fatalf("template placeholder %s has no value in templateFields", p)
		}
		return value
	})
}

// The deployed template gives valid settings.
func TestTemplate(t *testing.T) {
	is := is.New(t)
	s, err := hostconf.Parse([]byte(renderTemplate(t)))
	is.NoErr(err)
	is.Equal(s.Node.ID, "sidecar-a-1")
	is.Equal(s.PeerAddress(), "10.1.0.35:7660")
	is.Equal(s.PeerListener(), "10.1.0.35:7660")
	is.Equal(s.MetricsAddress(), "10.1.0.35:9464")
	is.Equal(s.ShutdownGracePeriod().Seconds(), 6.0)
	is.Equal(s.Bounds.RetrySlack, 64.0)
	is.True(!s.Bounds.StrictRevocation)
	is.Equal(s.Bounds.ExposeShare, 0.0)
}

// The bounds of organisations and roll-outs reach the settings where the platform names them.
func TestTemplateWithOptionalBounds(t *testing.T) {
	is := is.New(t)
	s, err := hostconf.Parse([]byte(renderTemplateWith(t, demandingFields)))
	is.NoErr(err)
	is.True(s.Bounds.StrictRevocation)
	is.Equal(s.Bounds.RevokeMs, 5000.0)
	is.Equal(s.Bounds.QuotaWindowS, 5.0)
	is.Equal(s.Bounds.QuotaExcess, 0.1)
	is.Equal(s.Bounds.QuotaSlack, 20.0)
	is.Equal(s.Bounds.ExposeShare, 0.1)
	is.Equal(s.Bounds.ExposeSlack, 50.0)
	is.Equal(s.Bounds.RollbackMs, 5000.0)
	_, err = hostconf.Parse([]byte(strings.Replace(renderTemplateWith(t, demandingFields), `"revokeMs": 5000,`, "", 1)))
	is.True(err != nil && strings.Contains(err.Error(), "bounds.revokeMs"))
	_, err = hostconf.Parse([]byte(strings.Replace(renderTemplateWith(t, demandingFields), `"rollbackMs": 5000,`, "", 1)))
	is.True(err != nil && strings.Contains(err.Error(), "bounds.rollbackMs"))
	_, err = hostconf.Parse([]byte(strings.Replace(renderTemplateWith(t, demandingFields), `"exposeShare": 0.1`, `"exposeShare": 2`, 1)))
	is.True(err != nil && strings.Contains(err.Error(), "bounds.exposeShare"))
}

// The template passes the host's descriptors on, and the limits on callers have defaults that
// fit each host of the deployments. Given limits replace them, and negative ones are invalid.
func TestLimits(t *testing.T) {
	is := is.New(t)
	s, err := hostconf.Parse([]byte(renderTemplate(t)))
	is.NoErr(err)
	is.Equal(s.Node.MaxDescriptors, 4100)
	for _, host := range []struct{ memoryMB, descriptors int }{{112, 4100}, {184, 4100}, {536, 8192}, {284, 0}} {
		s.Node.MemoryMB, s.Node.MaxDescriptors = host.memoryMB, host.descriptors
		l := s.Effective()
		is.True(l.Connections >= 500) // a few hundred connections are ordinary
		is.True(l.ConnectionsPerAddress >= 450 && l.ConnectionsPerAddress < l.Connections)
		is.Equal(l.ControlConnections, 64)
		is.Equal(l.CallerMemory(), int64(0.2*float64(host.memoryMB)*(1<<20)))
		if host.descriptors > 0 {
			is.True(l.Connections+3*l.ControlConnections <= host.descriptors*3/5)
		}
	}
	s, err = hostconf.Parse([]byte(strings.Replace(renderTemplate(t), `"store":`, `"limits": {"connections": 7, "bodyStallS": 0.5}, "store":`, 1)))
	is.NoErr(err)
	l := s.Effective()
	is.Equal(l.Connections, 7)
	is.Equal(l.BodyStall(), 500*time.Millisecond)
	_, err = hostconf.Parse([]byte(strings.Replace(renderTemplate(t), `"store":`, `"limits": {"connections": -1}, "store":`, 1)))
	is.True(err != nil && strings.Contains(err.Error(), "limits.connections is -1"))
}

// One error names every invalid key. Unknown keys are ignored.
func TestErrorNamesEveryInvalidKey(t *testing.T) {
	is := is.New(t)
	text := renderTemplate(t)
	text = strings.Replace(text, `"10.1.0.35:8141"`, `"nowhere"`, 1)
	text = strings.Replace(text, `"graceS": 6`, `"graceS": 0, "unknown": 1`, 1)
	text = strings.Replace(text, `"sidecar-a-1"`, `""`, 1)
	_, err := hostconf.Parse([]byte(text))
	is.True(errors.Is(err, hostconf.ErrInvalid))
	for _, want := range []string{`listen.outbound is "nowhere"`, "bounds.graceS is 0", `node.id is ""`} {
		is.True(strings.Contains(err.Error(), want))
	}
	is.True(!strings.Contains(err.Error(), "unknown"))
	_, err = hostconf.Parse([]byte(`{"node": `))
	is.True(errors.Is(err, hostconf.ErrInvalid))
	_, err = hostconf.Parse([]byte(strings.Replace(text, `"id": ""`, `"id": "a\nb"`, 1))) // other nodes would refuse its record
	is.True(err != nil && strings.Contains(err.Error(), `node.id is "a\nb"`))
}

const operator = `{"name": "ioana", "keyID": "ioana-1", "publicKey": "bykRCNP/rjAtEZY1e72C7mQ5CXg0n9HGAlfC/izHDFw="}`

// Operators and certificates are optional, and are validated if present.
func TestOperatorsAndCertificates(t *testing.T) {
	is := is.New(t)
	with := func(text string) (*hostconf.Settings, error) {
		return hostconf.Parse([]byte(strings.Replace(renderTemplate(t), `"store":`, text+`, "store":`, 1)))
	}
	s, err := hostconf.Parse([]byte(renderTemplate(t)))
	is.NoErr(err)
	is.True(s.Keyring() == nil)
	is.True(!s.Peers.UsesTLS())
	s, err = with(`"operators": [` + operator + `], "peers": {"certFile": "c", "keyFile": "k", "caFile": "a"}`)
	is.NoErr(err)
	is.True(s.Keyring() != nil)
	is.True(s.Peers.UsesTLS())
	_, err = with(`"operators": [` + operator + `,` + operator + `]`)
	is.True(errors.Is(err, hostconf.ErrInvalid))
	is.True(strings.Contains(err.Error(), "operators[1]"))
	s, err = hostconf.Parse([]byte(strings.Replace(renderTemplate(t), `"peerPort":`, `"peerAdvertised": 7000, "peerPort":`, 1)))
	is.NoErr(err)
	is.Equal(s.PeerListener(), "10.1.0.35:7660")
	is.Equal(s.PeerAddress(), "10.1.0.35:7000")
	s, err = with(`"peers": {"withdrawn": ["0A:1b", "ff"]}`)
	is.NoErr(err)
	is.Equal(s.Peers.RevokedSerials()[0].Int64(), int64(0x0a1b))
	_, err = with(`"peers": {"withdrawn": ["serial"]}`)
	is.True(errors.Is(err, hostconf.ErrInvalid))
	_, err = with(`"peers": {"certFile": "c"}`)
	is.True(errors.Is(err, hostconf.ErrInvalid))
}

// Parse must not modify its input: the node detects a change of the settings by comparing
// the bytes of the file with those parsed before.
func TestParseKeepsInput(t *testing.T) {
	is := is.New(t)
	text := []byte("{ // a comment\n}")
	original := bytes.Clone(text)
	_, err := hostconf.Parse(text)
	is.True(err != nil) // keys are missing
	is.Equal(text, original)
}

// Parse never panics, and never accepts a negative grace period, whatever the input.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"node": {"id": "a"}, /* comment */ "listen": {"peerPort": -1},}`))
	f.Add([]byte(`{"operators": [{"name": "a", "publicKey": "AA=="}], "bounds": {"graceS": 1e308}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if s, err := hostconf.Parse(text); err == nil && s.ShutdownGracePeriod() < 0 {
			t.Fatalf("accepted a grace period of %s", s.ShutdownGracePeriod())
		}
	})
}

// Two listeners, or a listener and the upstream, cannot have the same address. The error names
// both, so that the log of a node that cannot start tells that from a port in use.
func TestListenersNeedDistinctAddresses(t *testing.T) {
	for replaced, want := range map[string]string{
		`"10.1.0.35:8141"`: "listen.outbound is 10.1.0.35:8147, want another address than that of upstream.address",
		`"10.1.0.35:8140"`: "listen.ready is 10.1.0.35:8147, want another address than that of upstream.address",
		`"10.1.0.35:8146"`: "listen.announce is 10.1.0.35:8147, want another address than that of upstream.address",
	} {
		is := is.New(t)
		text := strings.Replace(renderTemplate(t), replaced, `"10.1.0.35:8147"`, 1)
		_, err := hostconf.Parse([]byte(text))
		is.True(errors.Is(err, hostconf.ErrInvalid))
		is.True(strings.Contains(err.Error(), want))
	}
}
