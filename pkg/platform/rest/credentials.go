package rest

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// tokenMaxAge is the time after which the token file is read again.
const tokenMaxAge = time.Minute

// token is the content of a token file, which others may replace at any time.
type token struct {
	file string

	mu   sync.Mutex
	text string
	read time.Time
}

// newToken reads the file for the first time; an empty name stands for no token.
func newToken(file string) (*token, error) {
	t := &token{file: file}
	if file == "" {
		return t, nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read platform token: %w", err)
	}
	t.text, t.read = strings.TrimSpace(string(raw)), time.Now()
	return t, nil
}

// value returns the token. If the file cannot be read again, the old token goes
// on: the platform says when it is no longer valid.
func (t *token) value(now time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.file == "" || now.Sub(t.read) < tokenMaxAge {
		return t.text
	}
	t.read = now
	if raw, err := os.ReadFile(t.file); err == nil {
		t.text = strings.TrimSpace(string(raw))
	}
	return t.text
}

// tlsConfig trusts the certificates of the file and no others.
func tlsConfig(caFile string) (*tls.Config, error) {
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fmt.Errorf("read platform CA: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("platform CA file %q has no PEM certificate", caFile)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}
