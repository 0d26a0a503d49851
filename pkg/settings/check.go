package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"slices"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/jsonc"
)

// Ranges of the settings.
const (
	minPlatformTimeout = 100 * time.Millisecond
	maxPlatformTimeout = time.Minute
	minProbeInterval   = 10 * time.Millisecond
	maxProbeInterval   = time.Minute
	minHeaderTimeout   = 100 * time.Millisecond
	maxHeaderTimeout   = time.Minute
	maxDrainTimeout    = time.Hour
	maxBodyBytes       = 1 << 30
	maxSlots           = 10_000
	maxConnections     = 100_000
	maxNameLength      = 63
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	levels      = []string{"debug", "info", "warn", "error"}
)

// checker collects the faults of one file.
type checker struct {
	positions *jsonc.Positions
	faults    []bundle.Fault
}

func (c *checker) check(s *Settings) {
	c.checkName("node.id", string(s.Node.ID))
	c.checkName("node.dataCentre", string(s.Node.DataCentre))
	c.checkName("node.region", string(s.Node.Region))
	c.checkPlatform(&s.Platform)
	c.checkMesh(&s.Mesh)
	c.checkCertificate(s.Node.ID, &s.Mesh)
	c.checkListeners(s)
	c.checkOperators(s.Operators)
	c.checkUpstreams(s.Upstreams)
	if !slices.Contains(levels, s.Log.Level) {
		c.fault("log.level", "level %q is unknown; known are %v", s.Log.Level, levels)
	}
	c.checkDuration("drain.timeout", s.Drain.Timeout, 0, maxDrainTimeout)
	c.checkDuration("drain.notice", s.Drain.Notice, 0, maxDrainTimeout)
	if s.Drain.Notice > s.Drain.Timeout {
		c.fault("drain.notice", "notice %s is longer than the timeout %s", s.Drain.Notice.Std(), s.Drain.Timeout.Std())
	}
}

// fault reports a fault unless the key has one already.
func (c *checker) fault(key, format string, args ...any) {
	if !c.hasFault(key) {
		c.faults = append(c.faults, c.positions.Fault(key, format, args...))
	}
}

func (c *checker) hasFault(key string) bool {
	return slices.ContainsFunc(c.faults, func(f bundle.Fault) bool { return f.Key == key })
}

func (c *checker) checkPlatform(p *Platform) {
	c.checkName("platform.mesh", p.Mesh)
	c.checkDuration("platform.timeout", p.Timeout, minPlatformTimeout, maxPlatformTimeout)
	c.checkFile("platform.tokenFile", p.TokenFile)
	c.checkFile("platform.caFile", p.CAFile)
	u, err := url.Parse(p.URL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.fault("platform.url", "URL %q must be http or https with a host", p.URL)
		return
	}
	if p.TokenFile != "" && u.Scheme == "http" && !isLoopbackHost(u.Hostname()) {
		c.fault("platform.url", "a token is sent over https or on loopback only")
	}
}

func (c *checker) checkMesh(m *Mesh) {
	c.checkDuration("mesh.probeInterval", m.ProbeInterval, minProbeInterval, maxProbeInterval)
	files := map[string]string{
		"mesh.certFile": m.CertFile, "mesh.keyFile": m.KeyFile, "mesh.caFile": m.CAFile,
	}
	given := 0
	for _, file := range files {
		if file != "" {
			given++
		}
	}
	address, ok := c.checkAddress("mesh.address", m.Address)
	required := given > 0 || (ok && !address.Addr().IsLoopback())
	for _, key := range []string{"mesh.certFile", "mesh.keyFile", "mesh.caFile"} {
		if required && files[key] == "" {
			c.fault(key, "certificate, key and CA are given together, and always for an address off loopback")
		}
		c.checkFile(key, files[key])
	}
	if ok && !address.Addr().IsLoopback() && m.SecretFile == "" {
		c.fault("mesh.secretFile", "secret is required for an address off loopback")
	}
	c.checkFile("mesh.secretFile", m.SecretFile)
	c.checkContacts(m)
}

func (c *checker) checkContacts(m *Mesh) {
	seen := make(map[string]bool)
	for i, contact := range m.Contacts {
		key := fmt.Sprintf("mesh.contacts[%d]", i)
		c.checkAddress(key, contact)
		if seen[contact] {
			c.fault(key, "contact %s is given twice", contact)
		}
		seen[contact] = true
	}
}

