// Package pki makes and reads the certificates of nodes. A node's certificate
// carries its id as a URI; all of them share one DNS name, which a dialler that
// does not know the id yet verifies.
package pki

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// ServerName is the DNS name in every node certificate.
const ServerName = "node.tarragondrum.internal"

const (
	uriScheme = "tarragondrum"
	uriPrefix = "node:"
	// serialBits is the length of a certificate's serial number.
	serialBits = 127
	keyMode    = 0o600
	certMode   = 0o644
	// backdate allows for clocks that lag.
	backdate = time.Hour
)

// ErrNoNodeID is returned for a certificate that names no node.
var ErrNoNodeID = errors.New("pki: certificate names no node")

// Authority signs node certificates.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority makes an authority that is valid for the given time.
func NewAuthority(name string, now time.Time, validity time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("make authority key: %w", err)
	}
	template, err := newTemplate(name, now, validity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, fmt.Errorf("sign authority certificate: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse authority certificate: %w", err)
	}
	return &Authority{cert: cert, key: key}, nil
}

// CertificatePEM returns the authority's certificate.
func (a *Authority) CertificatePEM() []byte { return encodeCertificate(a.cert.Raw) }

// WriteFiles writes the authority's certificate and private key.
func (a *Authority) WriteFiles(certFile, keyFile string) error {
	raw, err := x509.MarshalPKCS8PrivateKey(a.key)
	if err != nil {
		return fmt.Errorf("encode authority key: %w", err)
	}
	if err := os.WriteFile(keyFile, encodeKey(raw), keyMode); err != nil {
		return fmt.Errorf("write authority key: %w", err)
	}
	if err := os.WriteFile(certFile, a.CertificatePEM(), certMode); err != nil {
		return fmt.Errorf("write authority certificate: %w", err)
	}
	return nil
}

// ReadAuthority reads an authority that WriteFiles wrote. It returns
// ErrNoAuthority if the files hold none.
func ReadAuthority(certFile, keyFile string) (*Authority, error) {
	pair, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, fmt.Errorf("read authority: %w", err)
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok || !pair.Leaf.IsCA {
		return nil, fmt.Errorf("%q: %w", certFile, ErrNoAuthority)
	}
	return &Authority{cert: pair.Leaf, key: key}, nil
}

// Issue returns a certificate and private key in PEM for a node.
func (a *Authority) Issue(id string, now time.Time, validity time.Duration) (cert, key []byte, err error) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("make key of node %q: %w", id, err)
	}
	template, err := newTemplate(id, now, validity)
	if err != nil {
		return nil, nil, err
	}
	template.DNSNames = []string{ServerName}
	template.URIs = []*url.URL{{Scheme: uriScheme, Opaque: uriPrefix + url.PathEscape(id)}}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, private.Public(), a.key)
	if err != nil {
		return nil, nil, fmt.Errorf("sign certificate of node %q: %w", id, err)
	}
	raw, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return nil, nil, fmt.Errorf("encode key of node %q: %w", id, err)
	}
	return encodeCertificate(der), encodeKey(raw), nil
}

// IssueFiles writes the certificate and key of a node into dir and returns
// their names.
func (a *Authority) IssueFiles(dir string, id string, now time.Time, validity time.Duration) (certFile, keyFile string, err error) {
	cert, key, err := a.Issue(id, now, validity)
	if err != nil {
		return "", "", err
	}
	certFile, keyFile = FileNames(dir, id)
	if err := os.WriteFile(certFile, cert, certMode); err != nil {
		return "", "", fmt.Errorf("write certificate: %w", err)
	}
	if err := os.WriteFile(keyFile, key, keyMode); err != nil {
		return "", "", fmt.Errorf("write key: %w", err)
	}
	return certFile, keyFile, nil
}

// FileNames returns the names that IssueFiles gives to the files of a node.
func FileNames(dir string, id string) (certFile, keyFile string) {
	return filepath.Join(dir, id+".crt"), filepath.Join(dir, id+".key")
}

// NodeID returns the node that a certificate names.
func NodeID(cert *x509.Certificate) (string, error) {
	for _, u := range cert.URIs {
		escaped, ok := strings.CutPrefix(u.Opaque, uriPrefix)
		if u.Scheme != uriScheme || !ok {
			continue
		}
		id, err := url.PathUnescape(escaped)
		if err != nil || id == "" {
			return "", fmt.Errorf("uri %q: %w", u, ErrNoNodeID)
		}
		return id, nil
	}
	return "", fmt.Errorf("subject %q: %w", cert.Subject, ErrNoNodeID)
}

func newTemplate(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("make serial number: %w", err)
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(validity),
	}, nil
}

func encodeKey(pkcs8 []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: pkcs8})
}

func encodeCertificate(der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
}
