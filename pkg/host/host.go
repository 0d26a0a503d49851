// Package host assembles the process that runs beside an upstream on the users'
// platform. Durable state is in the platform's store; the process writes nothing to
// its host.
//
// Rules about an upstream are enforced by the node beside it, since all calls to the
// upstream pass through that node. Rules about a caller are enforced by the node that
// the caller sends its requests to.
package host

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/dispatch"
	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/h1"
	"github.com/tarragondrum/tarragondrum/pkg/handover"
	"github.com/tarragondrum/tarragondrum/pkg/hostconf"
	"github.com/tarragondrum/tarragondrum/pkg/intake"
	"github.com/tarragondrum/tarragondrum/pkg/kernel"
	"github.com/tarragondrum/tarragondrum/pkg/link"
	"github.com/tarragondrum/tarragondrum/pkg/memory"
	"github.com/tarragondrum/tarragondrum/pkg/meshconf"
	"github.com/tarragondrum/tarragondrum/pkg/metric"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/pace"
	"github.com/tarragondrum/tarragondrum/pkg/pki"
	"github.com/tarragondrum/tarragondrum/pkg/suspect"
	"github.com/tarragondrum/tarragondrum/platform"
)

const (
	// heapShare is the part of the host's memory for the heap, answerShare for the bodies of
	// answers, and frameShare for frames of other nodes while they arrive.
	heapShare   = 0.6
	answerShare = 0.2
	frameShare  = 0.1
	// gcPercent is the growth of the heap, in percent, after which garbage is collected. The live
	// heap is small, so collecting twice as often as by default costs little processor time and
	// lowers the peak of a node's memory by a seventh.
	gcPercent = 50
	// defaultHeaderBytes and the next three are the limits until a configuration is known,
	// and for those that a configuration omits.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 1 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// Node is one process of the mesh, beside one upstream.
type Node struct {
	path     string
	settings atomic.Pointer[hostconf.Settings]
	raw      []byte
	log      *event.Log
	output   *event.Bounded
	registry *metric.Registry
	observer *observer

	config   meshconf.Holder
	table    *fleet.Table
	suspects *suspect.Tracker
	storePtr atomic.Pointer[platform.Store]
	// storeEpoch is the latest known epoch of the store, 0 before its first answer.
	storeEpoch atomic.Uint64
	record     *record
	rosters    *rosters
	peers      *peers
	lead       *lead
	currency   *currencyKeeper
	quotas     *quotas
	rollouts   *rollouts
	intake     *intake.Service
	dispatch   *dispatch.Service
	outbound   *h1.Server
	listeners  listeners
	// answers bounds the memory of all answers in progress, and uplink limits the rate of
	// the host's link.
	answers *memory.Budget
	uplink  *pace.Uplink
	// frames bounds the memory of all frames that are being received from other nodes.
	frames *memory.Budget
	// bodies bounds the memory of all requests in progress, and downlink schedules the large ones
	// that other nodes send to this host.
	bodies   *memory.Budget
	downlink *pace.Downlink
	started  time.Time
	// processID identifies this process to other nodes. Together with a call's id it lets
	// them recognise a call that is sent again.
	processID int64
	stopping  atomic.Bool
	listening atomic.Bool

	// credentials secure the connections between nodes; nil leaves them in plain text.
	credentials *pki.Credentials
	// keyring holds the operators' keys; with nil, configurations of the store need no
	// signature.
	keyring atomic.Pointer[bundle.Keyring]
	// appliedAt is when the configuration in force was applied, and refused the last one
	// that was rejected since.
	appliedAt atomic.Pointer[time.Time]
	refused   atomic.Pointer[handover.Refusal]

	reloadMu sync.Mutex

	kernel   *kernel.Kernel
	killOnce sync.Once
}

// New assembles a node from its settings file. Nothing is opened before Start.
func New(path string, out io.Writer) (*Node, error) {
	s, raw, err := hostconf.Load(path)
	if err != nil {
		return nil, err
	}
	n := &Node{
		path: path, raw: raw,
		output:   event.NewBounded(out),
		registry: metric.NewRegistry(),
		table:    fleet.NewTable(),
		suspects: suspect.NewTracker(),
		kernel:   kernel.New(),
	}
	n.started = time.Now()
	n.processID = rand.Int64()
	n.settings.Store(s)
	n.keyring.Store(s.Keyring())
	n.log = event.New(n.output, event.LevelInfo, s.Node.ID)
	n.observer = newObserver(n.registry, n.log)
	if s.Peers.UsesTLS() {
		n.credentials, err = pki.Load(s.Peers.Files(), func(err error) { n.log.Emit(event.CertificateReloadFailed, event.F("error", err)) })
		if err != nil {
			return nil, fmt.Errorf("host: %w", err)
		}
		n.credentials.Revoke(s.Peers.RevokedSerials())
	}
	n.answers = memory.New(int64(answerShare * float64(s.Node.MemoryMB) * (1 << 20)))
	n.frames = memory.New(int64(frameShare * float64(s.Node.MemoryMB) * (1 << 20)))
	n.uplink = pace.NewUplink(s.Node.LinkMbps)
	n.observer.watchLoads(n.registry, n.answers, n.uplink)
	limits := s.Effective()
	n.bodies = memory.New(limits.CallerMemory())
	n.downlink = pace.NewDownlink(s.Node.LinkMbps)
	n.observer.bodies.watch(n.registry, n.bodies, n.downlink)
	n.observer.watchStore(n.registry, &n.storeEpoch)
	n.storePtr.Store(n.newStore(s.Store.Address))
	n.record = newRecord(n)
	n.rosters = newRosters(n)
	n.quotas = newQuotas(n)
	n.peers = newPeers(n)
	n.currency = newCurrencyKeeper(n)
	jitter := rand.Float64()
	n.lead = &lead{node: n, jitter: jitter, election: fleet.NewLeadElection(rankOf(s), takeOverDelay(s, jitter))}
	n.rollouts = newRollouts(n)
	n.intake = n.newIntake(s)
	n.dispatch = n.newDispatch(s)
	n.observer.watchUpstreamLimit(n.registry, n.intake)
	n.outbound = n.newOutbound(s)
	if err := n.kernel.Register(n.services()...); err != nil {
		return nil, fmt.Errorf("host: %w", err)
	}
	return n, nil
}

func (n *Node) newIntake(s *hostconf.Settings) *intake.Service {
	return intake.New(intake.Options{
		Headers: intake.Headers{
			RequestID: platform.HeaderRequestID, Deadline: platform.HeaderDeadline, Signature: platform.HeaderSignature,
			NotExecuted: platform.HeaderNotExecuted, Expected: platform.HeaderExpected,
		},
		Pool:     h1.NewPool(s.Upstream.Address, n.answers, n.observer.opened.Inc),
		Uplink:   n.uplink,
		Downlink: n.downlink,
		IsPoison: n.poisoned,
		OnCrash:  n.crashed,
		OnRecovery: func(u fleet.Upstream) {
			n.log.Emit(event.UpstreamRecovered, event.F("upstream", u.ID), event.F("born", u.Born))
		},
		OnMeanHalved: func(route string, mean time.Duration) {
			n.log.Emit(event.RouteMeanHalved, event.F("route", route), event.F("meanMs", mean.Milliseconds()))
		},
		DecodeNotice: platform.DecodeNotice,
		OnNotice:     n.upstreamNotice,
		OnOutcome: func(c *link.Call, a *link.Answer, t intake.Timing) {
			if a.Outcome == link.Ran && a.Status < http.StatusInternalServerError {
				n.requestCompleted(c.Fingerprint)
			}
			n.observer.call(c.Header.Get(platform.HeaderRequestID), c, a, t)
		},
		OnNestedExcess: n.observer.nested.excess,
		OnHang:         n.observer.hang,
	})
}

func (n *Node) newDispatch(s *hostconf.Settings) *dispatch.Service {
	return dispatch.New(dispatch.Options{
		Versions: n.versions(),
		Headers: dispatch.Headers{
			RequestID: platform.HeaderRequestID, Deadline: platform.HeaderDeadline, Caller: platform.HeaderCaller,
			Expected: platform.HeaderExpected, Signature: platform.HeaderSignature,
			Authorization: platform.HeaderAuthorization, Organisation: platform.HeaderOrganisation, KeyScheme: platform.KeyScheme,
		},
		Node:            s.Node.ID,
		DataCentre:      s.Node.DataCentre,
		Region:          s.Node.Region,
		Service:         s.Upstream.Service,
		Config:          &n.config,
		Table:           n.table,
		Send:            n.peers.send,
		Reachable:       n.peers.reachable,
		Budget:          n.budget,
		DecodeKey:       platform.DecodeKey,
		Currency:        n.currency.ofRequest,
		Parents:         n.intake,
		Quota:           n.quotas,
		Poisoned:        n.poisoned,
		OnCompleted:     n.requestCompleted,
		DecodeNotice:    platform.DecodeNotice,
		OnFinish:        n.observer.request,
		OnPanic:         n.panicked,
		OnRetryDecision: n.observer.repeated,
		OnCallsOverload: n.observer.nested.overloaded,
		OnAvoidChange: func(node string, share float64, avoided bool) {
			e := event.UpstreamReinstated
			if avoided {
				e = event.UpstreamAvoided
			}
			n.log.Emit(e, event.F("host", node), event.F("withoutAnswer", math.Round(100*share)/100))
		},
	})
}

// upstreamNotice processes what the upstream of this host tells about itself in an answer.
func (n *Node) upstreamNotice(u fleet.Upstream, c intake.NoticeChange) {
	n.observer.notice(u, c)
	if c.After.Leaving && !c.Before.Leaving {
		n.record.markLeaving(u)
	}
}

// panicked logs and counts a recovered panic.
func (n *Node) panicked(where string, value any, stack []byte) {
	n.observer.panics.WithLabelValues(where).Inc()
	n.log.Emit(event.PanicRecovered, event.F("where", where), event.F("value", fmt.Sprint(value)), event.F("stack", string(stack)))
}

func (n *Node) store() *platform.Store { return n.storePtr.Load() }

// newStore returns a client of the store at an address.
func (n *Node) newStore(address string) *platform.Store {
	return platform.NewStore(address, platform.StoreHooks{Called: n.observer.storeCall, EpochSeen: n.observeEpoch})
}

// observeEpoch records the epoch of the store. If an earlier one was known, the store was
// restored from an older copy, and what this node knows to be in the store may be lost.
func (n *Node) observeEpoch(epoch uint64) {
	known := n.storeEpoch.Load()
	for epoch > known && !n.storeEpoch.CompareAndSwap(known, epoch) {
		known = n.storeEpoch.Load()
	}
	if epoch <= known || known == 0 {
		return
	}
	n.log.Emit(event.StoreRestored, event.F("before", known), event.F("epoch", epoch))
	n.lead.noteRestored()
	n.currency.tracker.ObserveEpoch(epoch)
	n.forgetStore()
}

// forgetStore discards what this node knows to be in the store.
func (n *Node) forgetStore() {
	n.lead.forgetRevisions()
	n.rosters.forgetStored()
	n.peers.tree.forgetSaved()
	n.record.forgetSaved()
}

// staleAnswer is the answer to a call that may have run on an earlier process.
var staleAnswer = &link.Answer{Outcome: link.Unknown, Reason: intake.ReasonStale, ReachedUpstream: true}

func (n *Node) budget() dispatch.RetryLimits {
	s := n.settings.Load()
	return dispatch.RetryLimits{
		Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.RetryWindow(), Nodes: n.table.Len(),
	}
}

// limits returns the limits in force, with defaults for those that the configuration omits.
func (n *Node) limits() h1.Limits {
	plain := h1.Limits{HeaderBytes: defaultHeaderBytes, BodyBytes: defaultBodyBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	s := n.config.Current()
	if s == nil {
		return plain
	}
	l := s.Limits
	return h1.Limits{
		HeaderBytes: cmp.Or(l.HeaderBytes, plain.HeaderBytes), BodyBytes: cmp.Or(l.BodyBytes, plain.BodyBytes),
		HeaderTimeout: cmp.Or(l.HeaderTimeout, plain.HeaderTimeout), IdleTimeout: cmp.Or(l.IdleTimeout, plain.IdleTimeout),
	}
}

// versionUpdate returns a state update with the version of the configuration in force.
func (n *Node) versionUpdate() *link.StateUpdate {
	s := n.config.Current()
	if s == nil {
		return &link.StateUpdate{}
	}
	return &link.StateUpdate{ConfigVersion: s.Version, ConfigEpoch: s.Revision.Epoch}
}

// Version returns the version of the configuration in force, or 0 if there is none.
func (n *Node) Version() uint64 {
	if s := n.config.Current(); s != nil {
		return s.Version
	}
	return 0
}

// applyConfig puts a configuration in force if its version is newer and it is valid, and
// reports whether it did. Revisions neither order nor identify configurations, since a store
// that was restored assigns them again.
func (n *Node) applyConfig(raw []byte, revision model.Revision, source string) bool {
	if current := n.config.Current(); current != nil && bytes.Equal(current.Raw, raw) {
		return false
	}
	s, err := platform.DecodeConfig(raw, revision)
	if ring := n.keyring.Load(); err == nil && ring != nil {
		err = ring.VerifyConfig(&s.Config, s.Record)
	}
	if err != nil {
		n.refuseConfig(revision, source, err)
		return false
	}
	before := n.Version()
	n.currency.prepare(s)
	if !n.config.Publish(s) {
		n.skipConfig(s, source)
		return false
	}
	now := time.Now()
	n.appliedAt.Store(&now)
	n.refused.Store(nil)
	n.log.Emit(event.ConfigApplied, event.F("version", s.Version), event.F("before", before), event.F("revision", revision),
		event.F("routes", len(s.Routes)), event.F("source", source))
	n.reportKinds(s)
	n.reportRecord(s)
	n.peers.broadcast(n.versionUpdate())
	return true
}

// Reasons for which a configuration does not replace the one in force.
const (
	skipOlder       = "older-version"
	skipSameVersion = "same-version"
)

// skipConfig logs and counts a configuration that does not replace the one in force.
func (n *Node) skipConfig(s *meshconf.Snapshot, source string) {
	current := n.config.Current()
	reason := skipOlder
	if s.Version == current.Version {
		reason = skipSameVersion
	}
	n.observer.configsSkipped.WithLabelValues(reason).Inc()
	n.log.Emit(event.ConfigSkipped, event.F("version", s.Version), event.F("revision", s.Revision), event.F("reason", reason), event.F("source", source),
		event.F("inForce", current.Version), event.F("inForceRevision", current.Revision))
}

// maxUnknownKindLines bounds the log lines about unknown kinds of one version; the counter
// includes all.
const maxUnknownKindLines = 10

// reportKinds logs and counts the routes whose kind is unknown.
func (n *Node) reportKinds(s *meshconf.Snapshot) {
	n.observer.unknownKinds.Add(float64(len(s.UnknownKinds)))
	for i, k := range s.UnknownKinds {
		if i == maxUnknownKindLines {
			return
		}
		n.log.Emit(event.RouteKindUnknown, event.F("version", s.Version), event.F("route", k.Route), event.F("kind", k.Kind),
			event.F("routes", len(s.UnknownKinds)))
	}
}

// reportRecord logs an acceptance record that cannot be read. A node with operators' keys
// has refused such a version before.
func (n *Node) reportRecord(s *meshconf.Snapshot) {
	if len(s.Record) == 0 {
		return
	}
	if _, err := bundle.DecodeHead(s.Record); err != nil {
		n.log.Emit(event.RecordUnreadable, event.F("version", s.Version), event.F("bytes", len(s.Record)), event.F("error", err))
	}
}

// refuseConfig records that a configuration was rejected.
func (n *Node) refuseConfig(revision model.Revision, source string, err error) {
	n.refused.Store(&handover.Refusal{Time: time.Now().UTC(), Revision: revision.Number, Epoch: revision.Epoch, Source: source, Error: err.Error()})
	n.log.Emit(event.ConfigRefused, event.F("revision", revision), event.F("source", source), event.F("error", err))
}

// ready reports whether the platform may send callers to this node.
func (n *Node) ready() bool {
	return n.listening.Load() && !n.stopping.Load() && n.config.Current() != nil
}