// checkListeners checks the other listeners, and that no two share an address.
func (c *checker) checkListeners(s *Settings) {
	c.checkAddress("inbound.address", s.Inbound.Address)
	c.checkRange("inbound.maxBodyBytes", s.Inbound.MaxBodyBytes, 0, maxBodyBytes)
	c.checkDuration("inbound.headerTimeout", s.Inbound.HeaderTimeout, minHeaderTimeout, maxHeaderTimeout)
	outbound, ok := c.checkAddress("outbound.address", s.Outbound.Address)
	if ok && !outbound.Addr().IsLoopback() {
		c.fault("outbound.address", "address %s must be on loopback: it serves the upstreams of this host only", outbound)
	}
	admin, ok := c.checkAddress("admin.address", s.Admin.Address)
	if ok && !admin.Addr().IsLoopback() && s.Admin.TokenFile == "" {
		c.fault("admin.tokenFile", "token is required for an address off loopback")
	}
	c.checkFile("admin.tokenFile", s.Admin.TokenFile)
	listeners := []struct{ key, address string }{
		{"mesh.address", s.Mesh.Address}, {"inbound.address", s.Inbound.Address},
		{"outbound.address", s.Outbound.Address}, {"admin.address", s.Admin.Address},
	}
	seen := make(map[string]string)
	for _, l := range listeners {
		if other, ok := seen[l.address]; ok && l.address != "" {
			c.fault(l.key, "address %s is also %s", l.address, other)
		}
		seen[l.address] = l.key
	}
}

func (c *checker) checkOperators(operators []Operator) {
	usable := 0
	keyIDs, publicKeys := make(map[string]bool), make(map[string]bool)
	for i, o := range operators {
		key := fmt.Sprintf("operators[%d]", i)
		c.checkName(key+".name", o.Name)
		c.checkName(key+".keyID", o.KeyID)
		if keyIDs[o.KeyID] {
			c.fault(key+".keyID", "key id %q is given twice", o.KeyID)
		}
		keyIDs[o.KeyID] = true
		if _, err := parsePublicKey(o.PublicKey); err != nil {
			c.fault(key+".publicKey", "%v", err)
		} else if publicKeys[o.PublicKey] {
			c.fault(key+".publicKey", "public key is given twice")
		}
		publicKeys[o.PublicKey] = true
		if !o.Withdrawn {
			usable++
		}
	}
	if usable == 0 {
		c.fault("operators", "no operator has a key in use, so that no bundle could come into force")
	}
}

func (c *checker) checkUpstreams(upstreams []Upstream) {
	seen := make(map[string]bool)
	for i, u := range upstreams {
		key := fmt.Sprintf("upstreams[%d]", i)
		c.checkName(key+".name", u.Name)
		c.checkName(key+".service", u.Service)
		c.checkAddress(key+".address", u.Address)
		c.checkRange(key+".slots", int64(u.Slots), 1, maxSlots)
		c.checkRange(key+".connections", int64(u.Connections), int64(max(u.Slots, 1)), maxConnections)
		if seen[u.Name] {
			c.fault(key+".name", "upstream %q is given twice", u.Name)
		}
		seen[u.Name] = true
	}
}

func (c *checker) checkName(key, name string) {
	if err := CheckNames(name); err != nil {
		c.fault(key, "%v", err)
	}
}

// CheckNames returns an error for the first name that the settings would refuse.
func CheckNames(names ...string) error {
	for _, name := range names {
		if len(name) > maxNameLength || !namePattern.MatchString(name) {
			return fmt.Errorf("name %q must be 1 to %d lower-case letters, digits and inner hyphens", name, maxNameLength)
		}
	}
	return nil
}

// checkAddress reads an IP and port that others can connect to.
func (c *checker) checkAddress(key, address string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		c.fault(key, "address %q must be an IP number and a port", address)
		return netip.AddrPort{}, false
	}
	if a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Port() == 0 {
		c.fault(key, "address %s cannot be connected to; give one IP number of this host and a port above 0", address)
		return netip.AddrPort{}, false
	}
	return a, true
}

func isLoopbackHost(host string) bool {
	a, err := netip.ParseAddr(host)
	return err == nil && a.IsLoopback()
}

func (c *checker) checkFile(key, name string) {
	if name == "" {
		return
	}
	f, err := os.Open(name)
	if err != nil {
		c.fault(key, "file cannot be read: %v", err)
		return
	}
	defer func() { _ = f.Close() }()
	info, err := f.Stat()
	if err != nil || !info.Mode().IsRegular() || info.Size() == 0 {
		c.fault(key, "file %q is not a regular file with content", name)
	}
}

func (c *checker) checkDuration(key string, d bundle.Duration, low, high time.Duration) {
	if d.Std() < low || d.Std() > high {
		c.fault(key, "duration %s must be between %s and %s", d.Std(), low, high)
	}
}

func (c *checker) checkRange(key string, n, low, high int64) {
	if n < low || n > high {
		c.fault(key, "%d must be between %d and %d", n, low, high)
	}
}
