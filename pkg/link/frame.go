// Package link carries calls between two nodes as CBOR frames over WebSocket. Calls go from
// the node that dialled to the node that accepted, so two nodes that call each other have
// two connections.
//
// A call survives the loss of its connection. The calling node dials again and resends its
// open calls under their old ids. The serving node runs each id at most once, and replies to
// a resent call with the answer that it has stored. A call that was sent to one incarnation
// (one process lifetime) of a node never runs on another.
package link

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/fxamacker/cbor/v2"

	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/h1"
	"github.com/tarragondrum/tarragondrum/pkg/memory"
	"github.com/tarragondrum/tarragondrum/pkg/pack"
	"github.com/tarragondrum/tarragondrum/pkg/quota"
	"github.com/tarragondrum/tarragondrum/pkg/release"
)

// ErrFrame is returned for a frame or host table that cannot be decoded.
var ErrFrame = errors.New("link: malformed frame")

const (
	// linkPath is the HTTP path of the WebSocket endpoint.
	linkPath = "/link/v1"
	// maxFrameBytes is the largest accepted frame. A body that comes in parts may not be larger
	// either.
	maxFrameBytes = 96 << 20
)

// kind is the type of a frame.
type kind uint8

const (
	kindHello kind = iota + 1
	kindCall
	kindAnswer
	kindCancel
	kindPing
	kindPong
	kindStateUpdate
	kindPart
	kindPartRequest
	kindBodyPart
)

// frame is one WebSocket message. Kind decides which of the other fields are set.
type frame struct {
	Kind kind `cbor:"1,keyasint"`
	// ID is the call's id, which its sender chose. News, pings and pongs have none.
	ID          uint64       `cbor:"2,keyasint,omitempty"`
	Call        *Call        `cbor:"3,keyasint,omitempty"`
	Answer      *Answer      `cbor:"4,keyasint,omitempty"`
	StateUpdate *StateUpdate `cbor:"5,keyasint,omitempty"`
	Part        *part        `cbor:"6,keyasint,omitempty"`
	PartRequest *partRequest `cbor:"7,keyasint,omitempty"`
	// continues is set on the parts of a large answer before the last one.
	continues bool
}

// part is a chunk of the body of a large answer or call, at its offset in the body. The first chunk
// of an answer comes in the answer frame.
type part struct {
	Offset int    `cbor:"1,keyasint"`
	Body   []byte `cbor:"2,keyasint"`
}

// partRequest asks the calling node for a part of the body of a call.
type partRequest struct {
	Offset int `cbor:"1,keyasint"`
	Bytes  int `cbor:"2,keyasint"`
}

