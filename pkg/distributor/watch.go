package distributor

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/bundlestore"
	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/platform"
)

// platformRate and platformBurst bound the calls of one lead to the platform.
const (
	platformRate  = 2 // calls per second
	platformBurst = 8
)

// watcher follows the accepted head in the platform while this node leads.
type watcher struct {
	s     *Service
	limit *rate.Limiter

	mu   sync.Mutex
	live bool
	// tried tells that a call has ended, well or not.
	tried bool
	// head is the newest version seen in the platform.
	head model.Version
}

func newWatcher(s *Service) *watcher {
	return &watcher{s: s, limit: rate.NewLimiter(platformRate, platformBurst)}
}

// up reports whether the last call to the platform succeeded.
func (w *watcher) up() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.live
}

// failed reports whether the last call to the platform failed.
func (w *watcher) failed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tried && !w.live
}

func (w *watcher) setUp(up bool) {
	w.mu.Lock()
	was := w.live
	w.live = up
	w.tried = true
	w.mu.Unlock()
	if up && !was {
		w.s.log.Emit(event.RolloutPlatformUp)
	}
	if !up && was {
		w.s.log.Emit(event.RolloutPlatformDown)
	}
}

// run watches whenever this node is one of the leads of its data centre.
func (w *watcher) run(ctx context.Context) {
	w.s.awaitPeers(ctx)
	for ctx.Err() == nil {
		if !w.s.group().leading() {
			w.awaitMembers(ctx)
			continue
		}
		delay := w.s.tuning.LeadDelay
		if !sleep(ctx, delay+w.s.jitter(delay)) || !w.s.group().leading() {
			continue
		}
		w.s.log.Emit(event.RolloutLead, event.F("leading", true))
		w.follow(ctx)
		w.s.log.Emit(event.RolloutLead, event.F("leading", false))
	}
}

// awaitMembers waits for a change of the membership.
func (w *watcher) awaitMembers(ctx context.Context) {
	changed := w.s.groups.source.Changed()
	if w.s.group().leading() {
		return
	}
	select {
	case <-changed:
	case <-ctx.Done():
	}
}

// follow lists and watches the head until this node leads no more.
func (w *watcher) follow(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var helpers sync.WaitGroup
	defer helpers.Wait()
	helpers.Go(func() {
		defer cancel()
		for ctx.Err() == nil && w.s.group().leading() {
			w.awaitDemotion(ctx)
		}
	})
	helpers.Go(func() { w.reread(ctx) })
	wait := w.s.tuning.BackoffMin
	for ctx.Err() == nil {
		delivered, err := w.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		if delivered {
			wait = w.s.tuning.BackoffMin
		}
		w.lost(err)
		if !sleep(ctx, wait/2+w.s.jitter(wait)) {
			return
		}
		wait = min(2*wait, w.s.tuning.BackoffMax)
	}
}

func (w *watcher) awaitDemotion(ctx context.Context) {
	changed := w.s.groups.source.Changed()
	if !w.s.group().leading() {
		return
	}
	select {
	case <-changed:
	case <-ctx.Done():
	}
}

func (w *watcher) lost(err error) {
	if errors.Is(err, platform.ErrCompacted) {
		w.s.metrics.retries.WithLabelValues("watch-compacted").Inc()
		return
	}
	w.s.metrics.retries.WithLabelValues("watch-lost").Inc()
	w.s.log.Emit(event.RolloutWatchLost, event.F("error", err))
}

// watch reads the head and then its changes until the watch ends. It reports
// whether the platform answered at all.
func (w *watcher) watch(ctx context.Context) (bool, error) {
	objects, revision, err := w.list(ctx)
	if err != nil {
		w.setUp(false)
		return false, err
	}
	w.setUp(true)
	for _, o := range objects {
		w.saw(ctx, o, time.Now())
	}
	if err := w.limit.Wait(ctx); err != nil {
		return true, err
	}
	w.s.metrics.platform.WithLabelValues("head-watch").Inc()
	running, err := w.s.options.Platform.Watch(ctx, platform.CollectionHeads, revision)
	if err != nil {
		return true, err
	}
	defer func() { _ = running.Close() }()
	for {
		change, err := running.Next(ctx)
		if err != nil {
			return true, err
		}
		if change.Type == platform.ChangePut {
			w.saw(ctx, change.Object, time.Now())
		}
	}
}

func (w *watcher) list(ctx context.Context) ([]platform.Object, platform.Revision, error) {
	if err := w.limit.Wait(ctx); err != nil {
		return nil, "", err
	}
	ctx, cancel := context.WithTimeout(ctx, w.s.tuning.PlatformTimeout)
	defer cancel()
	w.s.metrics.platform.WithLabelValues("head-list").Inc()
	return w.s.options.Platform.List(ctx, platform.CollectionHeads)
}

