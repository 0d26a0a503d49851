// Package link carries calls between two nodes: CBOR frames over one WebSocket
// in each direction. The node that dials is the one that calls.
//
// A call outlives its connection. When a connection is lost, the caller dials
// again and sends the open calls once more under their old ids; the other node
// runs each id at most once and answers from what it already has. A call that
// was sent to one incarnation of a node never runs on another.
package link

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/fxamacker/cbor/v2"

	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/memory"
	"github.com/tarragondrum/tarragondrum/pkg/pack"
)

// ErrFrame is returned for a frame that cannot be read.
var ErrFrame = errors.New("link: frame cannot be read")

const (
	// path is where nodes connect.
	path = "/link/v1"
	// maxFrameBytes bounds a frame, which holds one request or answer whole.
	maxFrameBytes = 96 << 20
)

// kind tells frames apart.
type kind uint8

const (
	kindHello kind = iota + 1
	kindCall
	kindAnswer
	kindCancel
	kindPing
	kindPong
	kindNews
	kindPart
)

type frame struct {
	Kind   kind    `cbor:"1,keyasint"`
	ID     uint64  `cbor:"2,keyasint,omitempty"`
	Call   *Call   `cbor:"3,keyasint,omitempty"`
	Answer *Answer `cbor:"4,keyasint,omitempty"`
	News   *News   `cbor:"5,keyasint,omitempty"`
	Part   *part   `cbor:"6,keyasint,omitempty"`
}

// part is a piece of the body of a large answer. Its first one comes with the answer.
type part struct {
	Offset int    `cbor:"1,keyasint"`
	Body   []byte `cbor:"2,keyasint"`
}

// Call is a request on its way to the node beside an upstream.
type Call struct {
	// Incarnation is the one of the node that the call was first sent to.
	Incarnation int64 `cbor:"1,keyasint"`
	// Again tells that the call was sent before on another connection.
	Again      bool        `cbor:"2,keyasint,omitempty"`
	Service    string      `cbor:"3,keyasint"`
	UpstreamID string      `cbor:"4,keyasint"`
	Route      string      `cbor:"5,keyasint"`
	Method     string      `cbor:"6,keyasint"`
	Target     string      `cbor:"7,keyasint"`
	Host       string      `cbor:"8,keyasint"`
	Header     http.Header `cbor:"9,keyasint"`
	Body       []byte      `cbor:"10,keyasint,omitempty"`
	// LeftMs is the time until the request's deadline.
	LeftMs int64 `cbor:"11,keyasint"`
	// AimMs is the time until the answer is late for its caller.
	AimMs    int64 `cbor:"12,keyasint"`
	Priority int   `cbor:"13,keyasint"`
	// MayWait lets the call wait for a slot; otherwise it is refused at once.
	MayWait    bool `cbor:"14,keyasint,omitempty"`
	Idempotent bool `cbor:"15,keyasint,omitempty"`
	// Fingerprint is equal for requests that do the same.
	Fingerprint uint64 `cbor:"16,keyasint"`
	// Large tells that the answer may fill a link for a while.
	Large bool `cbor:"17,keyasint,omitempty"`
	// Local tells that the call stays on its host.
	Local bool `cbor:"-"`
}

// Outcome says whether a call ran.
type Outcome string

// The outcomes of a call.
const (
	// Ran: the upstream answered.
	Ran Outcome = "ran"
	// NotRun: the call did not run and never will.
	NotRun Outcome = "not-run"
	// Unknown: the call may have run.
	Unknown Outcome = "unknown"
)

// Answer is the end of a call.
type Answer struct {
	Outcome Outcome `cbor:"1,keyasint"`
	// Reason is empty when the upstream answered.
	Reason string      `cbor:"2,keyasint,omitempty"`
	Status int         `cbor:"3,keyasint,omitempty"`
	Header http.Header `cbor:"4,keyasint,omitempty"`
	Body   []byte      `cbor:"5,keyasint,omitempty"`
	// RetryAfterMs is when a refused call may come again.
	RetryAfterMs int64 `cbor:"6,keyasint,omitempty"`
	// Arrived tells that the upstream got the request, whether it ran or not.
	Arrived bool `cbor:"7,keyasint,omitempty"`
	Load    Load `cbor:"8,keyasint"`
	// Size is that of the whole body where Body is only its first part.
	Size int `cbor:"9,keyasint,omitempty"`
	// Held is the memory of the body, which whoever has the answer last releases.
	Held *memory.Hold `cbor:"-"`
}

