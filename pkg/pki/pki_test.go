package pki_test

import (
	"crypto/x509"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/pki"
)

// An issued certificate holds the node id, also one with a slash, and a certificate
// without a node id is rejected.
func TestCertificateNamesItsNode(t *testing.T) {
	is := is.New(t)
	a, err := pki.NewAuthority("test", time.Now(), time.Hour)
	is.NoErr(err)
	files := writeFiles(t, a, t.TempDir(), time.Now())
	cert, _ := os.ReadFile(files.Cert)
	is.True(len(cert) > 0)
	c, err := pki.Load(files, func(error) {})
	is.NoErr(err)
	leaf, err := x509.ParseCertificate(c.ClientConfig().Certificates[0].Certificate[0])
	is.NoErr(err)
	id, err := pki.NodeID(leaf)
	is.NoErr(err)
	is.Equal(id, "cluj-1/a")
	_, err = pki.NodeID(&x509.Certificate{})
	is.True(errors.Is(err, pki.ErrNoNodeID))
}

// writeFiles issues a certificate and writes it, its key and the authority's certificate
// with the given modification time.
func writeFiles(t *testing.T, a *pki.Authority, dir string, modified time.Time) pki.Files {
	t.Helper()
	is := is.New(t)
	cert, key, err := a.Issue("cluj-1/a", time.Now(), time.Hour)
	is.NoErr(err)
	f := pki.Files{Cert: filepath.Join(dir, "crt"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "ca")}
	for name, data := range map[string][]byte{f.Cert: cert, f.Key: key, f.CA: a.CertificatePEM()} {
		is.NoErr(os.WriteFile(name, data, 0o600))
		is.NoErr(os.Chtimes(name, modified, modified))
	}
	return f
}

// Changed files are loaded. Files that cannot be loaded are reported, and the
// certificate loaded before stays in use.
func TestChangedFilesAreReloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		dir := t.TempDir()
		a, err := pki.NewAuthority("test", time.Now(), time.Hour)
		is.NoErr(err)
		files := writeFiles(t, a, dir, time.Now())
		var reports int
		c, err := pki.Load(files, func(error) { reports++ })
		is.NoErr(err)
		first := c.ClientConfig().Certificates[0].Certificate[0]

		time.Sleep(time.Minute)
		writeFiles(t, a, dir, time.Now())
		second := c.ClientConfig().Certificates[0].Certificate[0]
		is.True(string(first) != string(second))

		time.Sleep(time.Minute)
		is.NoErr(os.WriteFile(files.Cert, []byte("broken"), 0o600))
		is.NoErr(os.Chtimes(files.Cert, time.Now(), time.Now()))
		is.Equal(string(c.ClientConfig().Certificates[0].Certificate[0]), string(second))
		is.Equal(reports, 1)
	})
}
