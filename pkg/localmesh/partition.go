package localmesh

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// relayPort is the port at which other nodes reach a host's node if Options.Partitions is set.
	relayPort = 7101
	// heldInterval is the time between two checks whether held data may pass.
	heldInterval = 5 * time.Millisecond
	// nodeHeader names the node that dials, in the handshake of a connection between two nodes.
	nodeHeader = "tarragondrum-node:"
)

// partition relays the connections between nodes and separates groups of hosts. What separated nodes
// send to each other is held and passes when the partition ends, as on a network that delays packets.
type partition struct {
	mu sync.Mutex
	// groups holds the group of each separated host by name. The others are in group 0.
	groups    map[string]int
	next      int
	listeners []net.Listener
}

// Isolate separates the nodes of some hosts from all others, but not from each other. It needs
// Options.Partitions. The store stays reachable.
func (m *Mesh) Isolate(hosts ...*Host) {
	p := &m.partition
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next++
	for _, h := range hosts {
		p.groups[h.Name] = p.next
	}
}

// Reunite ends all partitions.
func (m *Mesh) Reunite() {
	p := &m.partition
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.groups)
}

// isSeparated reports whether two hosts are separated.
func (p *partition) isSeparated(a, b string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.groups[a] != p.groups[b]
}

// relay accepts connections to the node of a host and passes them on.
func (p *partition) relay(h *Host) error {
	l, err := net.Listen("tcp", h.address(relayPort))
	if err != nil {
		return fmt.Errorf("relay of %s: %w", h.Name, err)
	}
	p.mu.Lock()
	p.listeners = append(p.listeners, l)
	p.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c, h)
		}
	}()
	return nil
}

// close ends all listeners.
func (p *partition) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.listeners {
		_ = l.Close()
	}
}

// serve relays one connection to a host until either side ends it.
func (p *partition) serve(c net.Conn, h *Host) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	head, from := "", ""
	for !strings.HasSuffix(head, "\r\n\r\n") {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		head += line
		if value, ok := strings.CutPrefix(strings.ToLower(line), nodeHeader); ok {
			from = strings.TrimSpace(value)
		}
	}
	done := make(chan struct{})
	var once sync.Once
	end := func() { once.Do(func() { close(done) }) }
	if !p.hold(from, h.Name, done) {
		return
	}
	target, err := net.Dial("tcp", h.address(peerPort))
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	if _, err := io.WriteString(target, head); err != nil {
		return
	}
	pass := func(to io.Writer, of io.Reader) {
		defer end()
		buffer := make([]byte, 64<<10)
		for {
			n, err := of.Read(buffer)
			if n > 0 && p.hold(from, h.Name, done) {
				_, writeErr := to.Write(buffer[:n])
				err = errors.Join(err, writeErr)
			}
			if err != nil {
				return
			}
		}
	}
	go pass(target, reader)
	go pass(c, target)
	<-done
}

// hold waits as long as two hosts are separated. It returns false if the connection ends first.
func (p *partition) hold(a, b string, done <-chan struct{}) bool {
	for p.isSeparated(a, b) {
		select {
		case <-done:
			return false
		case <-time.After(heldInterval):
		}
	}
	return true
}
