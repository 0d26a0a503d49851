package host

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/guard"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/platform"
)

// readConfig reads the configuration at every interval.
func (l *lead) readConfig(ctx context.Context) {
	longest := func() time.Duration { return outagePause(l.node.table.Len()) }
	l.repeat(ctx, readInterval, longest, func() error {
		err := l.readIfChanged(ctx)
		l.recordOutcome(ctx, err)
		if err == nil && l.node.rosters.mustReadAll() {
			err = l.readAllRosters(ctx, false)
		}
		if err != nil {
			return err
		}
		if l.node.settings.Load().Node.FirstStart {
			// All nodes start at once; this one will soon be covered, and no node depends on it yet.
			sleep(ctx, secondReadAfter-time.Since(l.node.started))
		}
		return nil
	})
}

// readIfChanged reads the configuration only if the store's revision has changed since the
// last read: a configuration of a thousand routes would saturate a slow link.
func (l *lead) readIfChanged(ctx context.Context) error {
	l.mu.Lock()
	read := l.readRevision
	l.mu.Unlock()
	sentAt := l.node.currency.now()
	if !read.IsZero() {
		revision, err := l.node.store().Revision(ctx)
		if err == nil && revision == read {
			l.node.currency.confirmLastRead(sentAt, revision)
		}
		if err != nil || revision == read {
			return err
		}
	}
	sentAt = l.node.currency.now()
	d, revision, err := l.node.store().Config(ctx)
	if err != nil {
		return err
	}
	if err := l.node.rollouts.read(ctx); err != nil {
		return err
	}
	l.node.log.Emit(event.ConfigRead, event.F("storeRevision", revision), event.F("before", read), event.F("revision", d.Revision))
	l.mu.Lock()
	l.readRevision = revision
	l.advanceWatch(revision)
	l.mu.Unlock()
	l.applyDocument(d)
	l.node.currency.confirmRead(sentAt, d, revision)
	return nil
}

// advanceWatch sets where the next watch starts, unless it starts later already. The caller
// holds mu.
func (l *lead) advanceWatch(revision model.Revision) {
	if l.watchRevision.Before(revision) {
		l.watchRevision = revision
	}
}

// applyDocument applies a configuration and announces it if it is newer.
func (l *lead) applyDocument(d platform.ConfigDocument) {
	if len(d.Raw) > 0 && l.node.applyConfig(d.Raw, d.Revision, "store") {
		l.announce()
	}
}

// watchConfig watches the store to get changes of the configuration before the next plain
// read.
func (l *lead) watchConfig(ctx context.Context) {
	l.repeatWhileReachable(ctx, watchPause, func() error {
		l.mu.Lock()
		revision := l.watchRevision
		l.mu.Unlock()
		if revision.IsZero() || revision.Epoch < l.node.store().Epoch() {
			return nil // not read yet, or not since the store was restored
		}
		d, next, err := l.node.store().WatchConfig(ctx, revision, watchWait)
		if err != nil {
			if ctx.Err() == nil {
				l.node.log.Emit(event.WatchFailed, event.F("revision", revision), event.F("error", err))
			}
			return err
		}
		l.mu.Lock()
		l.advanceWatch(next)
		l.mu.Unlock()
		l.applyDocument(d)
		return nil
	})
}

// skipOwnWrite advances the read revision past a write of this node, so that the write is
// not taken for a change of the configuration.
func (l *lead) skipOwnWrite(revision model.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision.Epoch == l.readRevision.Epoch && revision.Number == l.readRevision.Number+1 {
		l.readRevision = revision
	}
}

// readRosters reads the rosters at every interval. The answer may be some seconds old if
// this node has read them recently, since peers send changes sooner, and if it cannot be
// from before the store was restored. After a restore, readConfig reads them at once.
func (l *lead) readRosters(ctx context.Context) {
	l.repeatWhileReachable(ctx, rostersInterval, func() error {
		l.mu.Lock()
		since, sinceRestored := time.Since(l.rostersReadAt), time.Since(l.restoredAt)
		l.mu.Unlock()
		if since < rostersInterval/2 || l.node.rosters.mustReadAll() {
			return nil
		}
		return l.readAllRosters(ctx, since < 2*rostersInterval && sinceRestored > 2*rostersInterval)
	})
}

// readAllRosters reads all rosters and records when.
func (l *lead) readAllRosters(ctx context.Context, mayBeStale bool) error {
	if err := l.node.rosters.readAll(ctx, mayBeStale); err != nil {
		return err
	}
	l.mu.Lock()
	l.rostersReadAt = time.Now()
	l.mu.Unlock()
	return nil
}

// repeat calls step at every interval, with exponential backoff while it fails.
func (l *lead) repeat(ctx context.Context, interval time.Duration, longest func() time.Duration, step func() error) {
	pause := retryMin
	for ctx.Err() == nil {
		var err error
		panicked := guard.Run("step of a lead", l.node.panicked, func() { err = step() })
		if err != nil || panicked != nil {
			sleep(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, max(retryMax, longest()))
			continue
		}
		pause = retryMin
		sleep(ctx, interval)
	}
}

// repeatWhileReachable is repeat for steps that wait during a store outage: readConfig
// alone finds out when the store answers again.
func (l *lead) repeatWhileReachable(ctx context.Context, interval time.Duration, step func() error) {
	l.repeat(ctx, interval, func() time.Duration { return retryMax }, func() error {
		for ctx.Err() == nil && !l.reachedStoreRecently(time.Now()) {
			sleep(ctx, smallCheckInterval)
		}
		return step()
	})
}

// outagePause returns the longest pause of a node between two attempts during a store
// outage. No lead covers the others then, so all of them try.
func outagePause(hosts int) time.Duration {
	return min(time.Duration(hosts)*outagePausePerHost, maxOutagePause)
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