// Call is a request that is forwarded to the node on the upstream's host.
type Call struct {
	// Incarnation is the incarnation of the serving node to which the call was first sent.
	Incarnation int64 `cbor:"1,keyasint"`
	// Resent is set when the call is resent after an earlier connection was lost.
	Resent     bool        `cbor:"2,keyasint,omitempty"`
	Service    string      `cbor:"3,keyasint"`
	UpstreamID string      `cbor:"4,keyasint"`
	Route      string      `cbor:"5,keyasint"`
	Method     string      `cbor:"6,keyasint"`
	Target     string      `cbor:"7,keyasint"`
	Host       string      `cbor:"8,keyasint"`
	Header     http.Header `cbor:"9,keyasint"`
	Body       []byte      `cbor:"10,keyasint,omitempty"`
	// RemainingMs is the time left until the request's deadline, in milliseconds.
	RemainingMs int64 `cbor:"11,keyasint"`
	// LatencyTargetMs is the time left until the route's latency target is missed, in milliseconds.
	LatencyTargetMs int64 `cbor:"12,keyasint"`
	Priority        int   `cbor:"13,keyasint"`
	// MayQueue lets the call queue for a free slot. Without it the call is refused at once if
	// there is none.
	MayQueue   bool `cbor:"14,keyasint,omitempty"`
	Idempotent bool `cbor:"15,keyasint,omitempty"`
	// Fingerprint is a hash that is equal for equivalent requests.
	Fingerprint uint64 `cbor:"16,keyasint"`
	// LargeAnswer is set when the answer may take up the network link for a while.
	LargeAnswer bool `cbor:"17,keyasint,omitempty"`
	// KnownLimit is the limit that the upstream named in its newest answer to the calling
	// node, nil without one.
	KnownLimit *KnownLimit `cbor:"18,keyasint,omitempty"`
	// Organisation is the name of the caller's organisation, empty without one. Weight is its share
	// of scarce capacity in relation to others: its rate limit in requests a second, or 0 without a
	// limit.
	Organisation string  `cbor:"19,keyasint,omitempty"`
	Weight       float64 `cbor:"20,keyasint,omitempty"`
	// Nested is set when a request that runs at the upstream of the calling node made the
	// call.
	Nested bool `cbor:"21,keyasint,omitempty"`
	// BodySize is the length of the body if the serving node requests it in parts, and 0 if Body is
	// complete.
	BodySize int `cbor:"22,keyasint,omitempty"`
	// Fetch receives the body of a call with a BodySize and sets Body. Until it has returned nil, the
	// call must not run. It is nil if Body is complete.
	Fetch func(ctx context.Context) error `cbor:"-"`
	// ExpectedMs is the slot time in milliseconds that the calling node expects of the request at
	// an upstream of usual speed, 0 if it doesn't know.
	ExpectedMs float64 `cbor:"23,keyasint,omitempty"`
	// Local is set when the upstream runs on the calling node's own host.
	Local bool `cbor:"-"`
}

// PullRank returns the rank of the call's body on the inbound link. Bodies of lower ranks are
// received first.
func (c *Call) PullRank() int {
	rank := 2 * c.Priority
	if !c.Nested {
		rank++
	}
	return rank
}

// KnownLimit is a limit of requests a second and the start time of the upstream process that
// named it.
type KnownLimit struct {
	PerS float64 `cbor:"1,keyasint"`
	Born int64   `cbor:"2,keyasint"`
}

// Outcome says whether a call ran.
type Outcome string

// The outcomes of a call.
const (
	// Ran: the call ran and the upstream answered.
	Ran Outcome = "ran"
	// NotRun: the call did not run and never will.
	NotRun Outcome = "not-run"
	// Unknown: the call may have run.
	Unknown Outcome = "unknown"
)

// Answer is the result of a call.
type Answer struct {
	Outcome Outcome `cbor:"1,keyasint"`
	// Reason says why there is no upstream answer, and is empty when there is one.
	Reason string      `cbor:"2,keyasint,omitempty"`
	Status int         `cbor:"3,keyasint,omitempty"`
	Header http.Header `cbor:"4,keyasint,omitempty"`
	Body   []byte      `cbor:"5,keyasint,omitempty"`
	// RetryAfterMs is how long to wait before a refused call is retried, in milliseconds.
	RetryAfterMs int64 `cbor:"6,keyasint,omitempty"`
	// ReachedUpstream is set when the request reached the upstream, whether or not it ran.
	ReachedUpstream bool `cbor:"7,keyasint,omitempty"`
	Load            Load `cbor:"8,keyasint"`
	// BodySize is the length of the whole body when Body holds only its first part, and 0 when
	// Body is complete.
	BodySize int `cbor:"9,keyasint,omitempty"`
	// Called are the services that the request called while it ran.
	Called []CalledService `cbor:"10,keyasint,omitempty"`
	// SlotMs is the time in milliseconds that the request held a slot until its successful answer,
	// 0 without one.
	SlotMs float64 `cbor:"11,keyasint,omitempty"`
	// Memory is the memory reserved for the body. The last owner of the answer releases it.
	Memory *memory.Reservation `cbor:"-"`
}

// isMalformed reports whether an answer says that the call ran, and cannot be that of an upstream.
func (a *Answer) isMalformed() bool {
	return a.Outcome == Ran && (!h1.IsFinalStatus(a.Status) || !h1.HasValidNames(a.Header))
}

