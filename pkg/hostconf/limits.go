package hostconf

import "time"

// Limits bound what callers may take of a node. A value of 0 or none means the default, which
// no caller within the limits of the users' platform reaches.
type Limits struct {
	// CallerMemoryMB is the memory in MB of request bodies, of headers, and of requests whose
	// answers are not written yet.
	CallerMemoryMB float64 `json:"callerMemoryMB"`
	// Connections is the number of callers' connections, and ConnectionsPerAddress that of the
	// connections from one address.
	Connections           int `json:"connections"`
	ConnectionsPerAddress int `json:"connectionsPerAddress"`
	// ControlConnections is the number of connections to each of the listeners for readiness
	// checks, heartbeats and metrics.
	ControlConnections int `json:"controlConnections"`
	// RequestsAhead is the number of requests of one connection that are read before their
	// answers are written.
	RequestsAhead int `json:"requestsAhead"`
	// BodyBytesPerS is the pace that a request body must keep over each BodyStallS seconds.
	BodyBytesPerS float64 `json:"bodyBytesPerS"`
	BodyStallS    float64 `json:"bodyStallS"`
	// AnswerStallS is the time for a caller to read a part of an answer.
	AnswerStallS float64 `json:"answerStallS"`
	// ControlRequestS is the time from the first to the last byte of a readiness check,
	// heartbeat or request for metrics.
	ControlRequestS float64 `json:"controlRequestS"`
}

const (
	// defaultDescriptors is the number of descriptors of the smallest hosts of the
	// deployments.
	defaultDescriptors = 4096
	// callerMemoryShare is the part of the host's memory for CallerMemoryMB, and
	// connectionShare that for connections of connectionBytes each, which is about what their
	// goroutines, buffers and one request take.
	callerMemoryShare = 0.2
	connectionShare   = 0.15
	connectionBytes   = 32 << 10
	// descriptorShare is the part of the descriptors for callers. The others are left to
	// connections to upstreams, other nodes and the store, and to the platform, which reserves
	// 200.
	descriptorShare = 0.5
	// addressShare is the part of the connections that one address may have, so that another
	// can always connect. All ordinary callers of a host come from one address.
	addressShare = 0.9
	// controlShare is the part of the descriptors for each listener that is not for requests,
	// between minControl and maxControl. The platform, an upstream and a collector of metrics
	// need one or two connections each.
	controlShare             = 1.0 / 32
	minControl, maxControl   = 8, 64
	defaultRequestsAhead     = 128
	defaultBodyBytesPerS     = 4096
	defaultBodyStall         = 5 * time.Second
	defaultAnswerStall       = 10 * time.Second
	defaultControlRequest    = 5 * time.Second
	bytesPerMB               = 1 << 20
	minConnections           = 16
	minConnectionsPerAddress = 8
)

// Effective returns the limits with the defaults for a host in place of zeros.
func (s *Settings) Effective() Limits {
	l := s.Limits
	memory := float64(s.Node.MemoryMB)
	descriptors := float64(s.Node.MaxDescriptors)
	if descriptors == 0 {
		descriptors = defaultDescriptors
	}
	setFloat(&l.CallerMemoryMB, callerMemoryShare*memory)
	setInt(&l.Connections, max(minConnections, int(min(connectionShare*memory*bytesPerMB/connectionBytes, descriptorShare*descriptors))))
	setInt(&l.ConnectionsPerAddress, max(minConnectionsPerAddress, int(addressShare*float64(l.Connections))))
	setInt(&l.ControlConnections, min(max(int(controlShare*descriptors), minControl), maxControl))
	setInt(&l.RequestsAhead, defaultRequestsAhead)
	setFloat(&l.BodyBytesPerS, defaultBodyBytesPerS)
	setFloat(&l.BodyStallS, defaultBodyStall.Seconds())
	setFloat(&l.AnswerStallS, defaultAnswerStall.Seconds())
	setFloat(&l.ControlRequestS, defaultControlRequest.Seconds())
	return l
}

func setInt(v *int, value int) {
	if *v == 0 {
		*v = value
	}
}

func setFloat(v *float64, value float64) {
	if *v == 0 {
		*v = value
	}
}

// CallerMemory returns CallerMemoryMB in bytes.
func (l *Limits) CallerMemory() int64 { return int64(l.CallerMemoryMB * bytesPerMB) }

// BodyStall returns BodyStallS as a duration.
func (l *Limits) BodyStall() time.Duration { return seconds(l.BodyStallS) }

// AnswerStall returns AnswerStallS as a duration.
func (l *Limits) AnswerStall() time.Duration { return seconds(l.AnswerStallS) }

// ControlRequest returns ControlRequestS as a duration.
func (l *Limits) ControlRequest() time.Duration { return seconds(l.ControlRequestS) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// invalid returns the keys whose value is negative.
func (l *Limits) invalid() map[string]float64 {
	all := map[string]float64{
		"limits.callerMemoryMB": l.CallerMemoryMB, "limits.connections": float64(l.Connections),
		"limits.connectionsPerAddress": float64(l.ConnectionsPerAddress), "limits.controlConnections": float64(l.ControlConnections),
		"limits.requestsAhead": float64(l.RequestsAhead), "limits.bodyBytesPerS": l.BodyBytesPerS, "limits.bodyStallS": l.BodyStallS,
		"limits.answerStallS": l.AnswerStallS, "limits.controlRequestS": l.ControlRequestS,
	}
	for key, value := range all {
		if value >= 0 {
			delete(all, key)
		}
	}
	return all
}
