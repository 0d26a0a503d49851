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
		waiting, err := readWaiting(ctx, store, head)
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

// readWaiting lists bundles that were prepared since the head's acceptance or
// on top of it, and never accepted since, oldest first.
func readWaiting(ctx context.Context, store platform.Store, head bundlestore.Head) ([]handover.Waiting, error) {
	manifests, err := bundlestore.ListManifests(ctx, store)
	if err != nil {
		return nil, err
	}
	accepted := make(map[bundle.ID]bool)
	for _, a := range head.All() {
		accepted[a.Bundle] = true
	}
	var waiting []handover.Waiting
	for _, m := range manifests {
		if accepted[m.Bundle] {
			continue
		}
		waiting = append(waiting, handover.Waiting{
			Bundle:   m.Bundle,
			Preparer: m.Meta.Preparer,
			Time:     m.Meta.Time,
			Reason:   m.Meta.Reason,
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