// Load is what the node beside an upstream says of it.
type Load struct {
	Running int `cbor:"1,keyasint,omitempty"`
	Queued  int `cbor:"2,keyasint,omitempty"`
	Slots   int `cbor:"3,keyasint,omitempty"`
	// MeanMs is the mean time of its newest answers.
	MeanMs float64 `cbor:"4,keyasint,omitempty"`
	// Failing is the share of its newest requests that failed, 0 to 1.
	Failing float64 `cbor:"5,keyasint,omitempty"`
	// LinkMs is how long large answers wait for the host's link, and LinkKBMs how long
	// a kilobyte takes on it.
	LinkMs   float64 `cbor:"6,keyasint,omitempty"`
	LinkKBMs float64 `cbor:"7,keyasint,omitempty"`
}

// News is what nodes tell each other beside calls.
type News struct {
	// Hosts are records of hosts, the sender's own among them.
	Hosts []fleet.Host `cbor:"1,keyasint,omitempty"`
	// ConfigVersion is the version in force on the sender.
	ConfigVersion uint64 `cbor:"2,keyasint,omitempty"`
	// ConfigRevision and Config, compressed, are set where the receiver asked for
	// them.
	ConfigRevision uint64 `cbor:"3,keyasint,omitempty"`
	Config         []byte `cbor:"4,keyasint,omitempty"`
	// WantNewer asks for a configuration newer than this version.
	WantNewer *uint64 `cbor:"5,keyasint,omitempty"`
	// Crashes are requests that ran when an upstream crashed.
	Crashes []Crash `cbor:"6,keyasint,omitempty"`
	// Lead is the rank of a sender that reached the store just now.
	Lead string `cbor:"7,keyasint,omitempty"`
	// Removed are hosts whose entries were taken away.
	Removed []fleet.Removal `cbor:"8,keyasint,omitempty"`
	// Follow asks for everything that nodes tell each other.
	Follow bool `cbor:"9,keyasint,omitempty"`
	// Run and Number tell announcements of a lead apart: those of one process count up.
	Run    int64  `cbor:"10,keyasint,omitempty"`
	Number uint64 `cbor:"11,keyasint,omitempty"`
	// Saved are records that the store has now and whose hosts wait for that.
	Saved []fleet.Version `cbor:"12,keyasint,omitempty"`
	// Digest is that of the sender's table of hosts.
	Digest *uint64 `cbor:"13,keyasint,omitempty"`
	// WantHosts asks for the whole table, and Table is one, compressed.
	WantHosts bool   `cbor:"14,keyasint,omitempty"`
	Table     []byte `cbor:"15,keyasint,omitempty"`
}

// PackHosts returns a table as News carries it.
func PackHosts(hosts []fleet.Host) ([]byte, error) {
	raw, err := cbor.Marshal(hosts)
	if err != nil {
		return nil, fmt.Errorf("encode %d hosts: %w", len(hosts), err)
	}
	return pack.Pack(raw), nil
}

// UnpackHosts returns what PackHosts was given.
func UnpackHosts(table []byte) ([]fleet.Host, error) {
	raw, err := pack.Unpack(table)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFrame, err)
	}
	var hosts []fleet.Host
	if err := decoder.Unmarshal(raw, &hosts); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFrame, err)
	}
	return hosts, nil
}

// Crash tells that an upstream crashed while a request ran.
type Crash struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	// UpstreamID and Born name the life that ended.
	UpstreamID string `cbor:"2,keyasint"`
	Born       int64  `cbor:"3,keyasint"`
}

var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 17}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

func encode(f *frame) ([]byte, error) {
	data, err := cbor.Marshal(f)
	if err != nil {
		return nil, fmt.Errorf("encode frame: %w", err)
	}
	return data, nil
}

func decode(data []byte) (*frame, error) {
	var f frame
	if err := decoder.Unmarshal(data, &f); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFrame, err)
	}
	return &f, nil
}
