package release

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragondrum/tarragondrum/pkg/model"
)

const (
	// decideFrom and decideUntil are the parts of an order's duration between which the canary
	// phase may end with Moving. A version without enough evidence by decideUntil is rolled
	// back.
	decideFrom  = 0.6
	decideUntil = 0.7
	// succeedMargin is how long before the end of the duration a roll-out must have succeeded. It
	// covers the time until the order was read, up to 0.9 s, and until the store has the status.
	succeedMargin = 1200 * time.Millisecond
	// firstMoveShare is the share of the requests that move first, for firstMoveTime. A version
	// that turns out bad then has had less than 0.1 of its requests: 0.06 for 0.7 of the time,
	// and 0.3 for the second until all nodes have gone back.
	firstMoveShare = 0.3
	firstMoveTime  = 700 * time.Millisecond
	// recentTime is the period that is judged beside the whole time, so that a version that
	// turns bad late is not hidden by its earlier good responses.
	recentTime = 2500 * time.Millisecond
	// reportTimeout is the age from which the newest report of a node does not count as its
	// current state, and maxSilentShare the share of such nodes up to which a roll-out may
	// succeed without them.
	reportTimeout  = 1500 * time.Millisecond
	maxSilentShare = 0.1
	// lostCoordinator is how long nothing is heard of a coordinator before another node takes
	// over. Coordinators send their state every BeatInterval.
	lostCoordinator = 1200 * time.Millisecond
	// BeatInterval is the time between two states that a coordinator sends, and between two
	// reports of a node.
	BeatInterval = 250 * time.Millisecond
)

// Reasons for which a roll-out ends besides those of a verdict.
const (
	// ReasonGood: the new version is as good as the old one.
	ReasonGood = "good"
	// ReasonNotMoved: requests at the old version did not end in time.
	ReasonNotMoved = "not-moved"
	// ReasonNodesSilent: too many nodes did not report, for example because they are cut off.
	ReasonNodesSilent = "nodes-silent"
	// ReasonUnknownOrder: the store has a running order that no node knows.
	ReasonUnknownOrder = "unknown-order"
	// ReasonOrderRemoved: the store has the order no more.
	ReasonOrderRemoved = "order-removed"
	// ReasonStore: the store has this status.
	ReasonStore = "store"
)

type reportKey struct {
	node    string
	process int64
}

// Upstream is an upstream of the new version.
type Upstream struct {
	Node  string
	Slots int
	// Warm reports that it has reached its full speed.
	Warm bool
}

// Fleet describes the upstreams of a service.
type Fleet struct {
	// OldSlots is the number of slots of all upstreams of the established version together.
	OldSlots int
	// New are the upstreams of the new version that may get requests.
	New []Upstream
	// Nodes is the number of nodes that should report.
	Nodes int
}

// Coordinator decides on the roll-out of one service. It is not safe for concurrent use.
type Coordinator struct {
	state State
	start time.Time
	// reports holds the newest report of each process of a node, and reportedAt when it came.
	reports    map[reportKey]Report
	reportedAt map[reportKey]time.Time
	history    []snapshot
	sick       map[string]string
	movedAt    time.Time
	verdict    Verdict
	// doubtfulAt is when the new version had doubtfulBad bad responses.
	doubtfulAt time.Time
}

type snapshot struct {
	at   time.Time
	sums *Sums
}

// NewCoordinator returns the coordinator of a state that a node has begun or taken over.
// movedAt is set for a state in which the requests move.
func NewCoordinator(now, start time.Time, s State) *Coordinator {
	c := &Coordinator{
		state: s, start: start, reports: make(map[reportKey]Report), reportedAt: make(map[reportKey]time.Time), sick: make(map[string]string),
	}
	if s.Phase == Moving {
		c.movedAt = now
	}
	return c
}

// TakeOver returns the state with which a node takes over from a coordinator that is lost.
func TakeOver(s State, node string) State {
	s.Term, s.Coordinator, s.Sequence = s.Term+1, node, 1
	return s
}

// IsLost reports whether nothing has been heard of the coordinator of a view for so long that
// another node may take over.
func IsLost(now time.Time, v *View) bool { return now.Sub(v.heard) > lostCoordinator }

// State returns the state to be sent at now. Each call returns a higher sequence.
func (c *Coordinator) State(now time.Time) State {
	c.state.Sequence++
	c.state.AgeMs = now.Sub(c.start).Milliseconds()
	return c.state
}

// Target returns the new version.
func (c *Coordinator) Target() string { return c.state.Target }

// Verdict returns the newest verdict.
func (c *Coordinator) Verdict() *Verdict { return &c.verdict }

// Phase returns the current phase and the reason for it.
func (c *Coordinator) Phase() (phase Phase, reason string) { return c.state.Phase, c.state.Reason }

// SetRevision records the newest revision of the object in the store.
func (c *Coordinator) SetRevision(r model.Revision) { c.state.Revision = r }

// Add takes a report over if it is newer than the one before.
func (c *Coordinator) Add(now time.Time, r Report) {
	if r.Service != c.state.Service || r.Order != c.state.Order {
		return
	}
	key := reportKey{r.Node, r.Process}
	if old, known := c.reports[key]; known && old.Number >= r.Number {
		return
	}
	c.reports[key], c.reportedAt[key] = r, now
}

// end ends the roll-out.
func (c *Coordinator) end(p Phase, reason string) {
	c.state.Phase, c.state.Reason, c.state.Share, c.state.Canaries = p, reason, 0, nil
}

// Succeed records that the store has the status Succeeded.
func (c *Coordinator) Succeed(reason string) { c.end(Succeeded, reason) }

// RollBack ends the roll-out.
func (c *Coordinator) RollBack(reason string) { c.end(RolledBack, reason) }

