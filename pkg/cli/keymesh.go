package cli

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/pki"
)

// Names of the certificate authority's files in the folder.
const (
	caFileName = "ca.crt"
	caKeyName  = "ca.key"
)

// keyMeshCmd issues certificates for nodes.
type keyMeshCmd struct {
	Dir   string   `arg:"--dir,required" placeholder:"DIR" help:"folder for the files; an authority that is there already is used again"`
	Days  int      `arg:"--days" default:"90" help:"days for which the certificates can be used"`
	Nodes []string `arg:"positional,required" placeholder:"NODE" help:"ids of the nodes"`
}

func (*keyMeshCmd) example() string {
	return "tarragondrum key mesh --dir keys cluj-1-a cluj-1-b"
}

func (c *keyMeshCmd) run(_ context.Context, env Env) int {
	if c.Days < 1 {
		return env.fail(ExitUsage, fmt.Errorf("--days is %d, it must be at least 1", c.Days))
	}
	now := time.Now()
	validity := time.Duration(c.Days) * 24 * time.Hour
	ca, err := c.authority(now, validity)
	if err != nil {
		return env.fail(ExitFailed, err)
	}
	for _, id := range c.Nodes {
		cert, key, err := ca.IssueFiles(c.Dir, id, now, validity)
		if err != nil {
			return env.fail(ExitFailed, err)
		}
		env.printf("node %s: %s and %s\n", id, cert, key)
	}
	env.printf("every node needs %s as its caFile; keep %s away from the nodes\n",
		filepath.Join(c.Dir, caFileName), filepath.Join(c.Dir, caKeyName))
	return ExitOK
}

// authority loads the certificate authority from the folder, or creates it there if the
// folder has none.
func (c *keyMeshCmd) authority(now time.Time, validity time.Duration) (*pki.Authority, error) {
	certFile, keyFile := filepath.Join(c.Dir, caFileName), filepath.Join(c.Dir, caKeyName)
	if _, err := os.Stat(certFile); err == nil {
		return pki.ReadAuthority(certFile, keyFile)
	}
	if err := os.MkdirAll(c.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("create folder: %w", err)
	}
	ca, err := pki.NewAuthority("tarragondrum mesh", now, validity)
	if err != nil {
		return nil, err
	}
	return ca, ca.WriteFiles(certFile, keyFile)
}
