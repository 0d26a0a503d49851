// Package latency measures on one machine what the two nodes of a request add to its
// time and take of the processor. The nodes are real and talk over loopback; the
// store, the upstream and the caller are stand-ins, all in one process.
package latency

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/bench/processor"
	"github.com/tarragondrum/tarragondrum/pkg/localmesh"
	"github.com/tarragondrum/tarragondrum/pkg/meshconf"
	"github.com/tarragondrum/tarragondrum/platform"
)

// The errors of a measurement.
var (
	// ErrSlow is returned when the nodes add more than the stated target.
	ErrSlow = errors.New("latency: nodes add too much")
	// ErrFailed is returned when a request was not answered by the upstream.
	ErrFailed = errors.New("latency: request failed")
)

const (
	// limit is the stated target for what is added to 99 requests in 100.
	limit = 1100 * time.Microsecond
	// startTime bounds the start of the mesh, and warmTime is how long requests are
	// sent before they count.
	startTime = 30 * time.Second
	warmTime  = 2 * time.Second
	// block is the second number of the loopback addresses.
	block = 90
	// maxOpen is the number of connections that the caller keeps and of the upstream's
	// slots, far above the one or two requests that are open at 500 a second.
	maxOpen = 64

	callerService, upstreamService = "caller", "desk"
	host, path                     = "desk.example", "/desk/1"
)

// Options say what to measure.
type Options struct {
	// Rates are requests a second, each for Length.
	Rates  []int
	Length time.Duration
}

// Row is the outcome for one rate.
type Row struct {
	Rate     int `json:"rate"`
	Requests int `json:"requests"`
	// DirectMs are the times of requests straight to the upstream, ThroughMs those
	// over both nodes and AddedMs the latter without the median of the former.
	DirectMs  Times `json:"directMs"`
	ThroughMs Times `json:"throughMs"`
	AddedMs   Times `json:"addedMs"`
	// ProcessorUs is what both nodes take of the processor for a request, without what
	// they take at rest.
	ProcessorUs float64 `json:"processorUs"`
}

// Times are quantiles in milliseconds.
type Times struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
}

// Report is the outcome of a run.
type Report struct {
	Rows []Row `json:"rows"`
}

// Print writes the rows as a table.
func (r Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "requests a second\trequests\tdirect p50, ms\tp99\tthrough p50, ms\tp99\tadded p50, ms\tp99\tprocessor of both nodes, us")
	for _, row := range r.Rows {
		_, _ = fmt.Fprintf(t, "%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\n", row.Rate, row.Requests, row.DirectMs.P50, row.DirectMs.P99,
			row.ThroughMs.P50, row.ThroughMs.P99, row.AddedMs.P50, row.AddedMs.P99, row.ProcessorUs)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

// check returns an error for a rate at which the stated target is missed.
func (r Report) check() error {
	for _, row := range r.Rows {
		if most := float64(limit.Microseconds()) / 1000; row.AddedMs.P99 > most {
			return fmt.Errorf("%d requests a second: %.2f ms for 99 in 100, allowed are %.2f: %w", row.Rate, row.AddedMs.P99, most, ErrSlow)
		}
	}
	return nil
}

// Run measures one row for each rate.
func Run(ctx context.Context, o Options) (Report, error) {
	dir, err := os.MkdirTemp("", "tarragondrum-bench-")
	if err != nil {
		return Report{}, fmt.Errorf("make folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }() // the system empties its own folder
	mesh, err := localmesh.Start(localmesh.Options{Block: block, Dir: dir, Deployment: localmesh.Deployment{
		Name: "latency", DataCentres: []string{"dc"},
		Services: []localmesh.Service{{Name: callerService, Count: 1, Slots: maxOpen}, {Name: upstreamService, Count: 1, Slots: maxOpen}},
	}})
	if err != nil {
		return Report{}, err
	}
	defer mesh.Stop()
	if err := ready(ctx, mesh); err != nil {
		return Report{}, err
	}
	b := &bench{
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxOpen, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		}},
		through:  "http://" + mesh.Hosts[0].Outbound() + path,
		direct:   "http://" + mesh.Hosts[1].Upstream.Address() + path,
		upstream: "up-1",
	}
	var report Report
	for _, rate := range o.Rates {
		row, err := b.measure(ctx, rate, o.Length)
		if err != nil {
			return report, fmt.Errorf("%d requests a second: %w", rate, err)
		}
		report.Rows = append(report.Rows, row)
	}
	return report, report.check()
}

// ready puts a configuration in force and waits for it.
func ready(ctx context.Context, mesh *localmesh.Mesh) error {
	document, err := platform.EncodeConfig(&meshconf.Config{
		Version:  1,
		Services: []meshconf.Service{{Name: upstreamService, HealthPath: "/healthz", MaxConnections: maxOpen}},
		Limits:   meshconf.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: time.Minute},
		Routes: []meshconf.Route{{
			Name: "desk", Host: host, PathPrefix: "/desk/", Parts: []meshconf.Part{{Service: upstreamService, Weight: 1}},
			MaxAttempts: 1, Timeout: 2 * time.Second, Target: time.Second,
		}},
	}, nil)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	mesh.Store.PutConfig(document)
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	return errors.Join(mesh.WaitReady(ctx), mesh.WaitKnown(ctx))
}

