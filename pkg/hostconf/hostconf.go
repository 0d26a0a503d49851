// Package hostconf reads the settings of the process that runs beside an
// upstream: JSON with comments, checked whole. Unknown keys are ignored, since
// the platform may add some.
package hostconf

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/big"
	"net/netip"
	"os"
	"time"

	"github.com/tailscale/hujson"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/pki"
)

// ErrInvalid is returned for settings that cannot be used.
var ErrInvalid = errors.New("hostconf: settings are invalid")

// Settings are the settings of one process. Times are
// seconds where the name ends in S.
type Settings struct {
	Node struct {
		ID         string `json:"id"`
		DataCentre string `json:"dataCentre"`
		Region     string `json:"region"`
		IP         string `json:"ip"`
		MemoryMB   int    `json:"memoryMB"`
		// CPUShare is the part of a core, and LinkMbps the bandwidth, that the machine
		// gives the process.
		CPUShare float64 `json:"cpuShare"`
		LinkMbps float64 `json:"linkMbps"`
		// FirstStart tells that the whole system starts for the first time.
		FirstStart bool `json:"firstStart"`
	} `json:"node"`
	Upstream struct {
		Address string `json:"address"`
		Service string `json:"service"`
	} `json:"upstream"`
	Listen struct {
		// Outbound takes the requests of callers and of the upstream.
		Outbound string `json:"outbound"`
		// Ready answers the platform's readiness checks.
		Ready string `json:"ready"`
		// Announce takes the heartbeats of the upstream.
		Announce string `json:"announce"`
		PeerPort int    `json:"peerPort"`
		// PeerAdvertised is the port at which other nodes reach this one, where a relay
		// stands before it; 0 stands for PeerPort.
		PeerAdvertised int `json:"peerAdvertised"`
		// MetricsPort is fixed by the deploy file.
		MetricsPort int `json:"metricsPort"`
		// Profiles tells that the metrics port also answers with profiles of the process.
		Profiles bool `json:"profiles"`
	} `json:"listen"`
	Store struct {
		Address string `json:"address"`
	} `json:"store"`
	Bounds struct {
		GraceS       float64 `json:"graceS"`
		RetryRatio   float64 `json:"retryRatio"`
		RetryWindowS float64 `json:"retryWindowS"`
		RetrySlack   float64 `json:"retrySlack"`
	} `json:"bounds"`
	Peers Peers `json:"peers"`
	// Operators may sign versions off. Where there are none, a node puts in force
	// what lies in the store.
	Operators []bundle.Operator `json:"operators"`

	keyring *bundle.Keyring
}

// Peers names the PEM files that seal the connections between nodes. All are given
// or none.
type Peers struct {
	CertFile string `json:"certFile"`
	KeyFile  string `json:"keyFile"`
	CAFile   string `json:"caFile"`
	// Withdrawn are the serial numbers of certificates that are refused.
	Withdrawn []string `json:"withdrawn"`
}

// Files returns the names of the files.
func (p *Peers) Files() pki.Files { return pki.Files{Cert: p.CertFile, Key: p.KeyFile, CA: p.CAFile} }

// WithdrawnSerials returns the serial numbers that are refused.
func (p *Peers) WithdrawnSerials() []*big.Int {
	list := make([]*big.Int, 0, len(p.Withdrawn))
	for _, text := range p.Withdrawn {
		if serial, ok := pki.ParseSerial(text); ok { // settings with others are refused
			list = append(list, serial)
		}
	}
	return list
}

// Sealed reports whether the connections between nodes are sealed.
func (p *Peers) Sealed() bool { return p.CertFile != "" }

// Keyring returns the keys of the operators, or nil where the settings name none
// and the store's word is enough.
func (s *Settings) Keyring() *bundle.Keyring { return s.keyring }

// Grace is the time between SIGTERM and SIGKILL.
func (s *Settings) Grace() time.Duration {
	return time.Duration(s.Bounds.GraceS * float64(time.Second))
}

// RetryWindow is the span over which the retry budget holds.
func (s *Settings) RetryWindow() time.Duration {
	return time.Duration(s.Bounds.RetryWindowS * float64(time.Second))
}

// PeerListener is the address of the listener for other nodes.
func (s *Settings) PeerListener() string { return fmt.Sprintf("%s:%d", s.Node.IP, s.Listen.PeerPort) }

