package bundlestore

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/tarragondrum/tarragondrum/pkg/platform"
	"github.com/tarragondrum/tarragondrum/pkg/rollout"
)

// ReadProgress returns the roll-out of every data centre that ever reported,
// sorted by name.
func ReadProgress(ctx context.Context, store platform.Store) ([]rollout.Progress, error) {
	objects, _, err := store.List(ctx, platform.CollectionStatuses)
	if err != nil {
		return nil, err
	}
	progress := make([]rollout.Progress, 0, len(objects))
	for _, o := range objects {
		var p rollout.Progress
		if err := json.Unmarshal(o.Value, &p); err != nil {
			return nil, fmt.Errorf("roll-out of data centre %q: %w: %w", o.Key.Name, ErrMalformed, err)
		}
		progress = append(progress, p)
	}
	slices.SortFunc(progress, func(a, b rollout.Progress) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return progress, nil
}
