package ledger

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/order"
	"github.com/tarragondrum/tarragondrum/pkg/platform"
)

// Errors of the package.
var (
	// errNotHosted: this node runs no upstream of the service.
	errNotHosted = errors.New("service is not hosted on this node")
	// errCoordinatorDown: the coordinator cannot write to the platform.
	errCoordinatorDown = errors.New("coordinator cannot reach the platform")
	// errContended: other nodes changed the object at each attempt.
	errContended = errors.New("object kept changing")
)

// maxUpdateAttempts bounds the conditional updates tried for one change.
const maxUpdateAttempts = 5

// update changes the table of a service by a conditional update. change may be
// called several times, each time with a newer table, and decides from that
// table alone. The returned error wraps platform.ErrUnknownOutcome if a write
// may yet take effect.
func (s *Service) update(ctx context.Context, svc *service, create bool, change func(order.Table) (order.Table, bool)) (order.Table, error) {
	select {
	case svc.writing <- struct{}{}:
		defer func() { <-svc.writing }()
	case <-ctx.Done():
		return order.Table{}, ctx.Err()
	}
	u := updater{Service: s, svc: svc, create: create}
	for range maxUpdateAttempts {
		t, done, err := u.attempt(ctx, change)
		if err != nil {
			return order.Table{}, u.failure(err)
		}
		if done {
			return t, nil
		}
	}
	return order.Table{}, u.failure(fmt.Errorf("ledger: update owners of %q: %w", svc.name, errContended))
}

// failure says in the error whether an earlier write may yet take effect.
func (u *updater) failure(err error) error {
	if u.uncertain {
		return fmt.Errorf("%w after %w", err, platform.ErrUnknownOutcome)
	}
	return err
}

// updater is one change of a service's table.
type updater struct {
	*Service
	svc    *service
	create bool
	// uncertain tells that a write based on version base may yet take effect.
	uncertain bool
	base      uint64
}

func (u *updater) attempt(ctx context.Context, change func(order.Table) (order.Table, bool)) (t order.Table, done bool, err error) {
	base, rev, err := u.read(ctx)
	if err != nil {
		return order.Table{}, false, err
	}
	if base.Version > u.base {
		u.uncertain = false
	}
	next, changed := change(base)
	if !changed {
		return base, true, nil
	}
	next.Version = base.Version + 1
	next.Operation = newOperation()
	return u.write(ctx, next, rev)
}

// read returns the newest table with the revision of its object.
func (u *updater) read(ctx context.Context) (order.Table, platform.Revision, error) {
	u.mu.Lock()
	t, rev := u.svc.table, u.svc.revision
	u.mu.Unlock()
	if rev != "" {
		return t, rev, nil
	}
	t, rev, err := u.get(ctx)
	if errors.Is(err, platform.ErrNotFound) {
		return u.first(err)
	}
	return t, rev, err
}

// first returns the empty table of a service that has none.
func (u *updater) first(err error) (order.Table, platform.Revision, error) {
	u.mu.Lock()
	known := u.svc.table.Version
	u.mu.Unlock()
	if known > 0 {
		u.opts.Log.Emit(event.OrderTableMissing, event.F("service", u.svc.name), event.F("version", known))
		return order.Table{}, "", err
	}
	if !u.create {
		return order.Table{}, "", nil
	}
	u.opts.Log.Emit(event.OrderTableCreated, event.F("service", u.svc.name))
	return order.NewTable(u.svc.name, order.BirthOf(time.Now()).Add(-firstKeyAge)), "", nil
}

// get reads the object and adopts its table.
func (u *updater) get(ctx context.Context) (order.Table, platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	o, err := u.store.Get(ctx, u.key())
	if err != nil {
		return order.Table{}, "", fmt.Errorf("ledger: read owners of %q: %w", u.svc.name, err)
	}
	var t order.Table
	if err := json.Unmarshal(o.Value, &t); err != nil {
		return order.Table{}, "", fmt.Errorf("ledger: owners of %q: %w: %w", u.svc.name, order.ErrTable, err)
	}
	if err := t.Validate(); err != nil {
		return order.Table{}, "", fmt.Errorf("ledger: owners of %q: %w", u.svc.name, err)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if t.Version < u.svc.table.Version {
		u.opts.Log.Emit(event.OrderTableMissing, event.F("service", u.svc.name), event.F("version", u.svc.table.Version))
		return order.Table{}, "", fmt.Errorf("ledger: owners of %q went back to version %d: %w", u.svc.name, t.Version, order.ErrTable)
	}
	u.adopt(u.svc, t, o.Revision)
	return t, o.Revision, nil
}

// write puts next if the object still has revision rev. done is false if the
// change has to be decided again.
func (u *updater) write(ctx context.Context, next order.Table, rev platform.Revision) (t order.Table, done bool, err error) {
	value, err := json.Marshal(next)
	if err != nil {
		return order.Table{}, false, fmt.Errorf("ledger: encode owners of %q: %w", u.svc.name, err)
	}
	putCtx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	newRev, err := u.store.Put(putCtx, u.key(), value, rev)
	u.metrics.writes.WithLabelValues("owners", outcomeOf(err)).Inc()
	switch {
	case err == nil:
		u.mu.Lock()
		u.adopt(u.svc, next, newRev)
		u.mu.Unlock()
		return next, true, nil
	case errors.Is(err, platform.ErrConflict):
		u.forget()
		return order.Table{}, false, nil
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrRateLimited), errors.Is(err, platform.ErrTooLarge):
		return order.Table{}, false, fmt.Errorf("ledger: write owners of %q: %w", u.svc.name, err)
	}
	// The answer is lost: read back and decide by the operation.
	u.uncertain, u.base = true, next.Version-1
	u.opts.Log.Emit(event.OrderWriteUnknown, event.F("service", u.svc.name), event.F("error", err))
	u.forget()
	read, _, err := u.get(ctx)
	if errors.Is(err, platform.ErrNotFound) {
		return order.Table{}, false, nil
	}
	if err == nil && read.Operation == next.Operation {
		return read, true, nil
	}
	return order.Table{}, false, err
}

// forget makes the next attempt read the object.
func (u *updater) forget() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.svc.revision = ""
}

func (u *updater) key() platform.Key {
	return platform.Key{Collection: platform.CollectionOwners, Name: u.svc.name}
}

// outcomeOf names the outcome of a platform write for the metrics.
func outcomeOf(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, platform.ErrConflict):
		return "conflict"
	case errors.Is(err, platform.ErrUnavailable):
		return "unavailable"
	case errors.Is(err, platform.ErrRateLimited):
		return "rate-limited"
	}
	return "unknown"
}

func sortOwners(list []order.Owner) {
	slices.SortFunc(list, func(a, b order.Owner) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Instance, b.Instance))
	})
}
