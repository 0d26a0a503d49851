package host

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/guard"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/release"
	"github.com/tarragondrum/tarragondrum/platform"
)

// statusRetryPause is the pause after a write of a status that failed. An order takes 12 s.
const statusRetryPause = 400 * time.Millisecond

// read reads all orders. A lead calls it when the store's revision has changed. r may be nil.
func (r *rollouts) read(ctx context.Context) error {
	if r == nil {
		return nil
	}
	found, revision, err := r.node.store().Rollouts(ctx)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.watchFrom = revision
	for service, x := range r.services {
		isListed := slices.ContainsFunc(found.Orders, func(o release.Order) bool { return o.Service == service })
		if !isListed && !x.order.Revision.IsZero() && x.order.Revision.Before(revision) {
			x.orderRemoved()
		}
	}
	r.mu.Unlock()
	r.learn(found)
	return nil
}

// orderRemoved records that the store has the order no more, and rolls it back if this node
// coordinates it.
func (x *rollout) orderRemoved() {
	x.removed = true
	if x.coordinator == nil {
		return
	}
	if phase, _ := x.coordinator.Phase(); !phase.IsFinal() {
		x.coordinator.RollBack(release.ReasonOrderRemoved)
	}
}

// watch watches the orders, so that one is executed before the next plain read finds it. r may
// be nil.
func (r *rollouts) watch(ctx context.Context) {
	if r == nil {
		return
	}
	sleep(ctx, watchDelay)
	r.node.lead.repeatWhileReachable(ctx, watchPause, func() error {
		r.mu.Lock()
		revision := r.watchFrom
		r.mu.Unlock()
		if revision.IsZero() || revision.Epoch < r.node.store().Epoch() {
			return nil // not read yet, or not since the store was restored
		}
		found, next, err := r.node.store().WatchRollouts(ctx, revision, watchWait)
		if err != nil {
			if ctx.Err() == nil {
				r.node.log.Emit(event.WatchFailed, event.F("revision", revision), event.F("error", err))
			}
			if errors.Is(err, platform.ErrCompacted) || errors.Is(err, platform.ErrRestored) {
				r.setWatch(model.Revision{})
			}
			return err
		}
		r.setWatch(next)
		r.learn(found)
		return nil
	})
}

func (r *rollouts) setWatch(from model.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchFrom = from
}

// learn processes orders that were read from the store.
func (r *rollouts) learn(found platform.Rollouts) {
	for _, err := range found.DecodeErrors {
		r.node.log.Emit(event.RolloutUnreadable, event.F("error", err))
	}
	now := time.Now()
	o := &outbox{}
	r.mu.Lock()
	for i := range found.Orders {
		r.consider(r.get(found.Orders[i].Service), now, found.Orders[i], o)
	}
	r.mu.Unlock()
	r.flush(o)
}

// consider takes an order of the store over: it begins a new one, and ends one that the store
// says has ended. The caller holds mu.
func (r *rollouts) consider(x *rollout, now time.Time, order release.Order, o *outbox) {
	if order.Revision.Before(x.order.Revision) {
		return // an earlier read that came late
	}
	x.order, x.isOutdated, x.removed = order, false, false
	s, known := x.view.State()
	isKnown := known && release.Concerns(&s, &order)
	phase, isFinal := release.PhaseOf(order.Status)
	switch {
	case isFinal:
		r.takeEnd(x, now, order, phase, o)
	case isKnown:
		if x.coordinator != nil {
			x.coordinator.SetRevision(order.Revision)
		}
	case order.Status == release.StatusNone:
		x.begin(release.NewCoordinator(now, now, release.Begin(order, r.self(), r.establishedFor(x, order.Target), r.canaryShare)))
		r.announceState(x, now, true, o)
		r.emit(event.RolloutOrdered, x, event.F("durationMs", order.Duration.Milliseconds()))
	}
	// A running order that this node does not know is left to takeOver.
}

