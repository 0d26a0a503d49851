// Package hostconf reads and validates the settings of the process that runs beside an
// upstream. They are JSON with comments. Unknown keys are ignored, because the platform may
// add some.
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
	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/pki"
)

// ErrInvalid is returned for settings that cannot be used.
var ErrInvalid = errors.New("hostconf: settings are invalid")

// Settings are the settings of one process. Durations whose name ends in S are in seconds.
type Settings struct {
	Node struct {
		ID         string `json:"id"`
		DataCentre string `json:"dataCentre"`
		Region     string `json:"region"`
		IP         string `json:"ip"`
		MemoryMB   int    `json:"memoryMB"`
		// MaxDescriptors is the number of file descriptors that the process may have open, 0
		// for the default.
		MaxDescriptors int `json:"maxDescriptors"`
		// CPUShare is the number of processor cores, usually a fraction, and LinkMbps the
		// network bandwidth in megabits per second that the process may use.
		CPUShare float64 `json:"cpuShare"`
		LinkMbps float64 `json:"linkMbps"`
		// FirstStart is set when the whole system starts for the first time.
		FirstStart bool `json:"firstStart"`
	} `json:"node"`
	Upstream struct {
		// Address is where the upstream of this host accepts requests, as IP:port.
		Address string `json:"address"`
		Service string `json:"service"`
	} `json:"upstream"`
	Listen struct {
		// Outbound is the address for requests from callers and from the upstream.
		Outbound string `json:"outbound"`
		// Ready is the address for the platform's readiness checks.
		Ready string `json:"ready"`
		// Announce is the address for the heartbeats of the upstream.
		Announce string `json:"announce"`
		// PeerPort is the port of the listener for other nodes.
		PeerPort int `json:"peerPort"`
		// PeerAdvertised is the port at which other nodes reach this one if a proxy is in
		// between. 0 means PeerPort.
		PeerAdvertised int `json:"peerAdvertised"`
		// MetricsPort is the port of the metrics endpoint. The deploy template fixes it.
		MetricsPort int `json:"metricsPort"`
		// Profiles makes the metrics port serve profiles of the process as well.
		Profiles bool `json:"profiles"`
	} `json:"listen"`
	Store struct {
		Address string `json:"address"`
	} `json:"store"`
	Bounds struct {
		// GraceS is the time between SIGTERM and SIGKILL.
		GraceS float64 `json:"graceS"`
		// RetryRatio and RetrySlack define the retry budget: within RetryWindowS, a node may
		// retry RetryRatio of its requests, plus its share of RetrySlack retries, which are
		// divided among all nodes.
		RetryRatio   float64 `json:"retryRatio"`
		RetryWindowS float64 `json:"retryWindowS"`
		RetrySlack   float64 `json:"retrySlack"`
		// StrictRevocation makes a node refuse requests with keys unless it knows that the
		// configuration in force was current within the last RevokeMs milliseconds.
		StrictRevocation bool    `json:"strictRevocation"`
		RevokeMs         float64 `json:"revokeMs"`
		// ConfigApplyMs is the time in milliseconds within which a configuration is in force
		// on all nodes that reach the store.
		ConfigApplyMs float64 `json:"configApplyMs"`
		// QuotaWindowS, QuotaExcess and QuotaSlack bound how far all nodes together may exceed
		// the limit of an organisation: within a window of QuotaWindowS seconds by the factor
		// 1+QuotaExcess and QuotaSlack requests.
		QuotaWindowS float64 `json:"quotaWindowS"`
		QuotaExcess  float64 `json:"quotaExcess"`
		QuotaSlack   float64 `json:"quotaSlack"`
		// ExposeShare and ExposeSlack bound the requests that a version of a service gets before
		// its roll-out is decided: ExposeShare of the requests for the service, plus ExposeSlack.
		// RollbackMs is the time in milliseconds within which a bad version gets no more requests.
		// If ExposeShare is 0, versions are not told apart.
		ExposeShare float64 `json:"exposeShare"`
		ExposeSlack float64 `json:"exposeSlack"`
		RollbackMs  float64 `json:"rollbackMs"`
	} `json:"bounds"`
	Limits Limits `json:"limits"`
	Peers  Peers  `json:"peers"`
	// Operators lists who may sign off configuration versions. If it is empty, a node
	// applies any version that it reads from the store.
	Operators []bundle.Operator `json:"operators"`

	keyring *bundle.Keyring
}

