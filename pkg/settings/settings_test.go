package settings_test

import (
	"crypto/ed25519"
	"encoding/base64"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/settings"
)

var update = flag.Bool("update", false, "rewrite docs/SETTINGS.md from the code")

const docFile = "../../docs/SETTINGS.md"

func TestDocsListEverySetting(t *testing.T) {
	is := is.New(t)
	if *update {
		is.NoErr(os.WriteFile(docFile, []byte(settings.Reference()), 0o644))
	}
	doc, err := os.ReadFile(docFile)
	is.NoErr(err)
	is.Equal(string(doc), settings.Reference())
}

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"cluj", "casablanca"} {
		is := is.New(t)
		s, faults := settings.Load("../../examples/" + name + "/node.jsonc")
		is.Equal(faults, nil)
		keyring, err := s.Keyring()
		is.NoErr(err)
		is.True(keyring != nil)
	}
}

// publicKey returns a key that is the same for the same seed.
func publicKey(seed byte) string {
	private := ed25519.NewKeyFromSeed(append(make([]byte, ed25519.SeedSize-1), seed))
	return base64.StdEncoding.EncodeToString(private.Public().(ed25519.PublicKey))
}

// good is a valid file, one member a line, so that cases replace single lines.
func good() []string {
	return []string{
		`{`,
		`"node": { "id": "a1", "dataCentre": "dc1", "region": "r1" },`,
		`"platform": { "url": "http://127.0.0.1:7000", "mesh": "desk" },`,
		`"mesh": { "address": "127.0.0.1:7100" },`,
		`"inbound": { "address": "127.0.0.1:7101" },`,
		`"outbound": {},`,
		`"admin": {},`,
		`"operators": [{ "name": "ioana", "keyID": "k1", "publicKey": "` + publicKey(1) + `" }],`,
		`"upstreams": [],`,
		`"drain": {},`,
		`"log": {},`,
		`}`,
	}
}

func load(t *testing.T, lines []string) (settings.Settings, []bundle.Fault) {
	t.Helper()
	name := filepath.Join(t.TempDir(), "node.jsonc")
	is.New(t).NoErr(os.WriteFile(name, []byte(strings.Join(lines, "\n")), 0o600))
	return settings.Load(name)
}

func TestDefaults(t *testing.T) {
	is := is.New(t)
	s, faults := load(t, good())
	is.Equal(faults, nil)
	is.Equal(s.Platform.Timeout.Std(), 5*time.Second)
	is.Equal(s.Admin.Address, "127.0.0.1:9090")
	is.Equal(s.Log.Level, "info")
	is.Equal(s.Drain.Timeout.Std(), 30*time.Second)
}

