package rollout

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/bundlestore"
	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/platform"
	"github.com/tarragondrum/tarragondrum/pkg/snapshot"
)

// Way is a way to bring a version to every node.
type Way string

// The ways that are measured.
const (
	// WayTree pushes deltas along a tree; it is the one in use.
	WayTree Way = "tree"
	// WayStar pushes deltas from one lead straight to every member.
	WayStar Way = "star"
	// WayPull pushes nothing: nodes pull when a heartbeat shows a newer version.
	WayPull Way = "pull"
	// WayWatch lets every node watch the platform and load the whole bundle.
	WayWatch Way = "watch"
)

// starFanout makes every member a child of the root.
const starFanout = 1 << 20

// noPush is a transport on which pushes are never sent.
type noPush struct{ mesh.Transport }

func (t noPush) Call(ctx context.Context, to mesh.Peer, kind mesh.Kind, request, reply any) error {
	if kind == mesh.KindPush {
		return fmt.Errorf("push is switched off: %w", mesh.ErrUnreachable)
	}
	return t.Transport.Call(ctx, to, kind, request, reply)
}

// cutSwitch says which data centre does not reach the platform.
type cutSwitch struct {
	mu sync.Mutex
	dc model.DataCentre
}

func (c *cutSwitch) set(dc model.DataCentre) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dc = dc
}

func (c *cutSwitch) check(dc model.DataCentre) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dc != "" && c.dc == dc {
		return fmt.Errorf("%s is cut from the platform: %w", dc, platform.ErrUnavailable)
	}
	return nil
}

// watchEverywhere measures WayWatch: n nodes that each watch the head and load
// each accepted bundle from the platform.
func watchEverywhere(o Options, n, dcs int) (Row, error) {
	c := newCluster(o, WayWatch, 0, dcs)
	first, err := c.signOffAlone()
	if err != nil {
		return Row{}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	nodes := make([]*watchingNode, n)
	var running sync.WaitGroup
	for i := range nodes {
		nodes[i] = &watchingNode{store: &countingStore{Store: c.store}}
		running.Go(func() { nodes[i].run(ctx) })
	}
	defer running.Wait()
	defer cancel()
	applied := func() []model.Version {
		versions := make([]model.Version, n)
		for i := range nodes {
			versions[i] = nodes[i].version()
		}
		return versions
	}
	row := Row{Scenario: ScenarioPlain, Way: WayWatch, Nodes: n, DataCentres: dcs}
	if all := <-watchVersions(applied, first, n, o.Limit); all.err != nil {
		return row, all.err
	}
	bytes := func() uint64 {
		var sum uint64
		for _, node := range nodes {
			sum += node.store.bytes()
		}
		return sum
	}
	before, calls, begin := bytes(), c.store.Calls().Total(), time.Now()
	var times []time.Duration
	for range o.Changes {
		seen := watchVersions(applied, model.Version(c.step+1), n, o.Limit)
		if _, err := c.signOff(); err != nil {
			return row, err
		}
		all := <-seen
		if all.err != nil {
			return row, all.err
		}
		times = append(times, all.since(c.operator.written)...)
	}
	row.fillTimes(times)
	changes := float64(o.Changes)
	row.PayloadBytes = float64(bytes()-before) / changes / float64(n)
	row.TotalBytes = row.PayloadBytes
	row.PlatformCalls = float64(c.store.Calls().Total()-calls)/changes - float64(c.operatorCalls)
	row.Seconds = time.Since(begin).Seconds()
	return row, nil
}

// watchingNode is a node of WayWatch.
type watchingNode struct {
	store  *countingStore
	holder snapshot.Holder
}

func (n *watchingNode) version() model.Version {
	if s := n.holder.Current(); s != nil {
		return s.Version()
	}
	return 0
}

func (n *watchingNode) run(ctx context.Context) {
	objects, revision, err := n.store.List(ctx, platform.CollectionHeads)
	if err != nil {
		return
	}
	for _, o := range objects {
		n.take(ctx, o)
	}
	w, err := n.store.Watch(ctx, platform.CollectionHeads, revision)
	if err != nil {
		return
	}
	defer func() { _ = w.Close() }()
	for {
		change, err := w.Next(ctx)
		if err != nil {
			return
		}
		n.store.add(len(change.Object.Value))
		n.take(ctx, change.Object)
	}
}

func (n *watchingNode) take(ctx context.Context, o platform.Object) {
	head, err := bundlestore.DecodeHead(o)
	if err != nil || keyring.Verify(&head.Acceptance) != nil {
		return
	}
	content, err := bundlestore.Load(ctx, n.store, head.Acceptance.Bundle)
	if err != nil {
		return
	}
	if s, err := snapshot.Compile(head.Acceptance, content); err == nil {
		n.holder.Publish(s)
	}
}

// countingStore counts the bytes of the values that it returns.
type countingStore struct {
	platform.Store
	mu  sync.Mutex
	sum uint64
}

func (s *countingStore) add(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sum += uint64(n)
}

func (s *countingStore) bytes() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sum
}

func (s *countingStore) Get(ctx context.Context, key platform.Key) (platform.Object, error) {
	o, err := s.Store.Get(ctx, key)
	s.add(len(o.Value))
	return o, err
}
