// Package handover gathers what a pair of operators must see when one shift
// takes over from the other: which bundle is in force, who accepted it, what
// waits, how far the roll-out is, and how old each part of the answer is.
package handover

import (
	"context"
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/rollout"
)

// Waiting is a prepared bundle that nobody has signed off.
type Waiting struct {
	Bundle   bundle.ID `json:"bundle"`
	Preparer string    `json:"preparer"`
	Time     time.Time `json:"time"`
	Reason   string    `json:"reason"`
}

// Quarantined is a call that is refused because it crashed upstreams.
type Quarantined struct {
	Fingerprint string    `json:"fingerprint"`
	Crashes     int       `json:"crashes"`
	Until       time.Time `json:"until"`
}

// PlatformReading is what the platform last told this node.
type PlatformReading struct {
	Acceptance bundle.Acceptance   `json:"acceptance"`
	Recent     []bundle.Acceptance `json:"recent"`
	Waiting    []Waiting           `json:"waiting"`
	Progress   []rollout.Progress  `json:"progress"`
}

// Report is the answer to one question about the state of a mesh.
type Report struct {
	Node       model.NodeID     `json:"node"`
	DataCentre model.DataCentre `json:"dataCentre"`
	Time       time.Time        `json:"time"`
	// InForce is the newest acceptance that this node knows of; Version 0 means none.
	InForce bundle.Acceptance `json:"inForce"`
	// Applied is the version that this node itself serves.
	Applied model.Version `json:"applied"`
	// PlatformError says why the platform could not be asked; empty when it answered.
	PlatformError string `json:"platformError,omitempty"`
	// PlatformTime is the time of the platform's last answer; zero means never.
	PlatformTime time.Time           `json:"platformTime"`
	Recent       []bundle.Acceptance `json:"recent"`
	Waiting      []Waiting           `json:"waiting"`
	Progress     []rollout.Progress  `json:"progress"`
	Refused      *rollout.Refusal    `json:"refused,omitempty"`
	Quarantined  []Quarantined       `json:"quarantined"`
	// Members counts the nodes by what this node believes of them.
	Members map[membership.Status]int `json:"members"`
}

// PlatformReader asks the platform for its part of the report.
type PlatformReader func(ctx context.Context) (PlatformReading, error)

// Sources are the places that a report is gathered from.
type Sources struct {
	Node       model.NodeID
	DataCentre model.DataCentre
	Rollout    rollout.Source
	Members    membership.Source
	// Quarantine lists the refused calls.
	Quarantine func() []Quarantined
	Platform   PlatformReader
	// Progress asks the leads of every data centre; it is used while the platform
	// does not answer.
	Progress func(ctx context.Context) []rollout.Progress
	// PlatformTimeout bounds the question to the platform.
	PlatformTimeout time.Duration
}

// Collector gathers reports and remembers the last answer of the platform, so
// that it can answer during an outage.
type Collector struct {
	sources Sources

	mu       sync.Mutex
	last     PlatformReading
	lastTime time.Time
}

// NewCollector returns a collector over the given sources.
func NewCollector(s Sources) *Collector { return &Collector{sources: s} }

// Report gathers a report. It does not fail: what cannot be learned now is
// answered from the last known state, with its age.
func (c *Collector) Report(ctx context.Context) Report {
	reading, readAt, platformErr := c.read(ctx)
	status := c.sources.Rollout.Status()
	progress := mergeProgress(reading.Progress, status.Progress)
	if platformErr != nil {
		progress = mergeProgress(progress, c.sources.Progress(ctx))
	}
	r := Report{
		Node:         c.sources.Node,
		DataCentre:   c.sources.DataCentre,
		Time:         time.Now().UTC(),
		InForce:      newest(status.Acceptance, reading.Acceptance),
		Applied:      c.sources.Rollout.Applied(),
		PlatformTime: readAt,
		Recent:       newerList(reading.Recent, status.History),
		Waiting:      reading.Waiting,
		Progress:     progress,
		Refused:      status.Refused,
		Quarantined:  c.sources.Quarantine(),
		Members:      countMembers(c.sources.Members.View()),
	}
	if platformErr != nil {
		r.PlatformError = platformErr.Error()
	}
	if status.Confirmed.After(r.PlatformTime) {
		r.PlatformTime = status.Confirmed
	}
	return r
}

func (c *Collector) read(ctx context.Context) (PlatformReading, time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, c.sources.PlatformTimeout)
	defer cancel()
	reading, err := c.sources.Platform(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.last = reading
		c.lastTime = time.Now().UTC()
	}
	return c.last, c.lastTime, err
}

func newest(a, b bundle.Acceptance) bundle.Acceptance {
	if b.Version > a.Version {
		return b
	}
	return a
}

// newerList returns the list whose first entry is the newer version.
func newerList(a, b []bundle.Acceptance) []bundle.Acceptance {
	if len(a) == 0 {
		return b
	}
	if len(b) > 0 && b[0].Version > a[0].Version {
		return b
	}
	return a
}

// mergeProgress keeps the newer entry of each data centre, in the order of a
// and then of b.
func mergeProgress(a, b []rollout.Progress) []rollout.Progress {
	merged := append([]rollout.Progress(nil), a...)
	index := make(map[model.DataCentre]int, len(merged))
	for i, p := range merged {
		index[p.DataCentre] = i
	}
	for _, p := range b {
		i, ok := index[p.DataCentre]
		if !ok {
			merged = append(merged, p)
			continue
		}
		if p.Time.After(merged[i].Time) {
			merged[i] = p
		}
	}
	return merged
}

func countMembers(v *membership.View) map[membership.Status]int {
	counts := make(map[membership.Status]int)
	for _, m := range v.Members {
		counts[m.Status]++
	}
	return counts
}