func TestFaults(t *testing.T) {
	type want struct{ key, text string }
	cases := map[string]struct {
		// line is the 1-based line that text replaces.
		line int
		text string
		want []want
	}{
		"names":         {2, `"node": { "id": "A 1", "dataCentre": "", "region": "r_1" },`, []want{{"node.id", "lower-case"}, {"node.dataCentre", "lower-case"}, {"node.region", "lower-case"}}},
		"unknown key":   {2, `"node": { "id": "a1", "dataCenter": "dc1", "dataCentre": "dc1", "region": "r1" },`, []want{{"node.dataCenter", "unknown key"}}},
		"platform":      {3, `"platform": { "url": "127.0.0.1:7000", "mesh": "", "timeout": "1h" },`, []want{{"platform.url", "http or https"}, {"platform.mesh", "lower-case"}, {"platform.timeout", "between"}}},
		"bad duration":  {3, `"platform": { "url": "http://127.0.0.1:7000", "mesh": "desk", "timeout": "5" },`, []want{{"platform.timeout", "duration such as"}}},
		"token in open": {3, `"platform": { "url": "http://10.0.0.1:7000", "mesh": "desk", "tokenFile": "settings.go" },`, []want{{"platform.url", "over https or on loopback"}}},
		"missing file":  {3, `"platform": { "url": "http://127.0.0.1:7000", "mesh": "desk", "tokenFile": "absent", "caFile": "absent" },`, []want{{"platform.tokenFile", "cannot be read"}, {"platform.caFile", "cannot be read"}}},
		"folder":        {3, `"platform": { "url": "http://127.0.0.1:7000", "mesh": "desk", "tokenFile": "." },`, []want{{"platform.tokenFile", "not a regular file"}}},
		"host name":     {4, `"mesh": { "address": "localhost:7100" },`, []want{{"mesh.address", "IP number and a port"}}},
		"unspecified":   {4, `"mesh": { "address": "0.0.0.0:7100", "contacts": ["127.0.0.1:0"] },`, []want{{"mesh.address", "cannot be connected to"}, {"mesh.contacts[0]", "cannot be connected to"}}},
		"off loopback":  {4, `"mesh": { "address": "10.0.0.1:7100" },`, []want{{"mesh.certFile", "together"}, {"mesh.keyFile", "together"}, {"mesh.caFile", "together"}, {"mesh.secretFile", "required"}}},
		"half of TLS":   {4, `"mesh": { "address": "127.0.0.1:7100", "certFile": "settings.go" },`, []want{{"mesh.keyFile", "together"}, {"mesh.caFile", "together"}}},
		"contacts":      {4, `"mesh": { "address": "127.0.0.1:7100", "probeInterval": "1ms", "contacts": ["x", "127.0.0.1:1", "127.0.0.1:1"] },`, []want{{"mesh.probeInterval", "between"}, {"mesh.contacts[0]", "IP number"}, {"mesh.contacts[2]", "twice"}}},
		"same address":  {5, `"inbound": { "address": "127.0.0.1:7100", "maxBodyBytes": -1, "headerTimeout": "1ms" },`, []want{{"inbound.address", "is also mesh.address"}, {"inbound.maxBodyBytes", "between"}, {"inbound.headerTimeout", "between"}}},
		"outbound":      {6, `"outbound": { "address": "10.0.0.1:7102" },`, []want{{"outbound.address", "loopback"}}},
		"admin":         {7, `"admin": { "address": "10.0.0.1:9090" },`, []want{{"admin.tokenFile", "required"}}},
		"no operators":  {8, `"operators": [],`, []want{{"operators", "no operator"}}},
		"all withdrawn": {8, `"operators": [{ "name": "ioana", "keyID": "k1", "publicKey": "` + publicKey(1) + `", "withdrawn": true }],`, []want{{"operators", "no operator"}}},
		"operators": {8, `"operators": [{ "name": "ioana", "keyID": "k1", "publicKey": "` + publicKey(1) + `" }, { "name": "mihai", "keyID": "k1", "publicKey": "` + publicKey(1) + `" }, { "name": "", "keyID": "k3", "publicKey": "AAAA" }, { "name": "x", "keyID": "k4", "publicKey": "?" }],`,
			[]want{{"operators[1].keyID", "twice"}, {"operators[1].publicKey", "twice"}, {"operators[2].name", "lower-case"}, {"operators[2].publicKey", "3 bytes"}, {"operators[3].publicKey", "not base64"}}},
		"upstreams": {9, `"upstreams": [{ "name": "u", "service": "s", "address": "127.0.0.1:1", "slots": 9, "connections": 130 }, { "name": "u", "service": "", "address": "u:1", "slots": 0, "connections": 0 }],`,
			[]want{{"upstreams[1].name", "twice"}, {"upstreams[1].service", "lower-case"}, {"upstreams[1].address", "IP number"}, {"upstreams[1].slots", "between"}, {"upstreams[1].connections", "between"}}},
		"drain": {10, `"drain": { "timeout": "1s", "notice": "2s" },`, []want{{"drain.notice", "longer than the timeout"}}},
		"level": {11, `"log": { "level": "loud" },`, []want{{"log.level", "unknown"}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			lines := good()
			lines[c.line-1] = c.text
			_, faults := load(t, lines)
			is.Equal(len(faults), len(c.want))
			for _, w := range c.want {
				found := false
				for _, f := range faults {
					found = found || (f.Key == w.key && f.Line == c.line && strings.Contains(f.Message, w.text))
				}
				if !found {
					t.Errorf("no fault %+v among %+v", w, faults)
				}
			}
		})
	}
}

func TestFaultsOfSeveralPartsComeTogether(t *testing.T) {
	is := is.New(t)
	lines := good()
	lines[1] = `"node": { "id": "a1", "dataCentre": 7, "region": "r1" },`
	lines[10] = `"log": { "level": "loud" },`
	_, faults := load(t, lines)
	is.Equal(len(faults), 2)
	_, faults = load(t, []string{`{`})
	is.Equal(len(faults), 1) // of a file that cannot be parsed, only that
}

// A node must start with its key half changed: two keys of one operator are
// valid at once, and a withdrawn one is refused.
func TestKeyring(t *testing.T) {
	is := is.New(t)
	lines := good()
	lines[7] = `"operators": [
		{ "name": "ioana", "keyID": "new", "publicKey": "` + publicKey(1) + `" },
		{ "name": "ioana", "keyID": "old", "publicKey": "` + publicKey(2) + `" },
		{ "name": "ioana", "keyID": "lost", "publicKey": "` + publicKey(3) + `", "withdrawn": true } ],`
	s, faults := load(t, lines)
	is.Equal(faults, nil)
	keyring, err := s.Keyring()
	is.NoErr(err)
	for keyID, seed := range map[string]byte{"new": 1, "old": 2, "lost": 3} {
		a := bundle.Acceptance{Version: 1, Acceptor: "ioana"}
		is.NoErr(a.Sign(keyID, ed25519.NewKeyFromSeed(append(make([]byte, ed25519.SeedSize-1), seed))))
		is.Equal(keyring.Verify(&a) == nil, keyID != "lost")
	}
}
