// Package cost estimates how long a request will occupy a slot of an upstream before it is sent,
// and how fast an upstream is in relation to the others of its service.
//
// It is meant for loads whose requests differ in cost by an order of magnitude, and for services
// whose upstreams differ in speed. It has no clock and does no I/O: the time is an argument.
package cost

import (
	"container/list"
	"math"
	"math/bits"
	"net/http"
	"time"
)

const (
	// halfLife is the time after which a sample counts half.
	halfLife = 10 * time.Second
	// startEstimate is the estimate without any sample.
	startEstimate = 100 * time.Millisecond
	// clipFactor limits a sample to this multiple of the estimate, and to its inverse, so that
	// one odd value has little effect.
	clipFactor = 4
	// priorSamples is the number of samples at which a finer key counts as much as the coarser
	// one above it. rootSamples is the same for a route and all routes together, which
	// have little in common.
	priorSamples = 4
	rootSamples  = 0.5
	// maxOwnSamples is about how many recent samples one organisation adds to the cells that it
	// shares with others. More requests of one organisation don't move the estimates of others.
	maxOwnSamples = 16
	// maxCells bounds the memory to about 0.5 MB. The cell that was unused for the longest time
	// is evicted.
	maxCells = 4096
	// minSizeBits is the number of bits of the largest body of the lowest size class, 1 KB, and
	// maxSize the highest class, above 4 MB. A class spans a factor of 4.
	minSizeBits = 10
	maxSize     = 7
)

// Key describes what is known of a request before it is sent.
type Key struct {
	Route, Method string
	// Body is the size of the request's body in bytes.
	Body         int
	Organisation string
}

// cellKey identifies a cell. The level counts the fields that it holds.
type cellKey struct {
	level                       int
	route, method, organisation string
	size                        int
}

// levels is the number of cells that a request belongs to: all requests, those of its route, of
// the method, of the size class, and of the organisation.
const levels = 5

// organisationLevel is the index of the only cell that an organisation has for itself.
const organisationLevel = levels - 1

// cells returns the keys of the cells of a request, the coarsest first.
func (k *Key) cells() [levels]cellKey {
	var all [levels]cellKey
	c := cellKey{}
	all[0] = c
	c.level, c.route = 1, k.Route
	all[1] = c
	c.level, c.method = 2, method(k.Method)
	all[2] = c
	c.level, c.size = 3, sizeClass(k.Body)
	all[3] = c
	c.level, c.organisation = organisationLevel, k.Organisation
	all[organisationLevel] = c
	return all
}

// method returns a method, or an empty text for one that is not standard. Callers could otherwise
// fill the cells with invented methods.
func method(m string) string {
	switch m {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions:
		return m
	}
	return ""
}

// sizeClass returns the class of a body size.
func sizeClass(size int) int {
	return min(max(0, (bits.Len(uint(max(0, size)))-minSizeBits+1)/2), maxSize)
}

// cell holds the decaying mean of samples.
type cell struct {
	key cellKey
	// weight is the decayed number of samples at the time at, and mean their mean in ms.
	weight, mean float64
	at           time.Time
}

// decayed returns the weight of a cell at a time.
func (c *cell) decayed(now time.Time) float64 {
	return c.weight * math.Exp2(-max(0, float64(now.Sub(c.at)))/float64(halfLife))
}

// Estimator estimates the slot time of requests. It is not safe for concurrent use.
type Estimator struct {
	cells map[cellKey]*list.Element
	// recent holds the cells, the most recently updated first.
	recent *list.List
}

// NewEstimator returns an estimator without samples.
func NewEstimator() *Estimator {
	return &Estimator{cells: make(map[cellKey]*list.Element), recent: list.New()}
}

// Len returns the number of cells.
func (e *Estimator) Len() int { return len(e.cells) }

// cell returns a cell, or nil if it has no sample.
func (e *Estimator) cell(k cellKey) *cell {
	if element := e.cells[k]; element != nil {
		return element.Value.(*cell)
	}
	return nil
}

// prior returns the number of samples at which the cells of a level count as much as the estimate
// of the level above.
func prior(level int) float64 {
	if level <= 1 {
		return rootSamples
	}
	return priorSamples
}

// refine returns the estimate of a level in ms, given that of the level above.
func (e *Estimator) refine(now time.Time, level int, k cellKey, above float64) float64 {
	c := e.cell(k)
	if c == nil {
		return above
	}
	w := c.decayed(now)
	return (w*c.mean + prior(level)*above) / (w + prior(level))
}

// Estimate returns the expected time of a request in a slot of an upstream of usual speed. known is
// the decayed number of samples of its route, 0 if the estimate is only a guess.
func (e *Estimator) Estimate(now time.Time, k Key) (expected time.Duration, known float64) {
	estimate := toMillis(startEstimate)
	for level, key := range k.cells() {
		estimate = e.refine(now, level, key, estimate)
		if level == 1 {
			if c := e.cell(key); c != nil {
				known = c.decayed(now)
			}
		}
	}
	return time.Duration(estimate * float64(time.Millisecond)), known
}

// Observe adds the time that a request took in a slot of an upstream. speed is the time of that
// upstream relative to the usual time.
func (e *Estimator) Observe(now time.Time, k Key, took time.Duration, speed float64) {
	sample := toMillis(took) / speed
	if !(sample >= 0) || math.IsInf(sample, 0) {
		return
	}
	keys := k.cells()
	shared := e.sharedWeight(now, keys[organisationLevel])
	estimate := toMillis(startEstimate)
	for level, key := range keys {
		estimate = e.refine(now, level, key, estimate)
		weight := shared
		if level == organisationLevel {
			weight = 1
		}
		e.add(now, key, min(max(sample, estimate/clipFactor), estimate*clipFactor), weight)
	}
}

// sharedWeight returns the weight of a sample in the cells that organisations share. Requests
// without an organisation count fully.
func (e *Estimator) sharedWeight(now time.Time, own cellKey) float64 {
	c := e.cell(own)
	if own.organisation == "" || c == nil {
		return 1
	}
	return min(1, maxOwnSamples/max(1, c.decayed(now)))
}

// add adds a sample to a cell.
func (e *Estimator) add(now time.Time, k cellKey, sample, weight float64) {
	element := e.cells[k]
	if element == nil {
		if len(e.cells) >= maxCells {
			oldest := e.recent.Back()
			delete(e.cells, oldest.Value.(*cell).key)
			e.recent.Remove(oldest)
		}
		element = e.recent.PushFront(&cell{key: k, at: now})
		e.cells[k] = element
	}
	e.recent.MoveToFront(element)
	c := element.Value.(*cell)
	before := c.decayed(now)
	c.weight, c.at = before+weight, now
	c.mean += (sample - c.mean) * weight / c.weight
}

// toMillis returns a time in milliseconds.
func toMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