// CalledService is a service that a request called while it ran.
type CalledService struct {
	Service string `cbor:"1,keyasint"`
	// Failed is set when the request failed and a call to the service was refused or late.
	Failed bool `cbor:"2,keyasint,omitempty"`
}

// Load is the load of an upstream as measured by the node on its host. It comes with every
// answer.
type Load struct {
	// Running, Queued and Slots count requests that run, requests that wait, and requests that
	// may run at once.
	Running int `cbor:"1,keyasint,omitempty"`
	Queued  int `cbor:"2,keyasint,omitempty"`
	Slots   int `cbor:"3,keyasint,omitempty"`
	// MeanMs is the mean latency of the most recent answers, in milliseconds.
	MeanMs float64 `cbor:"4,keyasint,omitempty"`
	// FailureRate is the failure rate of the most recent requests, 0 to 1.
	FailureRate float64 `cbor:"5,keyasint,omitempty"`
	// UplinkWaitMs is how long large answers wait for the host's network link, and UplinkMsPerKB how
	// long the link takes to send one kilobyte, both in milliseconds.
	UplinkWaitMs  float64 `cbor:"6,keyasint,omitempty"`
	UplinkMsPerKB float64 `cbor:"7,keyasint,omitempty"`
	// Limit is the limit that the upstream named, nil without one.
	Limit *Limit `cbor:"8,keyasint,omitempty"`
	// QueuedNested counts those of Queued that are nested calls.
	QueuedNested int `cbor:"9,keyasint,omitempty"`
	// DownlinkWaitMs is how long a new large body waits for the host's inbound link, in
	// milliseconds.
	DownlinkWaitMs float64 `cbor:"10,keyasint,omitempty"`
	// WorkMs is the slot time in milliseconds that the running and waiting requests are still
	// expected to take at this upstream.
	WorkMs float64 `cbor:"11,keyasint,omitempty"`
	// Speed is the time that the upstream takes relative to what calling nodes expect at one of
	// usual speed, 0 if it is not known.
	Speed float64 `cbor:"12,keyasint,omitempty"`
}

// Limit is the limit of an upstream's requests a second.
type Limit struct {
	// PerS is the number of requests a second that the upstream accepts from all nodes
	// together.
	PerS float64 `cbor:"1,keyasint"`
	// Free is the number of further requests that the limit allows at once. It is negative
	// while requests wait for the limit.
	Free float64 `cbor:"2,keyasint"`
}

