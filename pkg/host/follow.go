package host

import (
	"context"
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/guard"
	"github.com/tarragondrum/tarragondrum/pkg/hostconf"
	"github.com/tarragondrum/tarragondrum/pkg/link"
)

const (
	// watchWait is how long one watch waits; the store allows 30 s.
	watchWait = 25 * time.Second
	// watchPause lets changes that follow each other come in one answer. It is a
	// small part of the time in which a configuration has to be in force.
	watchPause = 500 * time.Millisecond
	// readInterval is the time between two plain reads of the configuration. Watches
	// can be deaf for seconds, plain reads are not.
	readInterval = 900 * time.Millisecond
	// settleTime is how long a node leads before it watches, and firstRead when after
	// the first start of all it reads the configuration for the second time: by then
	// they know each other, and are covered.
	settleTime = 4500 * time.Millisecond
	firstRead  = 2500 * time.Millisecond
	// hostsInterval is the time between two plain reads of all rosters: hosts tell each
	// other of changes themselves.
	hostsInterval = 8 * time.Second
	// leadInterval is the time between two announcements of a lead, and leadFresh how long
	// ago it may have reached the store. With coverFor, a lead that the store turns
	// away is replaced well within the time that a configuration has.
	leadInterval = 200 * time.Millisecond
	// relayInterval is the same in a large fleet.
	relayInterval = 300 * time.Millisecond
	leadFresh     = 1100 * time.Millisecond
	// awayPauseOfHost is the part of each host in the pause between two tries while
	// the store does not answer: together they make 20 calls a second, of which the
	// first that is answered covers the others. maxAwayPause bounds the pause, to
	// less than the time in which a configuration is due everywhere.
	awayPauseOfHost = 50 * time.Millisecond
	maxAwayPause    = 15 * time.Second
	// lookInterval is the time between two looks whether this node is covered.
	lookInterval = 50 * time.Millisecond
	// largeLookInterval is the same in a large fleet, where an announcement holds longer.
	largeLookInterval = 150 * time.Millisecond
)

// lead reads the store for the nodes that it covers while no other does: all of a
// small fleet, those of its data centre in a larger one.
type lead struct {
	node  *Node
	cover *fleet.Cover
	// jitter, 0 to 1, is this node's part in what is spread at random.
	jitter float64

	mu sync.Mutex
	// reached is when the store last answered, zero while this node is covered.
	reached time.Time
	// answered is when the store last answered this node, whether or not it leads.
	answered time.Time
	// reading is set while this node reads the store.
	reading bool
	// revision is the one to watch the configuration from, and readRevision the one at
	// which it was read last.
	revision     uint64
	readRevision uint64
	// listedAt is when the rosters were read last.
	listedAt time.Time
	lost     bool
}

// run is the lead's life: it begins to read when the node is not covered and
// ends when it is.
func (l *lead) run(ctx context.Context) {
	var stop context.CancelFunc
	var announcedAt time.Time
	l.waitJoined(ctx)
	for ctx.Err() == nil {
		now := time.Now()
		l.setDelays()
		leads := l.cover.Leads(now)
		switch {
		case !leads && stop != nil:
			stop()
			stop = nil
			l.rest()
		case leads && stop == nil:
			var reading context.Context
			reading, stop = context.WithCancel(ctx)
			l.setReading(true)
			l.node.log.Emit(event.LeadStarted)
			go l.readConfig(reading)
			go l.readHosts(reading)
			go l.guarded(reading, "rosters", l.node.rosters.keep)
			go l.watch(reading)
		}
		if now.Sub(announcedAt) >= l.interval() && l.fresh(now) {
			announcedAt = now
			l.announce()
		}
		l.node.peers.refollow()
		sleep(ctx, l.pause())
	}
	if stop != nil {
		stop()
	}
}

// guarded runs a loop and begins it anew after an unexpected error.
func (l *lead) guarded(ctx context.Context, name string, run func(ctx context.Context)) {
	for guard.Run(name, l.node.panicked, func() { run(ctx) }) != nil && ctx.Err() == nil {
		sleep(ctx, loopPause)
	}
}

// joinTime is how long a node waits until it has joined before it looks for a lead: it
// knows no other node before.
const joinTime = 3 * time.Second

