package mesh

import "sync"

// Counter counts the traffic of one transport. Its zero value is ready; its
// methods are safe for concurrent use.
type Counter struct {
	mu      sync.Mutex
	traffic Traffic
}

// Sent counts one message that was sent.
func (c *Counter) Sent(kind Kind, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	c.traffic.SentBytes[kind] += uint64(bytes)
	c.traffic.SentCount[kind]++
}

// Received counts one message that was received.
func (c *Counter) Received(kind Kind, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	c.traffic.ReceivedBytes[kind] += uint64(bytes)
}

// Traffic returns a copy of the counts.
func (c *Counter) Traffic() Traffic {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Traffic{
		SentBytes:     copyCounts(c.traffic.SentBytes),
		ReceivedBytes: copyCounts(c.traffic.ReceivedBytes),
		SentCount:     copyCounts(c.traffic.SentCount),
	}
}

func (c *Counter) init() {
	if c.traffic.SentBytes != nil {
		return
	}
	c.traffic = Traffic{
		SentBytes:     make(map[Kind]uint64),
		ReceivedBytes: make(map[Kind]uint64),
		SentCount:     make(map[Kind]uint64),
	}
}

func copyCounts(from map[Kind]uint64) map[Kind]uint64 {
	to := make(map[Kind]uint64, len(from))
	for kind, n := range from {
		to[kind] = n
	}
	return to
}
