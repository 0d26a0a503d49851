package node

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/bundlestore"
	"github.com/tarragondrum/tarragondrum/pkg/handover"
	"github.com/tarragondrum/tarragondrum/pkg/platform"
	"github.com/tarragondrum/tarragondrum/pkg/rollout"
)

// platformReader returns the platform's part of the handover report. The
// acceptance is only reported if a trusted key signed it.
func platformReader(store platform.Store, keyring *bundle.Keyring) handover.PlatformReader {
	return func(ctx context.Context) (handover.PlatformReading, error) {
		head, _, err := bundlestore.ReadHead(ctx, store)
		if err != nil {
			return handover.PlatformReading{}, err
		}
		if head.Acceptance.Version > 0 {
			if err := keyring.Verify(&head.Acceptance); err != nil {
				return handover.PlatformReading{}, fmt.Errorf("platform head: %w", err)
			}
		}
		waiting, err := readWaiting(ctx, store)
		if err != nil {
			return handover.PlatformReading{}, err
		}
		progress, err := readProgress(ctx, store)
		if err != nil {
			return handover.PlatformReading{}, err
		}
		return handover.PlatformReading{
			Acceptance: head.Acceptance,
			Recent:     head.Recent,
			Waiting:    waiting,
			Progress:   progress,
		}, nil
	}
}

// readWaiting lists the bundles that are prepared and wait for a sign-off,
// oldest first.
func readWaiting(ctx context.Context, store platform.Store) ([]handover.Waiting, error) {
	entries, _, err := bundlestore.List(ctx, store)
	if err != nil {
		return nil, err
	}
	var waiting []handover.Waiting
	for _, e := range bundlestore.Waiting(entries) {
		waiting = append(waiting, handover.Waiting{
			Bundle:   e.Bundle,
			Preparer: e.Meta.Preparer,
			Time:     e.Meta.Time,
			Reason:   e.Meta.Reason,
		})
	}
	sort.Slice(waiting, func(i, j int) bool { return waiting[i].Time.Before(waiting[j].Time) })
	return waiting, nil
}

// readProgress reads the roll-out summary of every data centre.
func readProgress(ctx context.Context, store platform.Store) ([]rollout.Progress, error) {
	objects, _, err := store.List(ctx, platform.CollectionStatuses)
	if err != nil {
		return nil, err
	}
	progress := make([]rollout.Progress, 0, len(objects))
	for _, o := range objects {
		var p rollout.Progress
		if err := json.Unmarshal(o.Value, &p); err != nil {
			return nil, fmt.Errorf("decode roll-out summary %q: %w", o.Key.Name, err)
		}
		progress = append(progress, p)
	}
	sort.Slice(progress, func(i, j int) bool { return progress[i].DataCentre < progress[j].DataCentre })
	return progress, nil
}
