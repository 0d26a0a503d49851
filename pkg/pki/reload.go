package pki

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"math/big"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// checkInterval is the shortest time between two checks of the files' modification times.
const checkInterval = time.Second

// serialBase is the base in which serial numbers are printed and parsed.
const serialBase = 16

// ErrRevoked is returned for a certificate whose serial number has been revoked.
var ErrRevoked = errors.New("pki: certificate is withdrawn")

// ErrNoAuthority is returned when the authority file holds no usable certificate.
var ErrNoAuthority = errors.New("pki: authority file holds no certificate")

// Files are the paths of a node's PEM files: its certificate, its private key and the
// certificates of the authorities that it trusts.
type Files struct {
	Cert, Key, CA string
}

// Credentials hold a node's certificate and the authorities that it trusts. Each new
// connection reloads files that have changed. If loading fails, the error is reported and
// the certificates loaded before stay in use. Credentials are safe for concurrent use.
type Credentials struct {
	files  Files
	report func(error)
	now    func() time.Time

	mu sync.Mutex
	// checkedAt is when the modification times were last compared.
	checkedAt time.Time
	// modified are the modification times of the loaded files.
	modified [3]time.Time
	cert     *tls.Certificate
	pool     *x509.CertPool

	// revoked are the decimal serial numbers of the certificates that are refused.
	revoked atomic.Pointer[map[string]bool]
}

// Load reads the files. report is called with the error of each later reload that fails.
func Load(files Files, report func(error)) (*Credentials, error) {
	c := &Credentials{files: files, report: report, now: time.Now}
	c.modified = c.modTimes()
	c.checkedAt = c.now()
	cert, pool, err := load(files)
	if err != nil {
		return nil, err
	}
	c.cert, c.pool = cert, pool
	return c, nil
}

// Revoke replaces the set of revoked serial numbers. New connections to or from a node with
// a revoked certificate fail. Open ones stay open until their owner calls CheckRevoked.
func (c *Credentials) Revoke(serials []*big.Int) {
	set := make(map[string]bool, len(serials))
	for _, s := range serials {
		set[s.String()] = true
	}
	c.revoked.Store(&set)
}

// CheckRevoked returns ErrRevoked if the peer of a connection presented a certificate that is
// revoked by now.
func (c *Credentials) CheckRevoked(state *tls.ConnectionState) error {
	set := c.revoked.Load()
	if set == nil {
		return nil
	}
	for _, cert := range state.PeerCertificates {
		if (*set)[cert.SerialNumber.String()] {
			return fmt.Errorf("certificate %s of %q: %w", cert.SerialNumber.Text(serialBase), cert.Subject.CommonName, ErrRevoked)
		}
	}
	return nil
}

// ParseSerial parses a hexadecimal serial number, with or without the colons that certificate
// tools print. It reports whether text is a valid number.
func ParseSerial(text string) (*big.Int, bool) {
	return new(big.Int).SetString(strings.ReplaceAll(text, ":", ""), serialBase)
}

// ServerConfig returns the TLS configuration of a listener that requires a client certificate
// signed by a trusted authority. Each handshake uses the newest files.
func (c *Credentials) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := c.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    pool,

				VerifyConnection: c.verifyConnection,
			}, nil
		},
	}
}

// ClientConfig returns the TLS configuration of one outgoing connection. Later connections
// need a new one, so that they use reloaded files.
func (c *Credentials) ClientConfig() *tls.Config {
	cert, pool := c.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*cert},
		RootCAs:      pool,
		ServerName:   ServerName,

		VerifyConnection: c.verifyConnection,
	}
}

// verifyConnection adapts CheckRevoked to tls.Config.VerifyConnection.
func (c *Credentials) verifyConnection(state tls.ConnectionState) error {
	return c.CheckRevoked(&state)
}

// current returns the certificate and the trusted authorities, reloaded if a file has changed
// and checkInterval has passed since the last check.
func (c *Credentials) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if now.Sub(c.checkedAt) < checkInterval {
		return c.cert, c.pool
	}
	c.checkedAt = now
	modified := c.modTimes()
	if modified == c.modified {
		return c.cert, c.pool
	}
	cert, pool, err := load(c.files)
	if err != nil {
		c.report(err)
		return c.cert, c.pool
	}
	c.modified, c.cert, c.pool = modified, cert, pool
	return cert, pool
}

// modTimes returns the modification times of the files. That of a missing file is zero.
func (c *Credentials) modTimes() [3]time.Time {
	var times [3]time.Time
	for i, name := range []string{c.files.Cert, c.files.Key, c.files.CA} {
		if info, err := os.Stat(name); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

// load reads the certificate, key and authorities.
func load(f Files) (*tls.Certificate, *x509.CertPool, error) {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, nil, fmt.Errorf("read certificate %q: %w", f.Cert, err)
	}
	raw, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, nil, fmt.Errorf("read authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, nil, fmt.Errorf("%q: %w", f.CA, ErrNoAuthority)
	}
	return &cert, pool, nil
}
