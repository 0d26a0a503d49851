package bundlestore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/objects"
)

const (
	// segmentVersions is the number of versions in one history segment.
	segmentVersions = 512
	// maxSegments is the number of segments that are kept; older ones are deleted.
	maxSegments = 128
)

// segment is one stored object of the history: the acceptances of segmentVersions
// consecutive versions, oldest first.
type segment struct {
	Acceptances []bundle.Acceptance `json:"acceptances"`
}

// segmentIndex returns the index of the segment that holds a version. Versions start at 1.
func segmentIndex(v model.Version) uint64 { return uint64(v-1) / segmentVersions }

func segmentKey(index uint64) objects.Key {
	return objects.Key{Collection: objects.CollectionHistory, Name: fmt.Sprintf("segment-%010d", index)}
}

// Archive copies all acceptances that the head lists to the history, and deletes the
// segment that falls out of the retention. The head lists the newest acceptance and
// bundle.MaxRecentAcceptances earlier ones, so a failed call loses nothing if a later one succeeds
// within bundle.MaxRecentAcceptances versions.
func Archive(ctx context.Context, store objects.Store, head bundle.Head) error {
	bySegment := make(map[uint64][]bundle.Acceptance)
	for _, a := range head.All() {
		index := segmentIndex(a.Version)
		bySegment[index] = append(bySegment[index], a)
	}
	for index, acceptances := range bySegment {
		if err := archiveSegment(ctx, store, index, acceptances); err != nil {
			return err
		}
	}
	return deleteExpiredSegment(ctx, store, head.Acceptance.Version)
}

// archiveSegment adds acceptances to one segment. If the segment was changed meanwhile or
// the outcome of the write is unknown, it reads the segment again and retries.
func archiveSegment(ctx context.Context, store objects.Store, index uint64, acceptances []bundle.Acceptance) error {
	var lastErr error
	for range maxWriteAttempts {
		s, revision, err := readSegment(ctx, store, index)
		if err != nil {
			return err
		}
		if !s.merge(acceptances) {
			return nil
		}
		value, err := json.Marshal(s)
		if err != nil {
			return fmt.Errorf("encode history segment: %w", err)
		}
		_, lastErr = store.Put(ctx, segmentKey(index), value, revision)
		if lastErr == nil || !shouldReread(lastErr) {
			return lastErr
		}
	}
	return lastErr
}

// merge inserts the acceptances that the segment lacks and reports whether it changed.
func (s *segment) merge(acceptances []bundle.Acceptance) bool {
	changed := false
	for _, a := range acceptances {
		i, found := slices.BinarySearchFunc(s.Acceptances, a.Version, func(e bundle.Acceptance, v model.Version) int {
			return int(int64(e.Version) - int64(v))
		})
		if !found {
			s.Acceptances = slices.Insert(s.Acceptances, i, a)
			changed = true
		}
	}
	return changed
}

// deleteExpiredSegment deletes the segment that is maxSegments older than the one of the
// newest version. It does so only during the first bundle.MaxRecentAcceptances versions of a segment,
// which spares the other calls a read of the store.
func deleteExpiredSegment(ctx context.Context, store objects.Store, newest model.Version) error {
	index := segmentIndex(newest)
	if index < maxSegments || uint64(newest-1)%segmentVersions >= bundle.MaxRecentAcceptances {
		return nil
	}
	key := segmentKey(index - maxSegments)
	o, err := store.Get(ctx, key)
	if err == nil {
		err = store.Delete(ctx, key, o.Revision)
	}
	if errors.Is(err, objects.ErrNotFound) {
		return nil
	}
	return err
}

// readSegment returns a segment and its revision. A segment that is not stored is returned
// empty, with the empty revision.
func readSegment(ctx context.Context, store objects.Store, index uint64) (segment, objects.Revision, error) {
	o, err := store.Get(ctx, segmentKey(index))
	if errors.Is(err, objects.ErrNotFound) {
		return segment{}, "", nil
	}
	if err != nil {
		return segment{}, "", fmt.Errorf("read history segment: %w", err)
	}
	var s segment
	if err := json.Unmarshal(o.Value, &s); err != nil {
		return segment{}, "", fmt.Errorf("history object %s: %w: %w", o.Key.Name, ErrMalformed, err)
	}
	return s, o.Revision, nil
}

// History returns the newest acceptances, newest first, at most limit of them. It takes
// them from the head and then from the segments.
func History(ctx context.Context, store objects.Store, limit int) ([]bundle.Acceptance, error) {
	head, _, err := ReadHead(ctx, store)
	if err != nil {
		return nil, err
	}
	acceptances := head.All()
	for len(acceptances) > 0 && len(acceptances) < limit && acceptances[len(acceptances)-1].Version > 1 {
		older := acceptances[len(acceptances)-1].Version - 1
		s, _, err := readSegment(ctx, store, segmentIndex(older))
		if err != nil {
			return nil, err
		}
		before := len(acceptances)
		for _, a := range slices.Backward(s.Acceptances) {
			if a.Version <= older {
				acceptances = append(acceptances, a)
			}
		}
		if len(acceptances) == before {
			break // older versions are not recorded or their segment was deleted
		}
	}
	return acceptances[:min(len(acceptances), limit)], nil
}

// AcceptanceOf returns the acceptance of a version from the head or the history, or
// ErrNotPrepared if neither has it.
func AcceptanceOf(ctx context.Context, store objects.Store, v model.Version) (bundle.Acceptance, error) {
	head, _, err := ReadHead(ctx, store)
	if err != nil {
		return bundle.Acceptance{}, err
	}
	acceptances := head.All()
	if v > 0 && v < head.Acceptance.Version {
		s, _, err := readSegment(ctx, store, segmentIndex(v))
		if err != nil {
			return bundle.Acceptance{}, err
		}
		acceptances = append(acceptances, s.Acceptances...)
	}
	for _, a := range acceptances {
		if a.Version == v {
			return a, nil
		}
	}
	return bundle.Acceptance{}, fmt.Errorf("no acceptance of version %d is recorded, the newest version is %d: %w", v, head.Acceptance.Version, ErrNotPrepared)
}
