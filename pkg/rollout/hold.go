package rollout

import (
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// Hold keeps a refused version from being pulled again for a time. Newer
// versions are never held back.
type Hold struct {
	length  time.Duration
	version model.Version
	until   time.Time
}

// NewHold returns a hold that lasts for the given time.
func NewHold(length time.Duration) Hold { return Hold{length: length} }

// Set holds back version v and every older one.
func (h *Hold) Set(v model.Version, now time.Time) {
	if v < h.version {
		return
	}
	h.version = v
	h.until = now.Add(h.length)
}

// Blocks reports whether version v is held back.
func (h *Hold) Blocks(v model.Version, now time.Time) bool {
	return v <= h.version && now.Before(h.until)
}