// StateUpdate is the state that nodes exchange apart from calls. Every field is optional.
type StateUpdate struct {
	// Hosts are host records, the sender's own among them.
	Hosts []fleet.Host `cbor:"1,keyasint,omitempty"`
	// ConfigVersion is the version of the configuration that the sender uses.
	ConfigVersion uint64 `cbor:"2,keyasint,omitempty"`
	// ConfigRevision and Config are the number of a store revision and the compressed
	// configuration. They are set only in response to WantConfigAfter.
	ConfigRevision uint64 `cbor:"3,keyasint,omitempty"`
	Config         []byte `cbor:"4,keyasint,omitempty"`
	// WantConfigAfter requests the configuration if the receiver has a newer version than this.
	WantConfigAfter *uint64 `cbor:"5,keyasint,omitempty"`
	// Crashes are requests that were running when an upstream crashed. A node that greets
	// another sends those that it knows.
	Crashes []Crash `cbor:"6,keyasint,omitempty"`
	// LeadRank is the rank of a lead node that has just reached the store, empty in other updates.
	LeadRank string `cbor:"7,keyasint,omitempty"`
	// Removed are hosts whose records were deleted.
	Removed []fleet.Removal `cbor:"8,keyasint,omitempty"`
	// Subscribe subscribes the sender to all state updates of the receiver.
	Subscribe bool `cbor:"9,keyasint,omitempty"`
	// LeadRun and LeadSequence identify an announcement of a lead: LeadRun the process that made it, and
	// LeadSequence its position, which grows within a process.
	LeadRun      int64  `cbor:"10,keyasint,omitempty"`
	LeadSequence uint64 `cbor:"11,keyasint,omitempty"`
	// Persisted are versions of host records that are now in the store, for hosts that wait for
	// this confirmation.
	Persisted []fleet.Version `cbor:"12,keyasint,omitempty"`
	// HostsDigest is the digest of the sender's host table.
	HostsDigest *uint64 `cbor:"13,keyasint,omitempty"`
	// WantHosts requests the whole host table. HostTable is a host table as PackHosts encodes it.
	WantHosts bool   `cbor:"14,keyasint,omitempty"`
	HostTable []byte `cbor:"15,keyasint,omitempty"`
	// ConfigEpoch is the epoch of the store in which the configuration of ConfigVersion was read, 0
	// from a node that does not tell it.
	ConfigEpoch uint64 `cbor:"16,keyasint,omitempty"`
	// StoreEpoch is the latest epoch of the store that the lead of an announcement knows.
	StoreEpoch uint64 `cbor:"17,keyasint,omitempty"`
	// ProofRequest is the number of a request for a Proof, 0 if there is none.
	ProofRequest uint64 `cbor:"18,keyasint,omitempty"`
	// Proof answers a ProofRequest. A node that has no proof itself does not answer.
	Proof *Proof `cbor:"19,keyasint,omitempty"`
	// QuotaRequest asks a hub for tokens of organisations with limits, and QuotaGrant answers it.
	QuotaRequest *quota.Request `cbor:"22,keyasint,omitempty"`
	QuotaGrant   *quota.Grant   `cbor:"23,keyasint,omitempty"`
	// Rollouts are states of roll-outs of service versions. They come from the coordinator of
	// each, or from a node that greets another or corrects an outdated state.
	Rollouts []release.State `cbor:"24,keyasint,omitempty"`
	// RolloutReports are the counts of nodes for the coordinator of a roll-out.
	RolloutReports []release.Report `cbor:"25,keyasint,omitempty"`
	// Completed are the fingerprints of requests that were suspected of crashing upstreams and
	// have completed on one.
	Completed []uint64 `cbor:"26,keyasint,omitempty"`
}

// Proof says that the sender's configuration was the newest in the store some time ago.
type Proof struct {
	// Number is that of the ProofRequest.
	Number uint64 `cbor:"1,keyasint"`
	// Version and Content identify the configuration. Content is a hash of it.
	Version uint64 `cbor:"2,keyasint"`
	Content uint64 `cbor:"3,keyasint"`
	// AgeMs is the age of the sender's proof in milliseconds, rounded up.
	AgeMs int64 `cbor:"4,keyasint"`
	// Epoch is the epoch of the store that confirmed the configuration.
	Epoch uint64 `cbor:"5,keyasint,omitempty"`
}

// PackHosts encodes and compresses a host table for StateUpdate.HostTable.
func PackHosts(hosts []fleet.Host) ([]byte, error) {
	raw, err := cbor.Marshal(hosts)
	if err != nil {
		return nil, fmt.Errorf("encode %d hosts: %w", len(hosts), err)
	}
	return pack.Compress(raw), nil
}

// UnpackHosts decodes a host table that PackHosts encoded.
func UnpackHosts(table []byte) ([]fleet.Host, error) {
	raw, err := pack.Decompress(table)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFrame, err)
	}
	var hosts []fleet.Host
	if err := decoder.Unmarshal(raw, &hosts); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFrame, err)
	}
	return hosts, nil
}

// Crash reports that an upstream crashed while a request was running on it.
type Crash struct {
	// Fingerprint is that of the request.
	Fingerprint uint64 `cbor:"1,keyasint"`
	// UpstreamID and Born identify the upstream process that crashed.
	UpstreamID string `cbor:"2,keyasint"`
	Born       int64  `cbor:"3,keyasint"`
	// AgeMs is the time since the crash in milliseconds.
	AgeMs int64 `cbor:"4,keyasint,omitempty"`
}

// decoder limits arrays and maps to 131072 entries, which bounds the memory that a malformed
// frame can take.
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
