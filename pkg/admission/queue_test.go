package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tarragondrum/tarragondrum/pkg/admission"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/reason"
)

var epoch = time.Unix(1_700_000_000, 0)

const service = 10 * time.Millisecond

func config(slots, connections, waiting int) admission.Config {
	return admission.Config{Slots: slots, Connections: connections, Waiting: func(model.Class) int { return waiting }}
}

type held struct {
	class model.Class
	since time.Time
}

// upstreamModel drives a queue as a node does and keeps its own books.
type upstreamModel struct {
	q       *admission.Queue
	now     time.Time
	nextID  uint64
	waiting map[uint64]model.Class
	order   map[model.Class][]uint64
	running []held
}

func (m *upstreamModel) arrive(t *rapid.T, c model.Class, left time.Duration) {
	m.nextID++
	before := m.q.Load()
	d := m.q.Arrive(m.now, m.nextID, c, m.now.Add(left))
	switch d.Verdict {
	case admission.Admitted:
		m.start(t, c, before.Limit)
	case admission.Queued:
		m.waiting[m.nextID] = c
		m.order[c] = append(m.order[c], m.nextID)
	case admission.Refused:
		if d.Reason == "" {
			t.Fatal("refused without a reason")
		}
	}
}

// start checks the bounds that hold whenever a call starts.
func (m *upstreamModel) start(t *rapid.T, c model.Class, limit int) {
	m.running = append(m.running, held{class: c, since: m.now})
	if len(m.running) > limit {
		t.Fatalf("%d calls run, the limit is %d", len(m.running), limit)
	}
	low := m.count(model.ClassBatch) + m.count(model.ClassInternal)
	isLow := c == model.ClassBatch || c == model.ClassInternal
	if isLow && low > limit-admission.Reserved(limit) {
		t.Fatalf("%d batch and internal calls use the slots reserved for callers, limit %d", low, limit)
	}
	if isLow && m.count(c) > admission.Share(c, limit) {
		t.Fatalf("%d %s calls run, the share is %d", m.count(c), c, admission.Share(c, limit))
	}
}

func (m *upstreamModel) count(c model.Class) int {
	n := 0
	for _, h := range m.running {
		if h.class == c {
			n++
		}
	}
	return n
}

func (m *upstreamModel) next(t *rapid.T) {
	for _, e := range m.q.Next(m.now, nil) {
		c, ok := m.waiting[e.ID]
		if !ok {
			t.Fatalf("call %d was not waiting", e.ID)
		}
		delete(m.waiting, e.ID)
		if e.Granted {
			if first := m.first(c); first != e.ID {
				t.Fatalf("call %d overtook call %d of its class", e.ID, first)
			}
			m.start(t, c, m.q.Load().Limit)
		}
		m.remove(c, e.ID)
	}
}

func (m *upstreamModel) first(c model.Class) uint64 { return m.order[c][0] }

func (m *upstreamModel) remove(c model.Class, id uint64) {
	for i, w := range m.order[c] {
		if w == id {
			m.order[c] = append(m.order[c][:i:i], m.order[c][i+1:]...)
			return
		}
	}
}

// Slots, shares and order hold whatever arrives and ends.
func TestQueueKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 12).Draw(t, "slots")
		connections := rapid.IntRange(1, 40).Draw(t, "connections")
		m := &upstreamModel{
			q: admission.NewQueue(config(slots, connections, 5)), now: epoch,
			waiting: map[uint64]model.Class{}, order: map[model.Class][]uint64{},
		}
		class := rapid.SampledFrom(model.Classes())
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				m.arrive(t, class.Draw(t, "class"), time.Duration(rapid.IntRange(0, 200).Draw(t, "left"))*time.Millisecond)
			},
			"end": func(t *rapid.T) {
				if len(m.running) == 0 {
					return
				}
				i := rapid.IntRange(0, len(m.running)-1).Draw(t, "which")
				h := m.running[i]
				m.running = append(m.running[:i:i], m.running[i+1:]...)
				o := rapid.SampledFrom([]admission.Outcome{admission.OutcomeOK, admission.OutcomeShed, admission.OutcomeFailed}).Draw(t, "outcome")
				m.q.Done(m.now, h.class, m.now.Sub(h.since), o)
				m.next(t)
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			},
			"cancel": func(t *rapid.T) {
				for id, c := range m.waiting {
					if !m.q.Cancel(id) {
						t.Fatalf("call %d cannot be cancelled", id)
					}
					delete(m.waiting, id)
					m.remove(c, id)
					break
				}
				m.next(t)
			},
			"": func(t *rapid.T) {
				l := m.q.Load()
				if l.Running != len(m.running) || l.Queued != len(m.waiting) {
					t.Fatalf("load is %+v, %d run and %d wait", l, len(m.running), len(m.waiting))
				}
				if l.Limit < 1 || l.Limit > connections {
					t.Fatalf("limit %d, connections %d", l.Limit, connections)
				}
			},
		})
	})
}

// grants runs one slot after the other with every class always waiting and
// counts who gets them.
func grants(t *testing.T, slots, n int, classes ...model.Class) map[model.Class]int {
	t.Helper()
	q := admission.NewQueue(config(slots, slots, 1000))
	now, id := epoch, uint64(0)
	class := map[uint64]model.Class{}
	var running []model.Class
	fill := func() {
		for _, c := range classes {
			for range 3 {
				id++
				if q.Arrive(now, id, c, now.Add(time.Hour)).Verdict == admission.Admitted {
					running = append(running, c)
				}
				class[id] = c
			}
		}
	}
	got := map[model.Class]int{}
	fill()
	for range n {
		fill()
		now = now.Add(service)
		done := running[0]
		running = running[1:]
		q.Done(now, done, service, admission.OutcomeOK)
		for _, e := range q.Next(now, nil) {
			running = append(running, class[e.ID])
			got[class[e.ID]]++
		}
	}
	return got
}

