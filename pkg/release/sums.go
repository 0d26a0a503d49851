package release

import (
	"math"
	"slices"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/model"
)

const (
	// timeBuckets is the number of buckets of response times. The first one ends at 1 ms, and
	// each ends at bucketFactor times the former, so that the last one begins at 6 s.
	timeBuckets  = 26
	bucketFactor = math.Sqrt2
	// highLoad and fullLoad are the shares of an upstream's slots in use from which a response
	// counts as one under high load, and with nearly all slots in use.
	highLoad = 0.6
	fullLoad = 0.8
)

// Class is what responses are compared by: a version under load is compared with the other
// version under the same load. Load is 0, 1 from highLoad and 2 from fullLoad.
type Class struct {
	Route string `cbor:"1,keyasint"`
	Load  uint8  `cbor:"2,keyasint,omitempty"`
}

// loadOf returns the load of a class.
func loadOf(busy float64) uint8 {
	switch {
	case busy >= fullLoad:
		return 2
	case busy >= highLoad:
		return 1
	}
	return 0
}

// Cell counts the responses of one class.
type Cell struct {
	Count uint32 `cbor:"1,keyasint"`
	Bad   uint32 `cbor:"2,keyasint,omitempty"`
	// Times counts the responses of warm upstreams by response time. Trailing zeros are left out.
	Times []uint32 `cbor:"3,keyasint,omitempty"`
}

// add adds the counts of another cell, or with sign -1 subtracts them.
func (c *Cell) add(o *Cell, sign int) {
	c.Count += uint32(sign * int(o.Count))
	c.Bad += uint32(sign * int(o.Bad))
	for len(c.Times) < len(o.Times) {
		c.Times = append(c.Times, 0)
	}
	for i, n := range o.Times {
		c.Times[i] += uint32(sign * int(n))
	}
}

// warm returns the number of responses in Times.
func (c *Cell) warm() (n uint32) {
	for _, t := range c.Times {
		n += t
	}
	return n
}

// median returns the bucket of the median response time, with the position within it as a
// fraction, or -1 if there are no times.
func (c *Cell) median() float64 {
	half := float64(c.warm()) / 2
	if half == 0 {
		return -1
	}
	for i, n := range c.Times {
		if float64(n) >= half {
			return float64(i) + half/float64(n)
		}
		half -= float64(n)
	}
	return float64(len(c.Times))
}

// Response is the result of one try that an upstream may have run.
type Response struct {
	// Upstream is the host of an upstream of the new version, empty for the old version.
	Upstream string
	Route    string
	// Bad reports an answer with status 500 or above, or none.
	Bad bool
	// Cut reports that this node gave up on the try because another one succeeded, so that
	// Took is less than the response time.
	Cut  bool
	Took time.Duration
	// Warm reports that the upstream had reached its full speed.
	Warm bool
	// Busy is the share of the upstream's slots that were in use at the answer, with that of this
	// request.
	Busy float64
}

// Entries is the part of a report about one class of one upstream, or of the old version as a
// whole if Upstream is empty.
type Entries struct {
	Upstream string `cbor:"1,keyasint,omitempty"`
	Class    Class  `cbor:"2,keyasint"`
	Cell     Cell   `cbor:"3,keyasint"`
}

// Report holds the counts of one node since it learned of an order. They only grow, so that a
// report may be lost, and a new coordinator gets everything with the next one.
type Report struct {
	Node    string         `cbor:"1,keyasint"`
	Process int64          `cbor:"2,keyasint"`
	Service string         `cbor:"3,keyasint"`
	Order   model.Revision `cbor:"4,keyasint"`
	// Number increases with each report of a process.
	Number  uint64    `cbor:"5,keyasint"`
	Entries []Entries `cbor:"6,keyasint,omitempty"`
	// OldInFlight counts the tries at the old version that have no answer yet.
	OldInFlight int `cbor:"7,keyasint,omitempty"`
	// Share is the share that the node sends to the new version now.
	Share float64 `cbor:"8,keyasint,omitempty"`
	// Phase and Term are those of the state that the node knows.
	Phase Phase  `cbor:"9,keyasint,omitempty"`
	Term  uint64 `cbor:"10,keyasint,omitempty"`
}

type entryKey struct {
	upstream string
	class    Class
}

// Counter counts the responses that one node gets for one order. It is not safe for concurrent
// use.
type Counter struct {
	cells map[entryKey]*Cell
}

// maxEntries bounds the classes and upstreams of a counter and so the size of a report.
const maxEntries = 1000

// Record counts a response.
func (c *Counter) Record(r Response) {
	if c.cells == nil {
		c.cells = make(map[entryKey]*Cell)
	}
	key := entryKey{r.Upstream, Class{r.Route, loadOf(r.Busy)}}
	cell := c.cells[key]
	if cell == nil {
		if len(c.cells) >= maxEntries {
			return
		}
		cell = &Cell{}
		c.cells[key] = cell
	}
	cell.Count++
	if r.Bad {
		cell.Bad++
	}
	if !r.Warm || r.Bad && r.Took < time.Millisecond {
		return
	}
	b := bucketOf(r.Took)
	if r.Cut {
		b = min(b+1, timeBuckets-1)
	}
	for len(cell.Times) <= b {
		cell.Times = append(cell.Times, 0)
	}
	cell.Times[b]++
}

// bucketOf returns the bucket of a response time.
func bucketOf(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(int(math.Log(ms)/math.Log(bucketFactor))+1, timeBuckets-1)
}

// Entries returns a copy of the counts.
func (c *Counter) Entries() []Entries {
	list := make([]Entries, 0, len(c.cells))
	for key, cell := range c.cells {
		e := Entries{Upstream: key.upstream, Class: key.class, Cell: *cell}
		e.Cell.Times = slices.Clone(cell.Times)
		list = append(list, e)
	}
	return list
}

// Sums are the counts of all nodes together: those of the old version, and those of each
// upstream of the new one.
type Sums struct {
	Old map[Class]*Cell
	New map[string]map[Class]*Cell
}

// newSums returns the sums of reports.
func newSums(reports map[reportKey]Report) *Sums {
	s := &Sums{Old: make(map[Class]*Cell), New: make(map[string]map[Class]*Cell)}
	for _, r := range reports {
		for i := range r.Entries {
			s.cell(r.Entries[i].Upstream, r.Entries[i].Class).add(&r.Entries[i].Cell, 1)
		}
	}
	return s
}

// cell returns the cell of a class, and creates it if needed.
func (s *Sums) cell(upstream string, class Class) *Cell {
	cells := s.Old
	if upstream != "" {
		if cells = s.New[upstream]; cells == nil {
			cells = make(map[Class]*Cell)
			s.New[upstream] = cells
		}
	}
	c := cells[class]
	if c == nil {
		c = &Cell{}
		cells[class] = c
	}
	return c
}

// since returns the difference to earlier sums.
func (s *Sums) since(before *Sums) *Sums {
	d := &Sums{Old: make(map[Class]*Cell), New: make(map[string]map[Class]*Cell)}
	copyAll := func(from *Sums, sign int) {
		for class, c := range from.Old {
			d.cell("", class).add(c, sign)
		}
		for upstream, cells := range from.New {
			for class, c := range cells {
				d.cell(upstream, class).add(c, sign)
			}
		}
	}
	copyAll(s, 1)
	copyAll(before, -1)
	return d
}
