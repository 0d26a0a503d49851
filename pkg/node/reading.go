package node

import (
	"context"
	"fmt"
	"sort"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/bundlestore"
	"github.com/tarragondrum/tarragondrum/pkg/handover"
	"github.com/tarragondrum/tarragondrum/pkg/platform"
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
		progress, err := bundlestore.ReadProgress(ctx, store)
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
	// One record that cannot be read does not hide the others.
	entries, _, err := bundlestore.List(ctx, store)
	if entries == nil && err != nil {
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