// PeerAddress is the address at which other nodes reach this one.
func (s *Settings) PeerAddress() string {
	port := s.Listen.PeerPort
	if s.Listen.PeerAdvertised != 0 {
		port = s.Listen.PeerAdvertised
	}
	return fmt.Sprintf("%s:%d", s.Node.IP, port)
}

// MetricsAddress is the address of the metrics listener.
func (s *Settings) MetricsAddress() string {
	return fmt.Sprintf("%s:%d", s.Node.IP, s.Listen.MetricsPort)
}

// Read reads a settings file without checking it, so that a change can be noticed.
func Read(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return data, nil
}

// Load reads and checks a settings file. It returns the bytes as well.
func Load(path string) (*Settings, []byte, error) {
	data, err := Read(path)
	if err != nil {
		return nil, nil, err
	}
	s, err := Parse(data)
	if err != nil {
		return nil, nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, data, nil
}

// Parse reads and checks settings. All faults are reported together.
func Parse(data []byte) (*Settings, error) {
	plain, err := hujson.Standardize(bytes.Clone(data)) // it works in place
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	s := &Settings{}
	if err := json.Unmarshal(plain, s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return s, s.check()
}

func (s *Settings) check() error {
	var faults []error
	fault := func(key string, value any, want string) {
		faults = append(faults, fmt.Errorf("%s is %v, want %s: %w", key, value, want, ErrInvalid))
	}
	for key, value := range map[string]string{
		"node.id": s.Node.ID, "node.dataCentre": s.Node.DataCentre, "node.region": s.Node.Region, "upstream.service": s.Upstream.Service,
	} {
		if value == "" {
			fault(key, `""`, "a name")
		}
	}
	for key, value := range map[string]string{
		"upstream.address": s.Upstream.Address, "listen.outbound": s.Listen.Outbound, "listen.ready": s.Listen.Ready,
		"listen.announce": s.Listen.Announce, "store.address": s.Store.Address,
	} {
		if _, err := netip.ParseAddrPort(value); err != nil {
			fault(key, fmt.Sprintf("%q", value), "IP:port")
		}
	}
	if _, err := netip.ParseAddr(s.Node.IP); err != nil {
		fault("node.ip", fmt.Sprintf("%q", s.Node.IP), "an IP address")
	}
	for key, value := range map[string]float64{
		"listen.peerPort": float64(s.Listen.PeerPort), "listen.metricsPort": float64(s.Listen.MetricsPort),
		"node.memoryMB": float64(s.Node.MemoryMB),
		"node.cpuShare": s.Node.CPUShare, "node.linkMbps": s.Node.LinkMbps,
		"bounds.graceS":       s.Bounds.GraceS,
		"bounds.retryWindowS": s.Bounds.RetryWindowS,
	} {
		if value <= 0 {
			fault(key, value, "more than 0")
		}
	}
	if s.Listen.PeerAdvertised < 0 {
		fault("listen.peerAdvertised", s.Listen.PeerAdvertised, "a port, or 0 for that of peerPort")
	}
	if s.Bounds.RetryRatio < 0 || s.Bounds.RetrySlack < 0 {
		fault("bounds.retryRatio and bounds.retrySlack", fmt.Sprint(s.Bounds.RetryRatio, ", ", s.Bounds.RetrySlack), "0 or more")
	}
	if (s.Peers.CertFile == "") != (s.Peers.KeyFile == "") || (s.Peers.CertFile == "") != (s.Peers.CAFile == "") {
		fault("peers", fmt.Sprintf("%q", s.Peers.Files()), "certFile, keyFile and caFile or none of them")
	}
	for i, text := range s.Peers.Withdrawn {
		if _, ok := pki.ParseSerial(text); !ok {
			fault(fmt.Sprintf("peers.withdrawn[%d]", i), fmt.Sprintf("%q", text), "a serial number in hexadecimal")
		}
	}
	if len(s.Operators) > 0 {
		keyring, err := bundle.OperatorKeys(s.Operators)
		if err != nil {
			faults = append(faults, fmt.Errorf("%w: %w", ErrInvalid, err))
		}
		s.keyring = keyring
	}
	return errors.Join(faults...)
}