// Batch and internal calls come back even when callers never stop.
func TestNothingStarves(t *testing.T) {
	is := is.New(t)
	got := grants(t, 6, 900, model.Classes()...)
	is.True(got[model.ClassBatch] >= 900/12)
	is.True(got[model.ClassInternal] >= 900/12)
	is.True(got[model.ClassInteractive]+got[model.ClassOrder] >= 900*2/3)
}

// A flood of internal calls leaves the callers' slots free.
func TestInternalCallsLeaveSlotsForCallers(t *testing.T) {
	is := is.New(t)
	q := admission.NewQueue(config(9, 130, 100))
	admitted := 0
	for id := range uint64(50) {
		if q.Arrive(epoch, id, model.ClassInternal, epoch.Add(time.Hour)).Verdict == admission.Admitted {
			admitted++
		}
	}
	is.Equal(admitted, 3)
	for id := range uint64(6) {
		d := q.Arrive(epoch, 100+id, model.ClassInteractive, epoch.Add(time.Hour))
		is.Equal(d.Verdict, admission.Admitted)
	}
}

// A call that would wait past its deadline is refused at once.
func TestHopelessCallsAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	q := admission.NewQueue(config(1, 1, 100))
	is.Equal(q.Arrive(epoch, 1, model.ClassInteractive, epoch.Add(time.Second)).Verdict, admission.Admitted)
	q.Done(epoch, model.ClassInteractive, 100*time.Millisecond, admission.OutcomeOK)
	is.Equal(q.Arrive(epoch, 2, model.ClassInteractive, epoch.Add(time.Second)).Verdict, admission.Admitted)
	for id := uint64(3); id < 6; id++ {
		is.Equal(q.Arrive(epoch, id, model.ClassInteractive, epoch.Add(time.Second)).Verdict, admission.Queued)
	}
	d := q.Arrive(epoch, 6, model.ClassInteractive, epoch.Add(300*time.Millisecond))
	is.Equal(d.Verdict, admission.Refused)
	is.Equal(d.Reason, reason.QueueTimeout)
	is.True(d.RetryAfter >= time.Second)
	is.Equal(q.Arrive(epoch, 7, model.ClassInteractive, epoch).Reason, reason.DeadlineExpired)
}

func TestQueueIsBounded(t *testing.T) {
	is := is.New(t)
	q := admission.NewQueue(config(1, 1, 2))
	deadline := epoch.Add(time.Hour)
	is.Equal(q.Arrive(epoch, 1, model.ClassBatch, deadline).Verdict, admission.Admitted)
	is.Equal(q.Arrive(epoch, 2, model.ClassBatch, deadline).Verdict, admission.Queued)
	is.Equal(q.Arrive(epoch, 3, model.ClassBatch, deadline).Verdict, admission.Queued)
	is.Equal(q.Arrive(epoch, 4, model.ClassBatch, deadline).Reason, reason.QueueFull)
}

// An expired call is reported and gives its place to the next.
func TestExpiredCallsLeaveTheQueue(t *testing.T) {
	is := is.New(t)
	q := admission.NewQueue(config(1, 1, 5))
	q.Arrive(epoch, 1, model.ClassOrder, epoch.Add(time.Hour))
	q.Arrive(epoch, 2, model.ClassOrder, epoch.Add(time.Second))
	q.Arrive(epoch, 3, model.ClassOrder, epoch.Add(time.Hour))
	now := epoch.Add(2 * time.Second)
	q.Done(now, model.ClassOrder, time.Millisecond, admission.OutcomeOK)
	events := q.Next(now, nil)
	is.Equal(len(events), 2)
	is.Equal(events[0].ID, uint64(2))
	is.Equal(events[0].Reason, reason.QueueTimeout)
	is.Equal(events[1], admission.Event{ID: 3, Granted: true})
}

// Calls that wait at an upstream that answers nothing are sent back at once, so
// that they can run elsewhere.
func TestStalledUpstreamKeepsNobodyWaiting(t *testing.T) {
	is := is.New(t)
	q := admission.NewQueue(config(1, 1, 10))
	deadline := epoch.Add(time.Hour)
	q.Arrive(epoch, 1, model.ClassInteractive, deadline)
	now := epoch.Add(service)
	q.Done(now, model.ClassInteractive, service, admission.OutcomeOK)
	q.Arrive(now, 2, model.ClassInteractive, deadline)
	d := q.Arrive(now, 3, model.ClassInteractive, deadline)
	is.Equal(d.Verdict, admission.Queued)
	is.Equal(d.LookAt, now.Add(250*time.Millisecond))
	is.Equal(len(q.Next(d.LookAt.Add(-1), nil)), 0)
	events := q.Next(d.LookAt, nil)
	is.Equal(len(events), 1)
	is.Equal(events[0].Reason, reason.QueueTimeout)
	is.Equal(q.Arrive(d.LookAt, 4, model.ClassInteractive, deadline).Reason, reason.QueueTimeout)
	now = d.LookAt.Add(time.Second)
	q.Done(now, model.ClassInteractive, time.Second, admission.OutcomeOK)
	is.Equal(q.Arrive(now, 5, model.ClassInteractive, deadline).Verdict, admission.Admitted)
}

// BenchmarkAdmit is one call through a queue with a free slot.
func BenchmarkAdmit(b *testing.B) {
	q := admission.NewQueue(config(9, 130, 32))
	now, id := epoch, uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		now = now.Add(service)
		q.Arrive(now, id, model.ClassInteractive, now.Add(time.Second))
		q.Done(now, model.ClassInteractive, service, admission.OutcomeOK)
	}
}
