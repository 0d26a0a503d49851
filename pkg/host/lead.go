package host

import (
	"context"
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/guard"
	"github.com/tarragondrum/tarragondrum/pkg/hostconf"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

const (
	// watchWait is how long one watch request waits for a change. The store allows 30 s.
	watchWait = 25 * time.Second
	// watchPause is the pause between two watch requests, so that changes shortly after
	// each other come in one answer. It is a small part of the time within which a
	// configuration has to be in force.
	watchPause = 500 * time.Millisecond
	// readInterval is the time between two plain reads of the configuration. A watch can
	// miss changes for seconds, a plain read cannot.
	readInterval = 900 * time.Millisecond
	// watchDelay is how long a node leads before it starts to watch the store. secondReadAfter is
	// when, counted from the start of the process, a node reads the configuration for the
	// second time if the whole fleet is starting for the first time: by then the nodes know
	// each other and one lead covers the others.
	watchDelay      = 4500 * time.Millisecond
	secondReadAfter = 2500 * time.Millisecond
	// rostersInterval is the time between two plain reads of all rosters. It can be long
	// because hosts send each other their changes directly.
	rostersInterval = 8 * time.Second
	// smallAnnounceInterval is the time between two announcements of a lead in a small
	// fleet. Together with fleet.AnnouncementValidity and storeFreshFor it ensures that a lead that the
	// store rejects is replaced well within the time in which a configuration has to be in
	// force.
	smallAnnounceInterval = 200 * time.Millisecond
	// largeAnnounceInterval is the time between two announcements of a lead in a large
	// fleet.
	largeAnnounceInterval = 300 * time.Millisecond
	// storeFreshFor is how recently a lead must have reached the store to announce itself.
	storeFreshFor = 1100 * time.Millisecond
	// outagePausePerHost times the number of hosts is the pause between two attempts of a
	// node during a store outage. All nodes together then make 20 calls a second, and the
	// first that is answered covers the others. maxOutagePause bounds the pause, to less
	// than the time within which a configuration is due everywhere.
	outagePausePerHost = 50 * time.Millisecond
	maxOutagePause     = 15 * time.Second
	// smallCheckInterval is the time between two checks whether this node is covered, in a
	// small fleet.
	smallCheckInterval = 50 * time.Millisecond
	// largeCheckInterval is the same in a large fleet, where an announcement is valid for
	// longer.
	largeCheckInterval = 150 * time.Millisecond
)

// lead decides whether this node reads the store, and reads it. One lead covers all nodes
// of a small fleet, or those of its data centre in a larger one; a node becomes a lead when
// it hears of no other.
type lead struct {
	node     *Node
	election *fleet.LeadElection
	// jitter, 0 to 1, is the random factor in this node's take-over delay.
	jitter float64

	mu sync.Mutex
	// storeReachedAt is when the store last answered. It is zero after a failed call, and
	// when this node starts or stops leading.
	storeReachedAt time.Time
	// storeAnsweredAt is when the store last answered this node, whether or not it leads
	// now.
	storeAnsweredAt time.Time
	// reading is set while this node reads the store.
	reading bool
	// watchRevision is where the next watch starts, and readRevision the one at which the
	// configuration was last read. Both are zero before the first read.
	watchRevision model.Revision
	readRevision  model.Revision
	// rostersReadAt is when the rosters were last read, and restoredAt when this node learned
	// that the store was restored. Both are zero if that did not happen.
	rostersReadAt time.Time
	restoredAt    time.Time
	// storeLost is set if the last call to the store failed.
	storeLost bool
}

// run starts the readers and writers of the store when this node is not covered, stops them
// when it is, and announces the lead at every interval.
func (l *lead) run(ctx context.Context) {
	var stop context.CancelFunc
	var announcedAt time.Time
	l.waitJoined(ctx)
	for ctx.Err() == nil {
		now := time.Now()
		l.setDelays()
		leads := l.election.Leads(now)
		switch {
		case !leads && stop != nil:
			stop()
			stop = nil
			l.stepDown()
		case leads && stop == nil:
			var reading context.Context
			reading, stop = context.WithCancel(ctx)
			l.setReading(true)
			l.node.log.Emit(event.LeadStarted)
			go l.readConfig(reading)
			go l.readRosters(reading)
			go l.runGuarded(reading, "rosters", l.node.rosters.writeLoop)
			go l.startWatch(reading)
			go l.node.rollouts.watch(reading)
		}
		if now.Sub(announcedAt) >= l.announceInterval() && l.reachedStoreRecently(now) {
			announcedAt = now
			l.announce()
		}
		l.node.peers.refreshConnections()
		sleep(ctx, l.checkInterval())
	}
	if stop != nil {
		stop()
	}
}

// runGuarded runs a loop and restarts it after a panic.
func (l *lead) runGuarded(ctx context.Context, name string, run func(ctx context.Context)) {
	for guard.Run(name, l.node.panicked, func() { run(ctx) }) != nil && ctx.Err() == nil {
		sleep(ctx, loopRestartDelay)
	}
}

// joinTimeout is how long a node waits until it has joined before it may lead. Before that
// it knows no other node.
const joinTimeout = 3 * time.Second

// waitJoined waits until the store has returned the roster of this host's data centre, or
// joinTimeout.
func (l *lead) waitJoined(ctx context.Context) {
	limit := time.NewTimer(joinTimeout)
	defer limit.Stop()
	check := time.NewTicker(largeCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-l.node.rosters.joined.closed:
			return
		case <-limit.C:
			return
		case <-ctx.Done():
			return
		case <-check.C:
			l.node.peers.refreshConnections() // another node may have told this one of hosts
		}
	}
}

