// Package pki issues, loads and checks node certificates. A certificate holds the id of its
// node as a URI name. All certificates share one DNS name, which the
// dialling side can verify while it does not know the other's id yet.
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
	// serialBits is the length of a serial number. RFC 5280 allows 20 octets.
	serialBits = 127
	keyMode    = 0o600
	certMode   = 0o644
	// backdate moves the start of a certificate's validity into the past, for nodes whose
	// clocks lag behind the issuer's.
	backdate = time.Hour
)

// ErrNoNodeID is returned for a certificate without a valid node id.
var ErrNoNodeID = errors.New("pki: certificate names no node")

// Authority signs node certificates.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority creates a self-signed authority whose certificate expires after validity.
func NewAuthority(name string, now time.Time, validity time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate authority key: %w", err)
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

// CertificatePEM returns the authority's certificate in PEM.
func (a *Authority) CertificatePEM() []byte { return encodeCertificate(a.cert.Raw) }

// WriteFiles writes the authority's certificate and private key in PEM.
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

// ReadAuthority reads the files that WriteFiles wrote. It returns ErrNoAuthority if the
// certificate is not that of an authority or the key is not an ECDSA key.
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

// Issue creates a key and a certificate for a node, valid for TLS clients and servers, and
// returns both in PEM.
func (a *Authority) Issue(id string, now time.Time, validity time.Duration) (cert, key []byte, err error) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("generate key of node %q: %w", id, err)
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

// IssueFiles issues a certificate, writes it and its key into dir and returns the paths of
// both files.
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

// FileNames returns the paths to which IssueFiles writes the certificate and key of a node.
func FileNames(dir string, id string) (certFile, keyFile string) {
	return filepath.Join(dir, id+".crt"), filepath.Join(dir, id+".key")
}

// NodeID returns the node id in a certificate's URI names.
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

// newTemplate returns the fields that certificates of authorities and nodes share: a random
// serial number, the subject and the validity.
func newTemplate(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("generate serial number: %w", err)
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
