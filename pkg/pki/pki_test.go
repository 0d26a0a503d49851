package pki

import (
	"crypto/x509"
	"encoding/pem"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/model"
)

const validity = time.Hour

func newFiles(t *testing.T, dir string, id model.NodeID) Files {
	t.Helper()
	is := is.New(t)
	ca, err := NewAuthority("test", time.Now(), validity)
	is.NoErr(err)
	caFile := filepath.Join(dir, "ca.crt")
	is.NoErr(ca.WriteFiles(caFile, filepath.Join(dir, "ca.key")))
	cert, key, err := ca.IssueFiles(dir, id, time.Now(), validity)
	is.NoErr(err)
	return Files{Cert: cert, Key: key, CA: caFile}
}

func TestIssuedCertificateNamesTheNode(t *testing.T) {
	for _, id := range []model.NodeID{"cluj-1-a", "with space", "a/b:c"} {
		t.Run(string(id), func(t *testing.T) {
			is := is.New(t)
			ca, err := NewAuthority("test", time.Now(), validity)
			is.NoErr(err)
			raw, _, err := ca.Issue(id, time.Now(), validity)
			is.NoErr(err)
			block, _ := pem.Decode(raw)
			cert, err := x509.ParseCertificate(block.Bytes)
			is.NoErr(err)
			got, err := NodeID(cert)
			is.NoErr(err)
			is.Equal(got, id)
			_, err = NodeID(ca.cert)
			is.True(errors.Is(err, ErrNoNodeID))
		})
	}
}

func TestAuthorityIsReadBack(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	f := newFiles(t, dir, "a")
	_, err := ReadAuthority(f.CA, filepath.Join(dir, "ca.key"))
	is.NoErr(err)
	_, err = ReadAuthority(f.Cert, f.Key) // a node's certificate is no authority
	is.True(errors.Is(err, ErrNoAuthority))
}

// Files that change are read again; files that are broken are reported and the
// former certificate stays.
func TestCredentialsFollowTheFiles(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	files := newFiles(t, dir, "a")
	var reported []error
	c, err := Load(files, func(err error) { reported = append(reported, err) })
	is.NoErr(err)
	now := time.Now()
	c.now = func() time.Time { return now }
	first, _ := c.current()

	newFiles(t, dir, "a")
	touch(t, files, now.Add(time.Minute))
	now = now.Add(2 * checkInterval)
	second, _ := c.current()
	is.True(first != second)

	is.NoErr(os.WriteFile(files.Cert, []byte("no certificate"), certMode))
	touch(t, files, now.Add(2*time.Minute))
	now = now.Add(2 * checkInterval)
	kept, _ := c.current()
	is.True(kept == second)
	is.Equal(len(reported), 1)
}

func touch(t *testing.T, f Files, at time.Time) {
	t.Helper()
	for _, name := range []string{f.Cert, f.Key, f.CA} {
		is.New(t).NoErr(os.Chtimes(name, at, at))
	}
}