// checkInterval returns the time between two checks whether this node is covered.
func (l *lead) checkInterval() time.Duration {
	if l.node.peers.isFullMesh() {
		return smallCheckInterval
	}
	return largeCheckInterval
}

// announceInterval returns the time between two announcements.
func (l *lead) announceInterval() time.Duration {
	if l.node.peers.isFullMesh() {
		return smallAnnounceInterval
	}
	return largeAnnounceInterval
}

// setDelays sets how long this node waits without an announcement before it becomes a lead.
// In a large fleet the first nodes of the data centres take over before the others.
func (l *lead) setDelays() {
	switch {
	case l.node.peers.isFullMesh():
		l.election.SetTimes(takeOverDelay(l.node.settings.Load(), l.jitter), fleet.AnnouncementValidity)
	case l.node.peers.tree.isFirst():
		l.election.SetTimes(time.Duration(l.jitter*float64(maxFirstNodeDelay)), fleet.RelayedAnnouncementValidity)
	default:
		l.election.SetTimes(minOtherNodeDelay+time.Duration(l.jitter*float64(minOtherNodeDelay)), fleet.RelayedAnnouncementValidity)
	}
}

const (
	// maxFirstNodeDelay bounds the random delay before the first node of a data centre of a
	// large fleet becomes a lead. The other nodes wait minOtherNodeDelay and a random time
	// up to that long again.
	maxFirstNodeDelay = 100 * time.Millisecond
	minOtherNodeDelay = 600 * time.Millisecond
	// maxTakeOverDelay bounds the random delay before a node becomes a lead where it hears
	// none, so that the first one covers the others. Hosts with links below slowLinkMbps
	// wait for that long in addition.
	maxTakeOverDelay = 200 * time.Millisecond
	slowLinkMbps     = 20 // Mbit/s
)

// takeOverDelay returns how long a node of a small fleet waits before it becomes a lead.
func takeOverDelay(s *hostconf.Settings, jitter float64) time.Duration {
	delay := time.Duration(jitter * float64(maxTakeOverDelay))
	if s.Node.LinkMbps < slowLinkMbps {
		delay += maxTakeOverDelay
	}
	return delay
}

// rankOf returns the rank of a node among leads: a larger host comes first.
func rankOf(s *hostconf.Settings) string {
	return fleet.Rank(fleet.Size(s.Node.CPUShare, s.Node.LinkMbps), s.Node.ID)
}

// setReading records whether this node reads the store.
func (l *lead) setReading(reading bool) {
	l.mu.Lock()
	l.reading = reading
	l.storeReachedAt = time.Time{}
	l.mu.Unlock()
	l.node.peers.updateConnections()
}

// startWatch watches the configuration once this node has led for watchDelay.
func (l *lead) startWatch(ctx context.Context) {
	sleep(ctx, watchDelay)
	if ctx.Err() != nil {
		return
	}
	l.watchConfig(ctx)
}

// stepDown records that this node has stopped leading.
func (l *lead) stepDown() {
	l.setReading(false)
	l.node.log.Emit(event.LeadEnded)
}

// noteRestored records that the store was restored from an older copy.
func (l *lead) noteRestored() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.restoredAt = time.Now()
}

// forgetRevisions makes the next read of the configuration a full one, from which watches
// start anew.
func (l *lead) forgetRevisions() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watchRevision, l.readRevision = model.Revision{}, model.Revision{}
}

// lastRestored returns when this node learned that the store was restored, or zero.
func (l *lead) lastRestored() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.restoredAt
}

// leads reports whether this node reads the store.
func (l *lead) leads() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reading
}

// reachedStoreRecently reports whether this node leads and the store answered it within
// storeFreshFor.
func (l *lead) reachedStoreRecently(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.storeReachedAt.IsZero() && now.Sub(l.storeReachedAt) <= storeFreshFor
}

// isCovered reports whether this node or one that it hears reads the store.
func (l *lead) isCovered(now time.Time) bool {
	_, at := l.election.LastAnnouncement()
	return l.reachedStoreRecently(now) || now.Sub(at) <= fleet.RelayedAnnouncementValidity
}

// announce tells the nodes that this one covers that it reads the store.
func (l *lead) announce() {
	if !l.node.peers.isFullMesh() {
		l.node.peers.tree.announce(rankOf(l.node.settings.Load()))
		return
	}
	digest := l.node.table.Digest()
	n := l.node.versionUpdate()
	n.LeadRank, n.HostsDigest, n.StoreEpoch = rankOf(l.node.settings.Load()), &digest, l.node.store().Epoch()
	l.node.peers.broadcast(n)
}

// recordOutcome records the result of a call to the store and logs when the store is lost
// or back.
func (l *lead) recordOutcome(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	l.mu.Lock()
	changed := l.storeLost != (err != nil)
	l.storeLost = err != nil
	l.storeReachedAt = time.Time{}
	if err == nil {
		l.storeReachedAt = time.Now()
		l.storeAnsweredAt = l.storeReachedAt
	}
	l.mu.Unlock()
	switch {
	case changed && err != nil:
		l.node.log.Emit(event.StoreUnavailable, event.F("error", err))
	case changed:
		l.node.log.Emit(event.StoreRecovered)
	}
}
