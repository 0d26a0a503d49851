package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/pki"
)

// issue makes an authority and a certificate of a node and returns their files.
func issue(t *testing.T, id model.NodeID, start time.Time) (cert, key, ca string) {
	t.Helper()
	is := is.New(t)
	dir := t.TempDir()
	authority, err := pki.NewAuthority("test", start, time.Hour)
	is.NoErr(err)
	ca = filepath.Join(dir, "ca.crt")
	is.NoErr(authority.WriteFiles(ca, filepath.Join(dir, "ca.key")))
	cert, key, err = authority.IssueFiles(dir, id, start, time.Hour)
	is.NoErr(err)
	return cert, key, ca
}

func TestCertificateMustFit(t *testing.T) {
	now := time.Now()
	cert, key, ca := issue(t, "a1", now)
	otherCert, otherKey, otherCA := issue(t, "a2", now)
	oldCert, oldKey, oldCA := issue(t, "a1", now.Add(-48*time.Hour))
	notPEM := filepath.Join(t.TempDir(), "not.pem")
	is.New(t).NoErr(os.WriteFile(notPEM, []byte("x"), 0o600))
	cases := map[string]struct {
		cert, key, ca string
		at, text      string
	}{
		"good":              {cert, key, ca, "", ""},
		"key of another":    {cert, otherKey, ca, "mesh.certFile", "cannot be used"},
		"not PEM":           {notPEM, key, ca, "mesh.certFile", "cannot be used"},
		"CA is not PEM":     {cert, key, notPEM, "mesh.caFile", "no PEM certificate"},
		"another authority": {cert, key, otherCA, "mesh.certFile", "would not accept"},
		"expired":           {oldCert, oldKey, oldCA, "mesh.certFile", "would not accept"},
		"another node's":    {otherCert, otherKey, otherCA, "mesh.certFile", `names node "a2", not "a1"`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			lines := good()
			lines[3] = `"mesh": { "address": "127.0.0.1:7100", "certFile": "` + c.cert + `", "keyFile": "` + c.key + `", "caFile": "` + c.ca + `" },`
			_, faults := load(t, lines)
			if c.at == "" {
				is.Equal(faults, nil)
				return
			}
			is.Equal(len(faults), 1)
			is.Equal(faults[0].Key, c.at)
			is.Equal(faults[0].Line, 4)
			is.True(strings.Contains(faults[0].Message, c.text))
		})
	}
}