// Peers names the PEM files for mutual TLS between nodes. Either all three files are set or
// none.
type Peers struct {
	CertFile string `json:"certFile"`
	KeyFile  string `json:"keyFile"`
	CAFile   string `json:"caFile"`
	// Revoked lists the serial numbers of revoked certificates, in hexadecimal.
	Revoked []string `json:"withdrawn"`
}

// Files returns the names of the certificate, key and CA files.
func (p *Peers) Files() pki.Files { return pki.Files{Cert: p.CertFile, Key: p.KeyFile, CA: p.CAFile} }

// RevokedSerials returns the serial numbers of revoked certificates.
func (p *Peers) RevokedSerials() []*big.Int {
	list := make([]*big.Int, 0, len(p.Revoked))
	for _, text := range p.Revoked {
		if serial, ok := pki.ParseSerial(text); ok { // validate rejects settings with any other text
			list = append(list, serial)
		}
	}
	return list
}

// UsesTLS reports whether the connections between nodes use TLS.
func (p *Peers) UsesTLS() bool { return p.CertFile != "" }

// Keyring returns the keys of the operators. It is nil if the settings name no operators;
// configurations from the store then need no signature.
func (s *Settings) Keyring() *bundle.Keyring { return s.keyring }

// ShutdownGracePeriod returns the time between SIGTERM and SIGKILL.
func (s *Settings) ShutdownGracePeriod() time.Duration {
	return time.Duration(s.Bounds.GraceS * float64(time.Second))
}

// RetryWindow returns the length of the window over which the retry budget is counted.
func (s *Settings) RetryWindow() time.Duration {
	return time.Duration(s.Bounds.RetryWindowS * float64(time.Second))
}

// RevocationTime returns the time after which a revoked key is refused.
func (s *Settings) RevocationTime() time.Duration {
	return time.Duration(s.Bounds.RevokeMs * float64(time.Millisecond))
}

// PeerListener returns the address of the listener for other nodes.
func (s *Settings) PeerListener() string { return fmt.Sprintf("%s:%d", s.Node.IP, s.Listen.PeerPort) }

// PeerAddress returns the address at which other nodes reach this one.
func (s *Settings) PeerAddress() string {
	port := s.Listen.PeerPort
	if s.Listen.PeerAdvertised != 0 {
		port = s.Listen.PeerAdvertised
	}
	return fmt.Sprintf("%s:%d", s.Node.IP, port)
}

// MetricsAddress returns the address of the metrics listener.
func (s *Settings) MetricsAddress() string {
	return fmt.Sprintf("%s:%d", s.Node.IP, s.Listen.MetricsPort)
}

// Read reads a settings file without validating it, to detect changes of its content.
func Read(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return data, nil
}

// Load reads and validates a settings file. It also returns the content of the file.
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

