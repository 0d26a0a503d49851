package localmesh

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/pki"
	"github.com/tarragondrum/tarragondrum/pkg/settings"
)

// secretBytes is the length of the shared secret of a mesh.
const secretBytes = 32

// certificateValidity is the time for which the certificates can be used.
const certificateValidity = 24 * time.Hour

// Keys names the files that authenticate the nodes of a mesh to each other.
type Keys struct {
	SecretFile string
	CAFile     string
	// certificate returns the certificate and key file of a node.
	certificate func(model.NodeID) (cert, key string)
}

// apply points the settings of a node at its files.
func (k Keys) apply(s *settings.Mesh, id model.NodeID) {
	s.SecretFile = k.SecretFile
	s.CAFile = k.CAFile
	if k.certificate != nil {
		s.CertFile, s.KeyFile = k.certificate(id)
	}
}

// NewKeys makes a shared secret, an authority and a certificate for each node of
// a deployment, and writes them into dir.
func NewKeys(dir string, d Deployment) (Keys, error) {
	k := Keys{
		SecretFile: filepath.Join(dir, "mesh.secret"),
		CAFile:     filepath.Join(dir, "ca.crt"),
	}
	if err := writeSecret(k.SecretFile); err != nil {
		return Keys{}, err
	}
	now := time.Now()
	ca, err := pki.NewAuthority(d.Name+" mesh", now, certificateValidity)
	if err != nil {
		return Keys{}, err
	}
	if err := os.WriteFile(k.CAFile, ca.CertificatePEM(), 0o600); err != nil {
		return Keys{}, fmt.Errorf("write authority: %w", err)
	}
	for _, i := range d.Instances() {
		if _, _, err := ca.IssueFiles(dir, nodeID(i), now, certificateValidity); err != nil {
			return Keys{}, err
		}
	}
	k.certificate = func(id model.NodeID) (cert, key string) { return pki.FileNames(dir, id) }
	return k, nil
}

func writeSecret(file string) error {
	secret := make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		return fmt.Errorf("make secret: %w", err)
	}
	if err := os.WriteFile(file, []byte(hex.EncodeToString(secret)), 0o600); err != nil {
		return fmt.Errorf("write secret: %w", err)
	}
	return nil
}

// nodeID returns the id of the node on the host of an instance.
func nodeID(i Instance) model.NodeID { return model.NodeID("node-" + i.Name) }
