package settings

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"strings"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/jsonc"
)

// Load reads a settings file, fills in defaults and checks it whole. It returns
// every fault found; the settings are only valid without faults.
func Load(name string) (Settings, []bundle.Fault) {
	var s Settings
	positions, faults := jsonc.DecodeFile(name, &s)
	for _, f := range faults {
		if f.Key == "" {
			return s, faults
		}
	}
	c := &checker{positions: positions, faults: faults}
	c.check(&s)
	return s, c.faults
}

// LoadPlatform reads only what a command needs to reach the platform and to
// verify operators; faults elsewhere in the file do not matter to it.
func LoadPlatform(name string) (Settings, []bundle.Fault) {
	s, faults := Load(name)
	var relevant []bundle.Fault
	for _, f := range faults {
		if f.Key == "" || strings.HasPrefix(f.Key, "platform") || strings.HasPrefix(f.Key, "operators") {
			relevant = append(relevant, f)
		}
	}
	return s, relevant
}

// Reference returns docs/SETTINGS.md.
func Reference() string {
	return referenceHeader + jsonc.Table(jsonc.Entries(Settings{}))
}

const referenceHeader = `# Settings of a node

The settings file is JSON with comments and trailing commas. ` + "`tarragondrum settings\ncheck FILE`" + ` checks the whole file and reports every fault with its line and key.
Durations are written like ` + "`250ms`" + `, ` + "`2s`" + ` or ` + "`1m30s`" + `. Addresses are an IP
number and a port. Names of files are relative to the working directory.

Written by ` + "`tarragondrum settings reference`" + `.

`

// Keyring returns the operators' keys. It must only be used on valid settings.
func (s *Settings) Keyring() (*bundle.Keyring, error) {
	keys := make([]bundle.TrustedKey, 0, len(s.Operators))
	for _, o := range s.Operators {
		public, err := parsePublicKey(o.PublicKey)
		if err != nil {
			return nil, fmt.Errorf("operator %q, key %q: %w", o.Name, o.KeyID, err)
		}
		keys = append(keys, bundle.TrustedKey{ID: o.KeyID, Operator: o.Name, Public: public, Withdrawn: o.Withdrawn})
	}
	return bundle.NewKeyring(keys...), nil
}

func parsePublicKey(text string) (ed25519.PublicKey, error) {
	raw, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, fmt.Errorf("public key is not base64: %w", err)
	}
	if len(raw) != ed25519.PublicKeySize {
		return nil, fmt.Errorf("public key has %d bytes, an ed25519 key has %d", len(raw), ed25519.PublicKeySize)
	}
	return ed25519.PublicKey(raw), nil
}
