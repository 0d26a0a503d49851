// Package settings defines the settings file of a node and checks it whole.
package settings

import (
	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// Settings is the settings file of a node. Durations are written as text.
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
	ID         model.NodeID     `json:"id"`
	DataCentre model.DataCentre `json:"dataCentre"`
	Region     model.Region     `json:"region"`
}

// Platform says how to reach the object API.
type Platform struct {
	// URL is the base URL, for example "http://127.0.0.1:7000".
	URL string `json:"url"`
	// Mesh is the namespace of the mesh's objects.
	Mesh string `json:"mesh"`
	// TokenFile holds a bearer token; empty means none.
	TokenFile string          `json:"tokenFile"`
	Timeout   bundle.Duration `json:"timeout"`
}

// Mesh is the listener for other nodes.
type Mesh struct {
	Address string `json:"address"`
	// CertFile, KeyFile and CAFile are PEM files, re-read when they change. All
	// empty means plain text, which is only accepted on loopback addresses.
	CertFile string `json:"certFile"`
	KeyFile  string `json:"keyFile"`
	CAFile   string `json:"caFile"`
	// SecretFile holds the shared secret that authenticates datagrams and the
	// headers between nodes.
	SecretFile string `json:"secretFile"`
	// Contacts are mesh addresses to try when the platform cannot be reached.
	Contacts []string `json:"contacts"`
	// ProbeInterval is the time between two probes sent by this node.
	ProbeInterval bundle.Duration `json:"probeInterval"`
}

// Inbound is the listener for callers and for other nodes on their behalf.
type Inbound struct {
	Address string `json:"address"`
	// MaxBodyBytes bounds one request body; zero means no bound.
	MaxBodyBytes int64 `json:"maxBodyBytes"`
	// HeaderTimeout bounds the time a sender may take for its headers.
	HeaderTimeout bundle.Duration `json:"headerTimeout"`
}

// Outbound is the loopback listener for the upstreams on this host.
type Outbound struct {
	Address string `json:"address"`
}

// Admin is the listener for operators, Prometheus and announcements.
type Admin struct {
	Address string `json:"address"`
	// TokenFile is required when the address is not loopback.
	TokenFile string `json:"tokenFile"`
}

// Operator is a public key that may sign off bundles.
type Operator struct {
	Name string `json:"name"`
	// KeyID names the key, PublicKey is its ed25519 key in base64.
	KeyID     string `json:"keyID"`
	PublicKey string `json:"publicKey"`
	// Withdrawn keys are refused; versions already applied stay in force.
	Withdrawn bool `json:"withdrawn"`
}

// Log says what is logged.
type Log struct {
	Level string `json:"level"`
}

// Upstream is an instance announced from the settings.
type Upstream struct {
	Name        string `json:"name"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// Drain bounds planned stops.
type Drain struct {
	// Timeout is the longest wait for calls in flight.
	Timeout bundle.Duration `json:"timeout"`
	// Notice is the time between telling the peers and refusing new calls.
	Notice bundle.Duration `json:"notice"`
}
