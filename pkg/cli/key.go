package cli

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/jsonc"
)

// keyFileMode is the widest mode of a private key file: only the owner can read and
// write it.
const keyFileMode = 0o600

// keyCmd is the group of commands that create keys.
type keyCmd struct {
	Generate *keyGenerateCmd `arg:"subcommand:generate" help:"make a key pair for signing off bundles"`
	Mesh     *keyMeshCmd     `arg:"subcommand:mesh" help:"make the certificates of nodes"`
}

// keyGenerateCmd creates the key pair of an operator.
type keyGenerateCmd struct {
	Name string `arg:"--name" help:"name of the operator; required"`
	Out  string `arg:"--out" placeholder:"FILE" help:"file for the private key, which must not exist; required"`
	ID   string `arg:"--key-id" help:"name of the key; by default the operator's name and today's date"`
}

func (*keyGenerateCmd) example() string {
	return "tarragondrum key generate --name ioana --out ioana.key"
}

// privateKey is the content of a key file.
type privateKey struct {
	Name  string `json:"name"`
	KeyID string `json:"keyID"`
	// Seed is the ed25519 seed in base64.
	Seed keySeed `json:"seed"`
}

// keySeed is an ed25519 seed that is encoded as base64.
type keySeed []byte

// UnmarshalText decodes base64 and refuses a seed of the wrong length.
func (s *keySeed) UnmarshalText(text []byte) error {
	raw, err := base64.StdEncoding.AppendDecode(nil, text)
	if err == nil && len(raw) != ed25519.SeedSize {
		err = fmt.Errorf("seed has %d bytes, an ed25519 seed has %d", len(raw), ed25519.SeedSize)
	}
	*s = raw
	return err
}

// MarshalText encodes the seed as base64.
func (s keySeed) MarshalText() ([]byte, error) { return encodeBase64(s), nil }

func encodeBase64(data []byte) []byte {
	return base64.StdEncoding.AppendEncode(nil, data)
}

// private returns the private key that the seed stands for.
func (k privateKey) private() ed25519.PrivateKey { return ed25519.NewKeyFromSeed(k.Seed) }

func (c *keyGenerateCmd) run(_ context.Context, env Env) int {
	if c.Name == "" || c.Out == "" {
		return env.exit(usagef("name the operator and the key file: --name NAME and --out FILE"))
	}
	key := privateKey{Name: c.Name, KeyID: c.ID, Seed: make(keySeed, ed25519.SeedSize)}
	if key.KeyID == "" {
		key.KeyID = c.Name + "-" + time.Now().UTC().Format("20060102")
	}
	if _, err := rand.Read(key.Seed); err != nil {
		return env.fail(ExitFailed, err)
	}
	if err := bundle.ValidateNames(key.Name, key.KeyID); err != nil {
		return env.exit(&usageError{err: err})
	}
	if err := writeKey(c.Out, key); err != nil {
		if errors.Is(err, fs.ErrExist) {
			return env.exit(&usageError{err: err})
		}
		return env.fail(ExitFailed, err)
	}
	public := key.private().Public().(ed25519.PublicKey)
	entry := bundle.Operator{Name: key.Name, KeyID: key.KeyID, PublicKey: string(encodeBase64(public))}
	raw, err := json.Marshal(entry)
	if err != nil {
		return env.fail(ExitFailed, err)
	}
	env.printf("private key is in %s; keep it secret\n", c.Out)
	env.printf("entry for \"operators\" in the settings of every node:\n  %s\n", raw)
	return ExitOK
}

// writeKey creates a key file. It fails if the file exists, so that no key is
// overwritten.
func writeKey(name string, key privateKey) error {
	raw, err := json.MarshalIndent(key, "", "  ")
	if err != nil {
		return fmt.Errorf("encode key: %w", err)
	}
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if err != nil {
		return fmt.Errorf("write key: %w", err)
	}
	_, err = f.Write(append(raw, '\n'))
	return errors.Join(err, f.Close())
}

// readKey reads a key file. It refuses a file that the group or others can access.
func readKey(name string) (privateKey, error) {
	info, err := os.Stat(name)
	if err != nil {
		return privateKey{}, fmt.Errorf("read key: %w", err)
	}
	if info.Mode().Perm()&^keyFileMode != 0 {
		return privateKey{}, fmt.Errorf("key file %q can be read by others (mode %04o); make it %04o", name, info.Mode().Perm(), keyFileMode)
	}
	var key privateKey
	if _, faults := jsonc.DecodeFile(name, &key); len(faults) > 0 {
		return privateKey{}, &faultsError{faults: faults}
	}
	if len(key.Seed) == 0 {
		return privateKey{}, fmt.Errorf("key file %q has no seed", name)
	}
	return key, nil
}
