package rollout

// Targets at which the system has to run.
const (
	targetNodes         = 8200
	targetDataCentres   = 12
	targetChangesPerDay = 4800
	secondsPerDay       = 86400
)

// Fit is a straight line through measured points and its value at the target.
type Fit struct {
	Figure      string `json:"figure"`
	DataCentres int    `json:"dataCentres"`
	// By names the variable: "nodes", "1/nodes" for shares that approach a limit,
	// or "levels" of the tree.
	By        string  `json:"by"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	AtTarget  float64 `json:"atTarget"`
}

// line returns the least-squares line through the points.
func line(xs, ys []float64) (intercept, slope float64) {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i := range xs {
		sx += xs[i]
		sy += ys[i]
		sxx += xs[i] * xs[i]
		sxy += xs[i] * ys[i]
	}
	if d := n*sxx - sx*sx; d != 0 {
		slope = (n*sxy - sx*sy) / d
	}
	return (sy - slope*sx) / n, slope
}

// levels returns the depth of the tree of one data centre.
func levels(nodes, dataCentres int) float64 {
	depth, reach, width := 0, 1, 1
	for members := (nodes + dataCentres - 1) / dataCentres; reach < members; depth++ {
		width *= 4
		reach += width
	}
	return float64(depth)
}

// figure is one measured value that is extrapolated.
type figure struct {
	name  string
	by    string
	value func(Row) (float64, bool)
}

func figures() []figure {
	rest := func(f func(*Rest) float64) func(Row) (float64, bool) {
		return func(r Row) (float64, bool) {
			if r.Rest == nil {
				return 0, false
			}
			return f(r.Rest), true
		}
	}
	plain := func(f func(Row) float64) func(Row) (float64, bool) {
		return func(r Row) (float64, bool) { return f(r), true }
	}
	return []figure{
		{"last node, ms", "levels", plain(func(r Row) float64 { return r.Last })},
		{"bytes per node and change", "1/nodes", plain(func(r Row) float64 { return r.TotalBytes })},
		{"platform calls per change", "nodes", plain(func(r Row) float64 { return r.PlatformCalls })},
		{"platform calls per second at rest", "nodes", rest(func(r *Rest) float64 { return r.PlatformCallsPerSecond })},
		{"bytes per second at rest", "nodes", rest(func(r *Rest) float64 { return r.BytesPerSecond })},
		{"percent of a core at rest", "nodes", rest(func(r *Rest) float64 { return r.CorePercent })},
		{"heap bytes", "nodes", rest(func(r *Rest) float64 { return r.MemoryBytes })},
	}
}

// fits extrapolates the plain rows of the way in use for each number of data
// centres.
func fits(rows []Row) []Fit {
	var list []Fit
	byCentres := make(map[int][]Row)
	var order []int
	for _, r := range rows {
		if r.Scenario != ScenarioPlain || r.Way != WayTree {
			continue
		}
		if byCentres[r.DataCentres] == nil {
			order = append(order, r.DataCentres)
		}
		byCentres[r.DataCentres] = append(byCentres[r.DataCentres], r)
	}
	for _, dcs := range order {
		for _, f := range figures() {
			if fit, ok := f.fit(byCentres[dcs], dcs); ok {
				list = append(list, fit)
			}
		}
	}
	return list
}

func (f figure) fit(rows []Row, dcs int) (Fit, bool) {
	var xs, ys []float64
	for _, r := range rows {
		y, ok := f.value(r)
		if !ok {
			return Fit{}, false
		}
		x := variable(f.by, r.Nodes, r.DataCentres)
		xs, ys = append(xs, x), append(ys, y)
	}
	if len(xs) < 2 {
		return Fit{}, false
	}
	fit := Fit{Figure: f.name, DataCentres: dcs, By: f.by}
	fit.Intercept, fit.Slope = line(xs, ys)
	at := variable(f.by, targetNodes, targetDataCentres)
	fit.AtTarget = fit.Intercept + fit.Slope*at
	if f.by == "nodes" && fit.Slope < 0 {
		fit.AtTarget = ys[len(ys)-1] // it does not grow: the value at the most nodes
	}
	return fit, true
}

// variable returns the value of the variable that a figure is fitted by.
func variable(by string, nodes, dataCentres int) float64 {
	switch by {
	case "levels":
		return levels(nodes, dataCentres)
	case "1/nodes":
		return 1 / float64(nodes)
	}
	return float64(nodes)
}
