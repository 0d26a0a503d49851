package node

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/settings"
)

// A key is withdrawn in the settings file; a file with faults and other changed
// settings have no effect.
func TestOperatorsFollowTheSettings(t *testing.T) {
	is := is.New(t)
	good, err := os.ReadFile("../../examples/cluj/node.jsonc")
	is.NoErr(err)
	file := filepath.Join(t.TempDir(), "node.jsonc")
	write := func(text []byte, age time.Duration) {
		is.NoErr(os.WriteFile(file, text, 0o600))
		is.NoErr(os.Chtimes(file, time.Time{}, time.Now().Add(age)))
	}
	write(good, 0)
	s, faults := settings.Load(file)
	is.Equal(len(faults), 0)
	keyring, err := s.Keyring()
	is.NoErr(err)
	log := event.Discard()
	o := newOperators(file, s, keyring, log)
	o.modified = o.modTime()
	known := func() bool {
		err := keyring.Verify(&bundle.Acceptance{Acceptor: "ioana", KeyID: "ioana-1"})
		return !bytes.Contains([]byte(err.Error()), []byte("is withdrawn"))
	}

	o.look()
	is.True(known()) // nothing changed
	write([]byte("{"), time.Minute)
	o.look()
	is.True(known())
	is.Equal(log.Count(event.SettingsKept), uint64(1))
	withdrawn := bytes.Replace(good, []byte(`"keyID": "ioana-1",`), []byte(`"keyID": "ioana-1", "withdrawn": true,`), 1)
	write(withdrawn, 2*time.Minute)
	o.look()
	is.True(!known())
	is.Equal(log.Count(event.OperatorsReplaced), uint64(1))
	is.Equal(log.Count(event.SettingsIgnored), uint64(0))
	write(bytes.Replace(withdrawn, []byte(`"level": "info"`), []byte(`"level": "warn"`), 1), 3*time.Minute)
	o.look()
	is.Equal(log.Count(event.SettingsIgnored), uint64(1))
}