// Step judges the reports and advances the phase. changed reports that the state has changed
// and has to be sent at once. moved reports that nothing uses the old version any more, so
// that the status Succeeded can be written.
func (c *Coordinator) Step(now time.Time, f Fleet) (changed, moved bool) {
	if c.state.Phase.IsFinal() {
		return false, false
	}
	all := newSums(c.reports)
	recent := c.recent(now, all)
	wanted := canaryCount(f, c.state.Share)
	healthy := min(2, wanted)
	if c.state.Phase == Moving {
		healthy = 1 // most upstreams have had too few requests yet
	}
	c.verdict = judge(all, recent, healthy, c.sick, c.isLate(now))
	c.verdict.Reporting, c.verdict.Nodes = len(c.newestReports(now)), f.Nodes
	if c.doubtfulAt.IsZero() && c.verdict.NewBad >= doubtfulBad {
		c.doubtfulAt = now
	}
	if c.verdict.Bad {
		c.RollBack(c.verdict.Reason)
		return true, false
	}
	duration := time.Duration(c.state.DurationMs) * time.Millisecond
	if c.state.Phase == Moving {
		return c.move(now, duration)
	}
	part := float64(now.Sub(c.start)) / float64(duration)
	switch {
	case part >= decideFrom && c.verdict.Good && c.isCovered():
		c.state.Phase, c.state.Share, c.state.Canaries = Moving, firstMoveShare, nil
		c.movedAt = now
		return true, false
	case part >= decideUntil:
		c.RollBack(cmp.Or(c.verdict.Reason, ReasonNodesSilent))
		return true, false
	}
	return c.chooseCanaries(f, wanted), false
}

// isLate reports whether doubtfulTime has passed since doubtfulBad bad responses. A coordinator
// that has taken over does not know when they came, and takes them for old ones.
func (c *Coordinator) isLate(now time.Time) bool {
	return !c.doubtfulAt.IsZero() && (c.state.Term > 1 || now.Sub(c.doubtfulAt) > doubtfulTime)
}

// recent returns the sums of about the last recentTime and stores the current ones.
func (c *Coordinator) recent(now time.Time, all *Sums) *Sums {
	c.history = append(c.history, snapshot{now, all})
	first := 0
	for first+1 < len(c.history) && now.Sub(c.history[first+1].at) >= recentTime {
		first++
	}
	c.history = c.history[first:]
	return all.since(c.history[0].sums)
}

// move is Step while the requests move.
func (c *Coordinator) move(now time.Time, duration time.Duration) (changed, moved bool) {
	switch {
	case now.Sub(c.start) >= duration-succeedMargin:
		c.RollBack(ReasonNotMoved)
		return true, false
	case c.state.Share < 1 && now.Sub(c.movedAt) >= firstMoveTime:
		if !c.verdict.Good || !c.isCovered() {
			c.RollBack(cmp.Or(c.verdict.Reason, ReasonNodesSilent))
			return true, false
		}
		c.state.Share = 1
		return true, false
	}
	return false, c.state.Share == 1 && c.isMoved(now)
}

// newestReports returns the current report of each node.
func (c *Coordinator) newestReports(now time.Time) []Report {
	newest := make(map[string]reportKey)
	for key, at := range c.reportedAt {
		if last, known := newest[key.node]; !known || at.After(c.reportedAt[last]) {
			newest[key.node] = key
		}
	}
	var reports []Report
	for _, key := range newest {
		if now.Sub(c.reportedAt[key]) <= reportTimeout {
			reports = append(reports, c.reports[key])
		}
	}
	return reports
}

// isCovered reports whether nearly all nodes report.
func (c *Coordinator) isCovered() bool {
	return float64(c.verdict.Reporting) >= (1-maxSilentShare)*float64(c.verdict.Nodes)
}

// isMoved reports whether all nodes send everything to the new version and nothing is in flight
// at the old one.
func (c *Coordinator) isMoved(now time.Time) bool {
	reports := c.newestReports(now)
	for i := range reports {
		if reports[i].Share != 1 || reports[i].OldInFlight > 0 {
			return false
		}
	}
	return c.isCovered()
}

// canaryCount returns the number of canaries that a share of the requests loads somewhat more
// than the old upstreams are loaded, at least one.
func canaryCount(f Fleet, share float64) int {
	if len(f.New) == 0 {
		return 1
	}
	slots := 0
	for _, u := range f.New {
		slots += max(1, u.Slots)
	}
	perUpstream := float64(slots) / float64(len(f.New))
	return max(1, int(share*float64(f.OldSlots)/perUpstream))
}

// chooseCanaries replaces canaries that are gone or have a problem, and reports whether the list
// has changed. Only warm upstreams are chosen, since cold ones are slow.
func (c *Coordinator) chooseCanaries(f Fleet, count int) bool {
	usable := make(map[string]bool, len(f.New))
	var more []string
	for _, u := range f.New {
		if c.sick[u.Node] != "" || !u.Warm {
			continue
		}
		usable[u.Node] = true
		if !slices.Contains(c.state.Canaries, u.Node) {
			more = append(more, u.Node)
		}
	}
	// The order by hash spreads the canaries over the data centres, however hosts are named.
	slices.SortFunc(more, func(a, b string) int {
		if xxhash.Sum64String(a) < xxhash.Sum64String(b) {
			return -1
		}
		return 1
	})
	var list []string
	for _, node := range c.state.Canaries {
		if usable[node] && len(list) < count {
			list = append(list, node)
		}
	}
	list = append(list, more[:min(len(more), count-len(list))]...)
	if slices.Equal(list, c.state.Canaries) {
		return false
	}
	c.state.Canaries = list
	return true
}