// waitJoined waits until the store has told of other hosts.
func (l *lead) waitJoined(ctx context.Context) {
	limit := time.NewTimer(joinTime)
	defer limit.Stop()
	select {
	case <-l.node.rosters.joined.closed:
	case <-limit.C:
	case <-ctx.Done():
	}
}

// pause is the time until the next look.
func (l *lead) pause() time.Duration {
	if l.node.peers.isSmall() {
		return lookInterval
	}
	return largeLookInterval
}

// interval is the time between two announcements.
func (l *lead) interval() time.Duration {
	if l.node.peers.isSmall() {
		return leadInterval
	}
	return relayInterval
}

// setDelays sets how soon this node becomes a lead where it hears of none. In a large
// fleet the first nodes of the data centres do before the others.
func (l *lead) setDelays() {
	switch {
	case l.node.peers.isSmall():
		l.cover.Set(takeOverDelay(l.node.settings.Load(), l.jitter), fleet.CoverFor)
	case l.node.peers.tree.isFirst():
		l.cover.Set(time.Duration(l.jitter*float64(firstTakeOver)), fleet.RelayedFor)
	default:
		l.cover.Set(otherTakeOver+time.Duration(l.jitter*float64(otherTakeOver)), fleet.RelayedFor)
	}
}

const (
	// firstTakeOver is the most that the first node of a data centre of a large fleet
	// waits, at random, before it becomes a lead; the others wait otherTakeOver, and at
	// random as long again.
	firstTakeOver = 100 * time.Millisecond
	otherTakeOver = 600 * time.Millisecond
	// takeOver is the most that a node waits, at random, before it becomes a lead
	// where none is heard, so that the first one covers the others. Machines with
	// links below smallLink wait as long again.
	takeOver  = 200 * time.Millisecond
	smallLink = 20 // Mbit/s
)

func takeOverDelay(s *hostconf.Settings, jitter float64) time.Duration {
	delay := time.Duration(jitter * float64(takeOver))
	if s.Node.LinkMbps < smallLink {
		delay += takeOver
	}
	return delay
}

func rankOf(s *hostconf.Settings) string {
	return fleet.Rank(fleet.Size(s.Node.CPUShare, s.Node.LinkMbps), s.Node.ID)
}

// setReading notes whether this node reads the store.
func (l *lead) setReading(reading bool) {
	l.mu.Lock()
	l.reading = reading
	l.reached = time.Time{}
	l.mu.Unlock()
	l.node.peers.follow()
}

// watch begins to watch once this node has led for a while.
func (l *lead) watch(ctx context.Context) {
	sleep(ctx, settleTime)
	if ctx.Err() != nil {
		return
	}
	l.watchConfig(ctx)
}

// rest ends the lead's work.
func (l *lead) rest() {
	l.setReading(false)
	l.node.log.Emit(event.LeadEnded)
}

// leads reports whether this node reads the store.
func (l *lead) leads() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reading
}

// fresh reports whether this node leads and reached the store lately.
func (l *lead) fresh(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.reached.IsZero() && now.Sub(l.reached) <= leadFresh
}

// isCovered reports whether this node or one that it hears reads the store.
func (l *lead) isCovered(now time.Time) bool {
	_, at := l.cover.Heard()
	return l.fresh(now) || now.Sub(at) <= fleet.RelayedFor
}

// announce tells the nodes that this one covers that it reads the store.
func (l *lead) announce() {
	if !l.node.peers.isSmall() {
		l.node.peers.tree.announce(rankOf(l.node.settings.Load()))
		return
	}
	digest := l.node.table.Digest()
	l.node.peers.broadcast(&link.News{Lead: rankOf(l.node.settings.Load()), ConfigVersion: l.node.Version(), Digest: &digest})
}

// outcome notes how a call to the store ended.
func (l *lead) outcome(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	l.mu.Lock()
	changed := l.lost != (err != nil)
	l.lost = err != nil
	l.reached = time.Time{}
	if err == nil {
		l.reached = time.Now()
		l.answered = l.reached
	}
	l.mu.Unlock()
	switch {
	case changed && err != nil:
		l.node.log.Emit(event.StoreLost, event.F("error", err))
	case changed:
		l.node.log.Emit(event.StoreBack)
	}
}
