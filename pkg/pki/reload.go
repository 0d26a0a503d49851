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

// checkInterval is the shortest time between two looks at the files.
const checkInterval = time.Second

// serialBase is the base in which serial numbers are written.
const serialBase = 16

// ErrWithdrawn is returned for a certificate that is withdrawn.
var ErrWithdrawn = errors.New("pki: certificate is withdrawn")

// ErrNoAuthority is returned when the authority file holds no certificate.
var ErrNoAuthority = errors.New("pki: authority file holds no certificate")

// Files names the PEM files of a node.
type Files struct {
	Cert, Key, CA string
}

// Credentials are a node's certificate and the authority that it trusts. They
// are read again when a file changes; files that cannot be used are reported
// and the former ones stay in use. It is safe for concurrent use.
type Credentials struct {
	files  Files
	report func(error)
	now    func() time.Time

	mu       sync.Mutex
	checked  time.Time
	modified [3]time.Time
	cert     *tls.Certificate
	pool     *x509.CertPool

	// withdrawn are the serial numbers of certificates that are refused.
	withdrawn atomic.Pointer[map[string]bool]
}

// Load reads the files. report is told of later files that cannot be used.
func Load(files Files, report func(error)) (*Credentials, error) {
	c := &Credentials{files: files, report: report, now: time.Now}
	c.modified = c.modTimes()
	c.checked = c.now()
	cert, pool, err := read(files)
	if err != nil {
		return nil, err
	}
	c.cert, c.pool = cert, pool
	return c, nil
}

// Withdraw refuses the certificates with the given serial numbers, and no others, from
// now on. Connections that are open are not ended; Check tells of them.
func (c *Credentials) Withdraw(serials []*big.Int) {
	set := make(map[string]bool, len(serials))
	for _, s := range serials {
		set[s.String()] = true
	}
	c.withdrawn.Store(&set)
}

// Check returns ErrWithdrawn for a connection whose other side shows a withdrawn
// certificate.
func (c *Credentials) Check(state *tls.ConnectionState) error {
	set := c.withdrawn.Load()
	if set == nil {
		return nil
	}
	for _, cert := range state.PeerCertificates {
		if (*set)[cert.SerialNumber.String()] {
			return fmt.Errorf("certificate %s of %q: %w", cert.SerialNumber.Text(serialBase), cert.Subject.CommonName, ErrWithdrawn)
		}
	}
	return nil
}

// ParseSerial reads a serial number in hexadecimal, with or without colons, as tools
// for certificates print it.
func ParseSerial(text string) (*big.Int, bool) {
	return new(big.Int).SetString(strings.ReplaceAll(text, ":", ""), serialBase)
}

// ServerConfig returns the configuration of a listener that asks every peer
// for a certificate of the authority.
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

				VerifyConnection: c.verify,
			}, nil
		},
	}
}

// ClientConfig returns the configuration of one outgoing connection.
func (c *Credentials) ClientConfig() *tls.Config {
	cert, pool := c.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*cert},
		RootCAs:      pool,
		ServerName:   ServerName,

		VerifyConnection: c.verify,
	}
}

func (c *Credentials) verify(state tls.ConnectionState) error { return c.Check(&state) }

// current returns the newest usable certificate and authority.
func (c *Credentials) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if now.Sub(c.checked) < checkInterval {
		return c.cert, c.pool
	}
	c.checked = now
	modified := c.modTimes()
	if modified == c.modified {
		return c.cert, c.pool
	}
	cert, pool, err := read(c.files)
	if err != nil {
		c.report(err)
		return c.cert, c.pool
	}
	c.modified, c.cert, c.pool = modified, cert, pool
	return cert, pool
}

// modTimes returns the modification times; a missing file has the zero time.
func (c *Credentials) modTimes() [3]time.Time {
	var times [3]time.Time
	for i, name := range []string{c.files.Cert, c.files.Key, c.files.CA} {
		if info, err := os.Stat(name); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

func read(f Files) (*tls.Certificate, *x509.CertPool, error) {
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
