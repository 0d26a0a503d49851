package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/pki"
)

// checkCertificate checks that the node could use its certificate now: key and
// authority fit it, it is within its time, and it names the node.
func (c *checker) checkCertificate(node model.NodeID, m *Mesh) {
	for _, key := range []string{"mesh.certFile", "mesh.keyFile", "mesh.caFile"} {
		if c.hasFault(key) {
			return
		}
	}
	if m.CertFile == "" {
		return
	}
	pair, err := tls.LoadX509KeyPair(m.CertFile, m.KeyFile)
	if err != nil {
		c.fault("mesh.certFile", "certificate and key cannot be used: %v", err)
		return
	}
	pool := x509.NewCertPool()
	if raw, err := os.ReadFile(m.CAFile); err != nil || !pool.AppendCertsFromPEM(raw) {
		c.fault("mesh.caFile", "file %q has no PEM certificate", m.CAFile)
		return
	}
	options := x509.VerifyOptions{
		Roots:     pool,
		DNSName:   pki.ServerName,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	if _, err := pair.Leaf.Verify(options); err != nil {
		c.fault("mesh.certFile", "other nodes would not accept the certificate: %v", err)
		return
	}
	id, err := pki.NodeID(pair.Leaf)
	if err != nil {
		c.fault("mesh.certFile", "%v", err)
	} else if id != node {
		c.fault("mesh.certFile", "certificate names node %q, not %q", id, node)
	}
}
