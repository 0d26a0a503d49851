// Package settings defines the settings file of a node and checks it whole.
package settings

import (
	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// Settings is the settings file of a node: JSON with comments. The tags of the
// fields hold the defaults and the text of docs/SETTINGS.md.
type Settings struct {
	Node      Node       `json:"node"`
	Platform  Platform   `json:"platform"`
	Mesh      Mesh       `json:"mesh"`
	Inbound   Inbound    `json:"inbound"`
	Outbound  Outbound   `json:"outbound"`
	Admin     Admin      `json:"admin"`
	Operators []Operator `json:"operators"`
	Log       Log        `json:"log"`
	// Upstreams are announced at start, for hosts whose upstreams do not announce
	// themselves.
	Upstreams []Upstream `json:"upstreams"`
	// Drain bounds a planned stop of an upstream or of the node.
	Drain Drain `json:"drain"`
}

// Node identifies the process.
type Node struct {
	ID         model.NodeID     `json:"id" help:"name of the node, unique in the mesh: lower-case letters, digits and inner hyphens; required"`
	DataCentre model.DataCentre `json:"dataCentre" help:"name of the data centre that the host is in; required"`
	Region     model.Region     `json:"region" help:"name of the region that the data centre is in; required"`
}

// Platform says how to reach the object API.
type Platform struct {
	URL       string          `json:"url" help:"base URL of the platform's object API, http or https; required"`
	Mesh      string          `json:"mesh" help:"namespace of the mesh's objects; required"`
	TokenFile string          `json:"tokenFile" help:"file with a bearer token, read again every minute and sent over https or on loopback only; without it none is sent"`
	CAFile    string          `json:"caFile" help:"PEM certificates that sign the platform's; without it those of the system"`
	Timeout   bundle.Duration `json:"timeout" default:"5s" help:"longest time for one call, 100ms to 1m"`
}

// Mesh is the listener for other nodes.
type Mesh struct {
	Address       string          `json:"address" help:"IP and port for other nodes, TCP and UDP; required"`
	CertFile      string          `json:"certFile" help:"PEM certificate of this node, read again when it changes; required off loopback, with keyFile and caFile"`
	KeyFile       string          `json:"keyFile" help:"PEM private key of the certificate"`
	CAFile        string          `json:"caFile" help:"PEM certificates of the authorities that sign the nodes' certificates"`
	SecretFile    string          `json:"secretFile" help:"file with the secret that authenticates datagrams and the headers between nodes; required off loopback"`
	Contacts      []string        `json:"contacts" help:"IP and port of the mesh listeners of other nodes, tried when the platform cannot be reached"`
	ProbeInterval bundle.Duration `json:"probeInterval" default:"1s" help:"time between two probes sent by this node, 10ms to 1m"`
}

// Inbound is the listener for callers and for other nodes on their behalf.
type Inbound struct {
	Address       string          `json:"address" help:"IP and port for callers and other nodes; required"`
	MaxBodyBytes  int64           `json:"maxBodyBytes" default:"1048576" help:"largest request body in bytes; 0 means no bound of the listener's own"`
	HeaderTimeout bundle.Duration `json:"headerTimeout" default:"10s" help:"longest time a sender may take for its headers, 100ms to 1m"`
}

// Outbound is the loopback listener for the upstreams on this host.
type Outbound struct {
	Address string `json:"address" default:"127.0.0.1:15001" help:"loopback IP and port for calls of this host's upstreams to other services"`
}

// Admin is the listener for operators, Prometheus and announcements.
type Admin struct {
	Address   string `json:"address" default:"127.0.0.1:9090" help:"IP and port for operators, Prometheus and the announcements of upstreams"`
	TokenFile string `json:"tokenFile" help:"file with the bearer token that callers must show; required off loopback"`
}

// Operator is a public key that may sign off bundles.
type Operator struct {
	Name      string `json:"name" help:"name of the operator; several keys of one operator may be valid at once; required"`
	KeyID     string `json:"keyID" help:"name of the key, unique in the file; required"`
	PublicKey string `json:"publicKey" help:"ed25519 public key in base64, as key generate prints it; required"`
	Withdrawn bool   `json:"withdrawn" default:"false" help:"whether the key is refused from now on; a running node keeps the version that it has applied, see docs/operators/bundles.md"`
}

// Log says what is logged.
type Log struct {
	Level string `json:"level" default:"info" help:"least severity that is logged: debug, info, warn or error"`
}

// Upstream is an instance announced from the settings.
type Upstream struct {
	Name        string `json:"name" help:"name of the upstream, unique on the host; required"`
	Service     string `json:"service" help:"name of the service that it serves; required"`
	Address     string `json:"address" help:"IP and port at which this host reaches it; required"`
	Slots       int    `json:"slots" help:"calls that it runs at the same time, 1 to 10000; required"`
	Connections int    `json:"connections" help:"connections that it accepts, at least as many as slots; required"`
}

// Drain bounds planned stops.
type Drain struct {
	Timeout bundle.Duration `json:"timeout" default:"30s" help:"longest wait for calls in flight at a planned stop, up to 1h"`
	Notice  bundle.Duration `json:"notice" default:"2s" help:"time between telling the peers and refusing new calls, at most the timeout"`
}
