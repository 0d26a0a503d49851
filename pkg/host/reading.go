package host

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/guard"
	"github.com/tarragondrum/tarragondrum/platform"
)

// readConfig reads the configuration at every interval.
func (l *lead) readConfig(ctx context.Context) {
	longest := func() time.Duration { return awayPause(l.node.table.Len()) }
	l.repeat(ctx, readInterval, longest, func() error {
		err := l.readIfChanged(ctx)
		l.outcome(ctx, err)
		if err != nil {
			return err
		}
		if l.node.settings.Load().Node.FirstStart {
			// All start at once; this node is soon covered, and not yet relied on.
			sleep(ctx, firstRead-time.Since(l.node.started))
		}
		return nil
	})
}

// readIfChanged reads the configuration if anything in the store has changed since
// the last read: a configuration of a thousand routes would fill a small link.
func (l *lead) readIfChanged(ctx context.Context) error {
	l.mu.Lock()
	read := l.readRevision
	l.mu.Unlock()
	if read > 0 {
		revision, err := l.node.store().Revision(ctx)
		if err != nil || revision == read {
			return err
		}
	}
	d, revision, err := l.node.store().Config(ctx)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.readRevision = revision
	l.revision = max(l.revision, revision)
	l.mu.Unlock()
	l.take(d)
	return nil
}

func (l *lead) take(d platform.Document) {
	if len(d.Raw) > 0 && l.node.applyConfig(d.Raw, d.Revision, "store") {
		l.announce()
	}
}

// watchConfig brings changes of the configuration sooner than the next read.
func (l *lead) watchConfig(ctx context.Context) {
	l.repeatReached(ctx, watchPause, func() error {
		l.mu.Lock()
		revision := l.revision
		l.mu.Unlock()
		if revision == 0 {
			return nil // not read yet
		}
		d, next, err := l.node.store().WatchConfig(ctx, revision, watchWait)
		if err != nil {
			return err
		}
		l.mu.Lock()
		l.revision = max(l.revision, next)
		l.mu.Unlock()
		l.take(d)
		return nil
	})
}

// wrote notes that this node changed the store: the next revision is no change of the
// configuration.
func (l *lead) wrote(revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision == l.readRevision+1 {
		l.readRevision = revision
	}
}

// readHosts reads the rosters at every interval. They may be some seconds old where
// this node has read them lately: changes are told sooner by peers.
func (l *lead) readHosts(ctx context.Context) {
	l.repeatReached(ctx, hostsInterval, func() error {
		l.mu.Lock()
		since := time.Since(l.listedAt)
		l.mu.Unlock()
		if since < hostsInterval/2 {
			return nil
		}
		if err := l.node.rosters.list(ctx, since < 2*hostsInterval); err != nil {
			return err
		}
		l.mu.Lock()
		l.listedAt = time.Now()
		l.mu.Unlock()
		return nil
	})
}

// repeat calls step at every interval, and with growing pauses while it fails.
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

// repeatReached is repeat for what waits while the store does not answer: one
// reader finds out when it does again.
func (l *lead) repeatReached(ctx context.Context, interval time.Duration, step func() error) {
	l.repeat(ctx, interval, func() time.Duration { return retryMax }, func() error {
		for ctx.Err() == nil && !l.fresh(time.Now()) {
			sleep(ctx, lookInterval)
		}
		return step()
	})
}

// awayPause returns the longest pause of a node while the store does not answer.
// No lead covers the others then, so that all of them try.
func awayPause(hosts int) time.Duration {
	return min(time.Duration(hosts)*awayPauseOfHost, maxAwayPause)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