// Parse decodes and validates settings. The error lists every invalid key.
func Parse(data []byte) (*Settings, error) {
	plain, err := hujson.Standardize(bytes.Clone(data)) // Standardize modifies its input
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	s := &Settings{}
	if err := json.Unmarshal(plain, s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return s, s.validate()
}

// checkDistinct reports each listener that has the address of another one or of the upstream.
func (s *Settings) checkDistinct(invalid func(key string, value any, want string)) {
	users := map[string]string{s.Upstream.Address: "upstream.address"}
	for _, l := range []struct{ key, address string }{
		{"listen.peerPort", s.PeerListener()}, {"listen.outbound", s.Listen.Outbound}, {"listen.ready", s.Listen.Ready},
		{"listen.announce", s.Listen.Announce}, {"listen.metricsPort", s.MetricsAddress()},
	} {
		if other, used := users[l.address]; used && l.address != "" {
			invalid(l.key, l.address, "another address than that of "+other)
		}
		users[l.address] = l.key
	}
}

// validate returns one error that joins all invalid keys, and sets the keyring.
func (s *Settings) validate() error {
	var problems []error
	invalid := func(key string, value any, want string) {
		problems = append(problems, fmt.Errorf("%s is %v, want %s: %w", key, value, want, ErrInvalid))
	}
	for key, value := range map[string]string{
		"node.id": s.Node.ID, "node.dataCentre": s.Node.DataCentre, "node.region": s.Node.Region, "upstream.service": s.Upstream.Service,
	} {
		if value == "" {
			invalid(key, `""`, "a name")
		}
	}
	for key, value := range map[string]string{
		"upstream.address": s.Upstream.Address, "listen.outbound": s.Listen.Outbound, "listen.ready": s.Listen.Ready,
		"listen.announce": s.Listen.Announce, "store.address": s.Store.Address,
	} {
		if _, err := netip.ParseAddrPort(value); err != nil {
			invalid(key, fmt.Sprintf("%q", value), "IP:port")
		}
	}
	s.checkDistinct(invalid)
	if s.Node.ID != "" && !fleet.IsValidName(s.Node.ID) {
		invalid("node.id", fmt.Sprintf("%.40q", s.Node.ID), "at most 256 bytes of text without control characters")
	}
	if _, err := netip.ParseAddr(s.Node.IP); err != nil {
		invalid("node.ip", fmt.Sprintf("%q", s.Node.IP), "an IP address")
	}
	for key, value := range map[string]float64{
		"listen.peerPort": float64(s.Listen.PeerPort), "listen.metricsPort": float64(s.Listen.MetricsPort),
		"node.memoryMB": float64(s.Node.MemoryMB),
		"node.cpuShare": s.Node.CPUShare, "node.linkMbps": s.Node.LinkMbps,
		"bounds.graceS":       s.Bounds.GraceS,
		"bounds.retryWindowS": s.Bounds.RetryWindowS,
	} {
		if value <= 0 {
			invalid(key, value, "more than 0")
		}
	}
	for key, value := range s.Limits.invalid() {
		invalid(key, value, "0 or more")
	}
	if s.Node.MaxDescriptors < 0 {
		invalid("node.maxDescriptors", s.Node.MaxDescriptors, "0 or more")
	}
	if s.Listen.PeerAdvertised < 0 {
		invalid("listen.peerAdvertised", s.Listen.PeerAdvertised, "a port, or 0 for that of peerPort")
	}
	if s.Bounds.RetryRatio < 0 || s.Bounds.RetrySlack < 0 {
		invalid("bounds.retryRatio and bounds.retrySlack", fmt.Sprint(s.Bounds.RetryRatio, ", ", s.Bounds.RetrySlack), "0 or more")
	}
	for key, value := range map[string]float64{
		"bounds.revokeMs": s.Bounds.RevokeMs, "bounds.configApplyMs": s.Bounds.ConfigApplyMs,
		"bounds.quotaWindowS": s.Bounds.QuotaWindowS, "bounds.quotaExcess": s.Bounds.QuotaExcess, "bounds.quotaSlack": s.Bounds.QuotaSlack,
		"bounds.exposeShare": s.Bounds.ExposeShare, "bounds.exposeSlack": s.Bounds.ExposeSlack, "bounds.rollbackMs": s.Bounds.RollbackMs,
	} {
		if value < 0 {
			invalid(key, value, "0 or more")
		}
	}
	if s.Bounds.StrictRevocation && s.Bounds.RevokeMs == 0 {
		invalid("bounds.revokeMs", 0, "more than 0 where strictRevocation is set")
	}
	if s.Bounds.ExposeShare > 0 && s.Bounds.RollbackMs == 0 {
		invalid("bounds.rollbackMs", 0, "more than 0 where exposeShare is set")
	}
	if s.Bounds.ExposeShare > 1 {
		invalid("bounds.exposeShare", s.Bounds.ExposeShare, "at most 1")
	}
	if (s.Peers.CertFile == "") != (s.Peers.KeyFile == "") || (s.Peers.CertFile == "") != (s.Peers.CAFile == "") {
		invalid("peers", fmt.Sprintf("%q", s.Peers.Files()), "certFile, keyFile and caFile or none of them")
	}
	for i, text := range s.Peers.Revoked {
		if _, ok := pki.ParseSerial(text); !ok {
			invalid(fmt.Sprintf("peers.withdrawn[%d]", i), fmt.Sprintf("%q", text), "a serial number in hexadecimal")
		}
	}
	if len(s.Operators) > 0 {
		keyring, err := bundle.OperatorKeys(s.Operators)
		if err != nil {
			problems = append(problems, fmt.Errorf("%w: %w", ErrInvalid, err))
		}
		s.keyring = keyring
	}
	return errors.Join(problems...)
}