// takeEnd takes over the end of a roll-out that the store has. The caller holds mu.
func (r *rollouts) takeEnd(x *rollout, now time.Time, order release.Order, phase release.Phase, o *outbox) {
	s, known := x.view.State()
	if known && release.Concerns(&s, &order) && s.Phase == phase {
		return
	}
	end := release.Begin(order, r.self(), r.establishedFor(x, order.Target), r.canaryShare)
	start := now
	if known && release.Concerns(&s, &order) {
		end, start = s, x.view.Start()
	}
	x.begin(release.NewCoordinator(now, start, end))
	if phase == release.Succeeded {
		x.coordinator.Succeed(release.ReasonStore)
	} else {
		x.coordinator.RollBack(release.ReasonStore)
	}
	r.announceState(x, now, true, o)
}

// wantedStatus returns the status that this node has to write, StatusNone if there is none. The
// caller holds mu.
func (x *rollout) wantedStatus(now time.Time, isLead bool) release.Status {
	s, known := x.view.State()
	if !known || x.removed || x.order.Revision.IsZero() && x.coordinator == nil {
		return release.StatusNone
	}
	if !x.order.Revision.IsZero() {
		if _, ended := release.PhaseOf(x.order.Status); ended || !release.Concerns(&s, &x.order) {
			return release.StatusNone
		}
	}
	switch {
	case s.Phase == release.RolledBack && x.coordinator != nil:
		return release.StatusRolledBack
	case s.Phase == release.RolledBack && isLead && now.Sub(x.endSeenAt) > finalBeats:
		return release.StatusRolledBack // the coordinator is lost or does not reach the store
	case x.coordinator == nil:
		return release.StatusNone
	case x.moved:
		return release.StatusSucceeded
	case x.order.Status == release.StatusNone:
		return release.StatusRunning
	}
	return release.StatusNone
}

// write starts to write the status of a roll-out if it has to be written. The caller holds mu.
func (r *rollouts) write(ctx context.Context, x *rollout, now time.Time, isLead bool) {
	status := x.wantedStatus(now, isLead)
	if status == release.StatusNone || x.writing || now.Before(x.writeAfter) {
		return
	}
	x.writing = true
	order, mustRead := x.order, x.isOutdated || x.order.Revision.IsZero()
	go func() {
		// The error is ignored: guard.Run has reported the panic.
		_ = guard.Run("status of a roll-out", r.node.panicked, func() {
			if mustRead {
				current, err := r.node.store().Rollout(ctx, x.service)
				r.wrote(ctx, x, current, release.StatusNone, err)
				return
			}
			saved, err := r.node.store().SaveRolloutStatus(ctx, order, status)
			r.wrote(ctx, x, saved, status, err)
		})
		r.mu.Lock()
		defer r.mu.Unlock()
		x.writing = false
	}()
}

// wrote processes the result of a write of a status, or of a read if the status is StatusNone.
// After a failed write only a read tells what the store has.
func (r *rollouts) wrote(ctx context.Context, x *rollout, order release.Order, status release.Status, err error) {
	now := time.Now()
	o := &outbox{}
	r.mu.Lock()
	switch {
	case err == nil && status != release.StatusNone:
		r.node.lead.skipOwnWrite(order.Revision)
		r.emit(event.RolloutStatusWritten, x, event.F("status", status), event.F("revision", order.Revision))
		if status == release.StatusSucceeded && x.coordinator != nil {
			x.coordinator.Succeed(release.ReasonGood)
			r.announceState(x, now, true, o)
		}
		r.consider(x, now, order, o)
	case err == nil:
		r.consider(x, now, order, o)
	case errors.Is(err, platform.ErrNotFound):
		x.orderRemoved()
	case ctx.Err() == nil:
		x.isOutdated = true
		x.writeAfter = now.Add(statusRetryPause)
		if errors.Is(err, platform.ErrConflict) && order.Service != "" {
			r.consider(x, now, order, o)
		}
		r.emit(event.RolloutStatusNotWritten, x, event.F("status", status), event.F("error", err))
	}
	r.mu.Unlock()
	r.flush(o)
}