// reread reads the head at a low rate, for watches that are silent.
func (w *watcher) reread(ctx context.Context) {
	mean := w.s.tuning.Reread
	for sleep(ctx, mean/2+w.s.jitter(mean)) {
		before := w.seen()
		asked := time.Now()
		o, err := w.get(ctx)
		if err != nil {
			w.setUp(errors.Is(err, platform.ErrNotFound))
			continue
		}
		w.setUp(true)
		if v := w.saw(ctx, o, asked); v > before && before > 0 {
			w.s.metrics.retries.WithLabelValues("watch-behind").Inc()
			w.s.log.Emit(event.RolloutWatchBehind, event.F("version", v))
		}
	}
}

func (w *watcher) get(ctx context.Context) (platform.Object, error) {
	if err := w.limit.Wait(ctx); err != nil {
		return platform.Object{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, w.s.tuning.PlatformTimeout)
	defer cancel()
	w.s.metrics.platform.WithLabelValues("head-get").Inc()
	return w.s.options.Platform.Get(ctx, bundlestore.HeadKey())
}

func (w *watcher) seen() model.Version {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.head
}

// saw takes a head that the platform returned and reports its version.
func (w *watcher) saw(ctx context.Context, o platform.Object, at time.Time) model.Version {
	h, err := bundlestore.DecodeHead(o)
	if err != nil {
		w.s.log.Emit(event.RolloutHeadUnreadable, event.F("object", o.Key.Name), event.F("error", err))
		return 0
	}
	v := h.Acceptance.Version
	w.note(v)
	switch applied := w.s.Applied(); {
	case v == applied:
		w.s.rememberVerified(h.Recent)
		w.s.confirm(at)
	case v > applied:
		w.fetch(ctx, h, at)
	}
	return v
}

// note remembers the newest version and logs a head that went back.
func (w *watcher) note(v model.Version) {
	w.mu.Lock()
	before := w.head
	w.head = max(w.head, v)
	w.mu.Unlock()
	if v < before {
		w.s.log.Emit(event.RolloutHeadWentBack, event.F("version", v), event.F("before", before))
	}
}

// fetch loads an accepted version and passes it on. Leads after the first one
// give the first lead's push time to arrive.
func (w *watcher) fetch(ctx context.Context, h bundlestore.Head, at time.Time) {
	v := h.Acceptance.Version
	g := w.s.group()
	if g.firstLead() != g.self && w.s.Applied() > 0 && w.s.await(ctx, v, w.s.tuning.LeadGrace) {
		w.s.confirm(at)
		return
	}
	if err := w.load(ctx, h.Acceptance, at); err != nil {
		w.s.log.Emit(event.RolloutHeadUnreadable, event.F("version", v), event.F("error", err))
		return
	}
	w.s.rememberVerified(h.Recent)
	w.s.lead(ctx)
}

func (w *watcher) load(ctx context.Context, acc bundle.Acceptance, at time.Time) error {
	if err := w.s.options.Keyring.Verify(&acc); err != nil {
		return w.s.applier.reject(acc, err)
	}
	content, kept := w.s.applier.bases.get(acc.Bundle)
	if !kept {
		w.s.applier.beginFetch()
		loaded, err := w.loadWithRetry(ctx, acc)
		if err != nil {
			w.s.applier.abandonFetch()
			return err
		}
		content = &loaded
	}
	return w.s.take(bundle.Update{Acceptance: acc, Full: content}, at)
}

// loadAttempts bounds the tries to load one accepted version at a time; the
// periodic read of the head starts over.
const loadAttempts = 4

func (w *watcher) loadWithRetry(ctx context.Context, acc bundle.Acceptance) (bundle.Bundle, error) {
	wait := w.s.tuning.BackoffMin
	var content bundle.Bundle
	var err error
	for range loadAttempts {
		if err := w.limit.Wait(ctx); err != nil {
			return bundle.Bundle{}, err
		}
		content, err = w.loadOnce(ctx, acc)
		if err == nil || ctx.Err() != nil || w.s.Applied() >= acc.Version {
			return content, err
		}
		w.s.metrics.retries.WithLabelValues("load-failed").Inc()
		if !sleep(ctx, wait/2+w.s.jitter(wait)) {
			return bundle.Bundle{}, ctx.Err()
		}
		wait *= 2
	}
	return content, err
}

func (w *watcher) loadOnce(ctx context.Context, acc bundle.Acceptance) (bundle.Bundle, error) {
	ctx, cancel := context.WithTimeout(ctx, w.s.tuning.PlatformTimeout)
	defer cancel()
	w.s.metrics.platform.WithLabelValues("bundle-load").Inc()
	return w.s.options.Load(ctx, w.s.options.Platform, acc.Bundle)
}