// bench is the caller of all requests.
type bench struct {
	client                    *http.Client
	through, direct, upstream string
}

// load says how much is sent each way, in requests a second.
type load struct{ through, direct int }

func (b *bench) measure(ctx context.Context, rate int, length time.Duration) (Row, error) {
	// Half of the requests go each way, so that both meet the same machine.
	if _, _, _, err := b.play(ctx, load{rate, rate}, warmTime); err != nil {
		return Row{}, err
	}
	through, direct, both, err := b.play(ctx, load{rate, rate}, length)
	if err != nil {
		return Row{}, err
	}
	_, _, alone, err := b.play(ctx, load{0, rate}, length)
	if err != nil {
		return Row{}, err
	}
	row := Row{Rate: rate, Requests: len(through), DirectMs: quantiles(direct), ThroughMs: quantiles(through)}
	row.AddedMs = Times{P50: row.ThroughMs.P50 - row.DirectMs.P50, P99: row.ThroughMs.P99 - row.DirectMs.P50}
	_, _, rest, err := b.play(ctx, load{}, length)
	if err != nil {
		return Row{}, err
	}
	row.ProcessorUs = nodesShare(both, alone, rest, len(through))
	return row, nil
}

// nodesShare returns the processor time of both nodes for a request, in microseconds. A
// play with requests both ways has the rest of the mesh, the caller and the upstream of
// all requests and the nodes of one half; one straight to the upstream has the rest, and
// the caller and the upstream of its requests.
func nodesShare(both, straight, rest time.Duration, requests int) float64 {
	return float64((both - 2*straight + rest).Microseconds()) / float64(max(1, requests))
}

// play sends requests at random times, and returns how long they took each way and the
// processor time of the process.
func (b *bench) play(ctx context.Context, l load, length time.Duration) (through, direct []time.Duration, busy time.Duration, err error) {
	var mu sync.Mutex
	var all sync.WaitGroup
	var failed error
	before, end := processor.Time(), time.Now().Add(length)
	way := func(url string, rate int, took *[]time.Duration) {
		b.poisson(ctx, rate, length, &all, func(id string) {
			t, callErr := b.call(ctx, url, id)
			mu.Lock()
			defer mu.Unlock()
			*took, failed = append(*took, t), errors.Join(failed, callErr)
		})
	}
	all.Go(func() { way(b.through, l.through, &through) })
	all.Go(func() { way(b.direct, l.direct, &direct) })
	all.Wait()
	time.Sleep(time.Until(end)) // without requests the mesh rests for as long
	return through, direct, processor.Time() - before, errors.Join(failed, ctx.Err())
}

// poisson calls send at random times, rate times a second.
func (b *bench) poisson(ctx context.Context, rate int, length time.Duration, all *sync.WaitGroup, send func(id string)) {
	if rate == 0 {
		return
	}
	series := strconv.FormatUint(rand.Uint64(), 36)
	end := time.Now().Add(length)
	next := time.Now()
	for i := 0; next.Before(end) && ctx.Err() == nil; i++ {
		time.Sleep(time.Until(next))
		all.Go(func() { send(series + "-" + strconv.Itoa(i)) })
		next = next.Add(time.Duration(rand.ExpFloat64() * float64(time.Second) / float64(rate)))
	}
}

func (b *bench) call(ctx context.Context, url, id string) (time.Duration, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, fmt.Errorf("request %s: %w", id, err)
	}
	r.Host = host
	r.Header.Set(platform.HeaderRequestID, id)
	r.Header.Set(platform.HeaderDeadline, "2000")
	r.Header.Set(platform.HeaderExpected, b.upstream)
	start := time.Now()
	a, err := b.client.Do(r)
	if err != nil {
		return 0, fmt.Errorf("request %s: %w: %w", id, ErrFailed, err)
	}
	defer func() { _ = a.Body.Close() }()
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		return 0, fmt.Errorf("request %s: %w: %w", id, ErrFailed, err)
	}
	if a.StatusCode != http.StatusOK || a.Header.Get(platform.HeaderSignature) == "" {
		return 0, fmt.Errorf("request %s: status %d: %w", id, a.StatusCode, ErrFailed)
	}
	return time.Since(start), nil
}

func quantiles(list []time.Duration) Times {
	if len(list) == 0 {
		return Times{}
	}
	slices.Sort(list)
	at := func(q float64) float64 { return float64(list[int(q*float64(len(list)-1))].Microseconds()) / 1000 }
	return Times{P50: at(0.5), P99: at(0.99)}
}
