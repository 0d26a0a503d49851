package rest

import (
	"encoding/pem"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/platform"
)

func TestTokenIsReadAgain(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "token")
	is.NoErr(os.WriteFile(file, []byte("one\n"), 0o600))
	token, err := newToken(file)
	is.NoErr(err)
	is.NoErr(os.WriteFile(file, []byte("two\n"), 0o600))
	is.Equal(token.value(time.Now()), "one")
	later := time.Now().Add(2 * tokenMaxAge)
	is.Equal(token.value(later), "two")
	is.NoErr(os.Remove(file))
	is.Equal(token.value(later.Add(2*tokenMaxAge)), "two")
}

func TestOnlyTheGivenCAIsTrusted(t *testing.T) {
	is := is.New(t)
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"metadata":{"resourceVersion":"8"}}`))
	}))
	defer server.Close()
	key := platform.Key{Collection: platform.CollectionHeads, Name: "head"}
	file := filepath.Join(t.TempDir(), "ca.pem")
	block := &pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw}
	is.NoErr(os.WriteFile(file, pem.EncodeToMemory(block), 0o600))

	trusting, err := New(Config{URL: server.URL, Mesh: "m", CAFile: file})
	is.NoErr(err)
	defer trusting.Close()
	_, err = trusting.Put(t.Context(), key, []byte(`{}`), "7")
	is.NoErr(err)

	wary, err := New(Config{URL: server.URL, Mesh: "m"})
	is.NoErr(err)
	defer wary.Close()
	_, err = wary.Put(t.Context(), key, []byte(`{}`), "7")
	is.True(errors.Is(err, platform.ErrUnavailable)) // nothing was sent

	is.NoErr(os.WriteFile(file, []byte("not PEM"), 0o600))
	_, err = New(Config{URL: server.URL, Mesh: "m", CAFile: file})
	is.True(err != nil)
}
