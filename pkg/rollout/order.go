package rollout

import (
	"fmt"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// CheckOrder decides whether next may follow the acceptance in force, which is
// nil before the first. It returns ErrStale for a version that is not newer and
// ErrParent for the very next version with another parent. Versions may be
// skipped: one acceptance stands for the whole content.
func CheckOrder(current *bundle.Acceptance, next *bundle.Acceptance) error {
	if next.Version == 0 {
		return fmt.Errorf("version 0 is never accepted: %w", bundle.ErrStale)
	}
	if current == nil {
		return nil
	}
	if next.Version <= current.Version {
		return fmt.Errorf("version %d after %d: %w", next.Version, current.Version, bundle.ErrStale)
	}
	if next.Version == current.Version+1 && next.Parent != current.Bundle {
		return fmt.Errorf("version %d follows %.12s, but %.12s is in force: %w", next.Version, next.Parent, current.Bundle, bundle.ErrParent)
	}
	return nil
}

// PullChoice is what a node does when it hears of a peer's version.
type PullChoice string

// The choices.
const (
	// PullNothing: the version is not newer than the applied one.
	PullNothing PullChoice = "nothing"
	// PullPending: a pull of at least this version is waiting or running.
	PullPending PullChoice = "pending"
	// PullLater: pull after a grace in which a push usually arrives.
	PullLater PullChoice = "later"
)

// ChoosePull decides on an offered version. pending is the highest version that
// is being pulled already, or zero.
func ChoosePull(applied, pending, offered model.Version) PullChoice {
	if offered <= applied {
		return PullNothing
	}
	if offered <= pending {
		return PullPending
	}
	return PullLater
}
