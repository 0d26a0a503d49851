package host

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/link"
	"github.com/tarragondrum/tarragondrum/platform"
)

const (
	// writePause lies between two writes of rosters, so that changes that follow each
	// other go into one; urgentPause is the same where an upstream waits until the store
	// knows that it leaves, for at most ackWait.
	writePause  = time.Second
	urgentPause = 60 * time.Millisecond
	// joinPause bounds the pause between two tries of a node that knows no fleet yet:
	// all may start while the store is away.
	joinPause = 3 * time.Second
	// beginPause is how long a small machine leaves it to others to begin a roster at the
	// first start of all, spread up to twice as long: all start within 0.3 s.
	beginPause = 500 * time.Millisecond
)

// rosters keeps the records of hosts in the store: one object for each data centre.
// The node that reads the store writes them for all.
type rosters struct {
	node *Node
	// joined tells that the store has told of the other hosts of the data centre.
	joined once

	mu sync.Mutex
	// stored is what the store was last seen to have, by data centre.
	stored map[string]*storedRoster
}

// storedRoster is a roster as the store was last seen to have it.
type storedRoster struct {
	revision uint64
	hosts    map[string]fleet.Version
}

func newRosters(n *Node) *rosters {
	return &rosters{node: n, joined: newOnce(), stored: make(map[string]*storedRoster)}
}

// join reads the roster of this host's data centre, which tells of the other hosts and
// of what a former process of this one knew, and begins one where there is none. It
// goes on until the store answers.
func (r *rosters) join(ctx context.Context) {
	r.node.table.Merge(r.node.record.current())
	if s := r.node.settings.Load(); s.Node.FirstStart && s.Node.LinkMbps < smallLink {
		sleep(ctx, beginPause+rand.N(beginPause))
	}
	pause := retryMin
	for ctx.Err() == nil {
		err := r.tryJoin(ctx)
		if err == nil {
			r.node.peers.follow()
			r.joined.done()
			return
		}
		r.node.log.Emit(event.RosterNotRead, event.F("dataCentre", r.node.record.current().DataCentre), event.F("error", err))
		sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, max(joinPause, awayPause(r.node.table.Len())))
	}
}

func (r *rosters) tryJoin(ctx context.Context) error {
	own := r.node.record.current()
	there, err := r.node.store().Roster(ctx, own.DataCentre)
	if errors.Is(err, platform.ErrNotFound) {
		there, err = r.node.store().SaveRoster(ctx, own.DataCentre, []fleet.Host{own}, 0)
		if errors.Is(err, platform.ErrConflict) && there.Revision > 0 {
			err = nil
		}
	}
	if err == nil {
		r.take(&there)
	}
	return err
}

// list reads the rosters of all data centres.
func (r *rosters) list(ctx context.Context, mayBeStale bool) error {
	all, err := r.node.store().Rosters(ctx, mayBeStale)
	if err != nil {
		return err
	}
	for i := range all {
		r.take(&all[i])
	}
	if !mayBeStale {
		r.node.record.learned.done()
	}
	return nil
}

// take takes in a roster: records that are news, and hosts that were in it and are not
// any more.
func (r *rosters) take(roster *platform.Roster) {
	for _, err := range roster.Unreadable {
		r.node.log.Emit(event.StoreEntryBad, event.F("dataCentre", roster.DataCentre), event.F("error", err))
	}
	if r.isOld(roster) {
		return
	}
	n := r.node
	self := n.record.current()
	for i := range roster.Hosts {
		if h := &roster.Hosts[i]; h.Node == self.Node {
			n.record.learn(h)
		}
	}
	if roster.DataCentre == self.DataCentre {
		n.record.learned.done()
	}
	// The table has what the store has before its revision is known: a draft over that
	// revision leaves nothing out.
	n.learn(roster.Hosts, "store")
	gone := r.note(roster)
	if len(roster.Unreadable) > 0 {
		return // what is missing may be among what cannot be read
	}
	for _, v := range gone {
		n.tellRemoval(v, "store", "")
	}
}

// isOld reports whether something newer than a roster is known.
func (r *rosters) isOld(roster *platform.Roster) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.stored[roster.DataCentre]
	return before != nil && roster.Revision < before.revision
}

// note remembers what the store has, unless something newer is known, and returns the
// hosts that were taken away.
func (r *rosters) note(roster *platform.Roster) (gone []fleet.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.stored[roster.DataCentre]
	if before != nil && roster.Revision < before.revision {
		return nil
	}
	now := &storedRoster{revision: roster.Revision, hosts: make(map[string]fleet.Version, len(roster.Hosts))}
	for i := range roster.Hosts {
		now.hosts[roster.Hosts[i].Node] = roster.Hosts[i].Version()
	}
	r.stored[roster.DataCentre] = now
	if before == nil || before.revision == now.revision {
		return nil
	}
	for node, v := range before.hosts {
		if _, there := now.hosts[node]; !there {
			gone = append(gone, v)
		}
	}
	return gone
}

// draft is a roster that the store should have.
type draft struct {
	dataCentre string
	revision   uint64
	hosts      []fleet.Host
	// awaited are the records whose hosts wait until the store has them.
	awaited []fleet.Version
}

// drafts returns the rosters that differ from what the store was last seen to have.
func (r *rosters) drafts() []draft {
	stored := r.copyStored() // before the table is read, see take
	byCentre := make(map[string][]fleet.Host)
	for centre := range stored {
		byCentre[centre] = nil
	}
	for _, h := range r.node.table.All() {
		byCentre[h.DataCentre] = append(byCentre[h.DataCentre], h)
	}
	var list []draft
	for centre, hosts := range byCentre {
		there := stored[centre]
		d := draft{dataCentre: centre, revision: there.revision, hosts: hosts}
		if d.differs(there.hosts) {
			list = append(list, d)
		}
	}
	return list
}

// copyStored returns what the store was last seen to have. The rosters do not change.
func (r *rosters) copyStored() map[string]storedRoster {
	r.mu.Lock()
	defer r.mu.Unlock()
	stored := make(map[string]storedRoster, len(r.stored))
	for centre, roster := range r.stored {
		stored[centre] = *roster
	}
	return stored
}

// differs reports whether the store lacks a record, or has one of a host that was taken
// away, and notes those that hosts wait for.
func (d *draft) differs(stored map[string]fleet.Version) bool {
	differs := false
	known := 0
	for i := range d.hosts {
		h := &d.hosts[i]
		v := h.Version()
		there, ok := stored[h.Node]
		if ok {
			known++
		}
		if ok && !v.After(there) {
			continue
		}
		differs = true
		if h.Upstream.State == fleet.StateLeaving || h.Upstream.State == fleet.StateGone {
			d.awaited = append(d.awaited, v)
		}
	}
	return differs || known < len(stored)
}

// write saves a roster and tells the hosts that wait for it.
func (r *rosters) write(ctx context.Context, d *draft) error {
	saved, err := r.node.store().SaveRoster(ctx, d.dataCentre, d.hosts, d.revision)
	switch {
	case err == nil:
		r.note(&platform.Roster{DataCentre: d.dataCentre, Revision: saved.Revision, Hosts: d.hosts})
		r.node.lead.wrote(saved.Revision)
		r.node.log.Emit(event.RosterSaved, event.F("dataCentre", d.dataCentre), event.F("revision", saved.Revision),
			event.F("hosts", len(d.hosts)), event.F("awaited", len(d.awaited)))
		r.node.record.noteSaved(d.hosts)
		if len(d.awaited) > 0 {
			r.node.peers.broadcast(&link.News{Saved: d.awaited})
		}
		return nil
	case errors.Is(err, platform.ErrConflict) && saved.Revision > 0:
		r.take(&saved) // which may be what an earlier write without an answer wrote
		r.node.record.noteSaved(saved.Hosts)
		return nil
	case errors.Is(err, platform.ErrNotFound):
		r.mu.Lock()
		delete(r.stored, d.dataCentre)
		r.mu.Unlock()
		return nil
	}
	r.node.log.Emit(event.RosterNotSaved, event.F("dataCentre", d.dataCentre), event.F("revision", d.revision), event.F("error", err))
	return err
}

// keep writes the rosters that differ, as long as this node reads the store.
func (r *rosters) keep(ctx context.Context) {
	var wroteAt time.Time
	generation := uint64(0)
	for ctx.Err() == nil {
		sleep(ctx, urgentPause)
		now := r.node.table.Generation()
		if now == generation || !r.node.lead.fresh(time.Now()) {
			continue
		}
		drafts := r.drafts()
		isUrgent := false
		for i := range drafts {
			isUrgent = isUrgent || len(drafts[i].awaited) > 0
		}
		if !isUrgent && time.Since(wroteAt) < writePause {
			continue
		}
		failed := false
		for i := range drafts {
			failed = r.write(ctx, &drafts[i]) != nil || failed
		}
		wroteAt = time.Now()
		if !failed && len(r.drafts()) == 0 {
			generation = now
		}
	}
}

// saveOwn writes the roster of this host's data centre itself, where the node that
// reads the store has not.
func (r *rosters) saveOwn(ctx context.Context) error {
	centre := r.node.record.current().DataCentre
	for _, d := range r.drafts() {
		if d.dataCentre == centre {
			return r.write(ctx, &d)
		}
	}
	return nil
}
