// Package latency measures the latency and the CPU time that the two nodes on the path of
// a request add to it. The nodes are real and talk over loopback; the store, the upstream
// and the caller are stand-ins, and all of them run in one process.
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

// Errors that Run returns.
var (
	// ErrTargetMissed is returned when the nodes add more latency than maxAddedP99 allows.
	ErrTargetMissed = errors.New("latency: added latency exceeds the target")
	// ErrFailed is returned when the upstream did not answer a request.
	ErrFailed = errors.New("latency: request failed")
)

const (
	// maxAddedP99 is the target for the 99th percentile of the added latency.
	maxAddedP99 = 1100 * time.Microsecond
	// startTimeout is how long the mesh may take to start, and warmUpTime how long requests
	// are sent before the measurement begins.
	startTimeout = 30 * time.Second
	warmUpTime   = 2 * time.Second
	// loopbackBlock is the second octet of the loopback addresses of the mesh.
	loopbackBlock = 90
	// maxOpenConnections is the number of idle connections that the caller keeps, of slots of each
	// host and of connections to the upstream. It is far above the one or two requests
	// that are in flight at 500 requests a second, so that it never limits the load.
	maxOpenConnections = 64

	callerService, upstreamService = "caller", "desk"
	host, path                     = "desk.example", "/desk/1"
)

// Options selects the request rates and the duration of a measurement.
type Options struct {
	// Rates are the rates to measure, in requests a second. Length is the duration at each.
	Rates  []int
	Length time.Duration
}

// Row is the result for one rate.
type Row struct {
	Rate     int `json:"rate"`
	Requests int `json:"requests"`
	// DirectMs is the latency of requests sent directly to the upstream, ThroughMs that of
	// requests through both nodes, and AddedMs is ThroughMs minus the median of DirectMs.
	DirectMs  Times `json:"directMs"`
	ThroughMs Times `json:"throughMs"`
	AddedMs   Times `json:"addedMs"`
	// ProcessorUs is the CPU time that both nodes together use for a request, in
	// microseconds, without their CPU time when idle.
	ProcessorUs float64 `json:"processorUs"`
}

// Times holds latency quantiles in milliseconds.
type Times struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
}

// Report is the result of Run, with one row for each rate.
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

// checkTarget returns an error for the first rate whose 99th percentile of added latency is above
// the target.
func (r Report) checkTarget() error {
	for _, row := range r.Rows {
		if most := float64(maxAddedP99.Microseconds()) / 1000; row.AddedMs.P99 > most {
			return fmt.Errorf("%d requests a second: added p99 is %.2f ms, target %.2f ms: %w", row.Rate, row.AddedMs.P99, most, ErrTargetMissed)
		}
	}
	return nil
}

// Run starts a mesh of two hosts and measures each rate. It returns the rows with ErrTargetMissed
// if a rate misses the target.
func Run(ctx context.Context, o Options) (Report, error) {
	dir, err := os.MkdirTemp("", "tarragondrum-bench-")
	if err != nil {
		return Report{}, fmt.Errorf("create temporary directory: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }() // best effort: the system cleans its temporary directory
	mesh, err := localmesh.Start(localmesh.Options{AddressBlock: loopbackBlock, Dir: dir, Deployment: localmesh.Deployment{
		Name: "latency", DataCentres: []string{"dc"},
		Services: []localmesh.Service{{Name: callerService, HostCount: 1, Slots: maxOpenConnections}, {Name: upstreamService, HostCount: 1, Slots: maxOpenConnections}},
	}})
	if err != nil {
		return Report{}, err
	}
	defer mesh.Stop()
	if err := activateConfig(ctx, mesh); err != nil {
		return Report{}, err
	}
	b := &bench{
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxOpenConnections, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		}},
		through:  "http://" + mesh.Hosts[0].OutboundAddress() + path,
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
	return report, report.checkTarget()
}

// activateConfig writes a configuration to the store and waits until all nodes are ready and have it.
func activateConfig(ctx context.Context, mesh *localmesh.Mesh) error {
	document, err := platform.EncodeConfig(&meshconf.Config{
		Version:  1,
		Services: []meshconf.Service{{Name: upstreamService, HealthPath: "/healthz", MaxConnections: maxOpenConnections}},
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
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return errors.Join(mesh.WaitReady(ctx), mesh.WaitUpstreamsReady(ctx))
}

// bench sends the requests, either through both nodes or directly to the upstream.
type bench struct {
	client                    *http.Client
	through, direct, upstream string
}

// load is the request rate on each path, in requests a second.
type load struct{ through, direct int }

// measure returns the row for one rate. After a warm-up it sends requests on both paths, then
// only on the direct one, then none, so that the CPU time of the nodes can be derived.
func (b *bench) measure(ctx context.Context, rate int, length time.Duration) (Row, error) {
	// Both paths are measured at the same time, so that they see the same load on the machine.
	if _, _, _, err := b.sendLoad(ctx, load{rate, rate}, warmUpTime); err != nil {
		return Row{}, err
	}
	through, direct, both, err := b.sendLoad(ctx, load{rate, rate}, length)
	if err != nil {
		return Row{}, err
	}
	_, _, directCPU, err := b.sendLoad(ctx, load{0, rate}, length)
	if err != nil {
		return Row{}, err
	}
	row := Row{Rate: rate, Requests: len(through), DirectMs: quantiles(direct), ThroughMs: quantiles(through)}
	row.AddedMs = Times{P50: row.ThroughMs.P50 - row.DirectMs.P50, P99: row.ThroughMs.P99 - row.DirectMs.P50}
	_, _, rest, err := b.sendLoad(ctx, load{}, length)
	if err != nil {
		return Row{}, err
	}
	row.ProcessorUs = nodesCPUPerRequest(both, directCPU, rest, len(through))
	return row, nil
}

// nodesCPUPerRequest returns the CPU time of both nodes for a request, in microseconds. Each argument
// is the CPU time of the process over the same duration. both covers the idle mesh, twice the
// caller's and upstream's work for the given number of requests, and the nodes' work for them
// once. directCPU covers the idle mesh and the caller's and upstream's work once, and rest
// only the idle mesh. So both - 2*directCPU + rest is the nodes' work.
func nodesCPUPerRequest(both, directCPU, rest time.Duration, requests int) float64 {
	return float64((both - 2*directCPU + rest).Microseconds()) / float64(max(1, requests))
}

// sendLoad sends requests as Poisson processes on both paths. It returns the latencies on each
// path and the CPU time of the process meanwhile.
func (b *bench) sendLoad(ctx context.Context, l load, length time.Duration) (through, direct []time.Duration, busy time.Duration, err error) {
	var mu sync.Mutex
	var all sync.WaitGroup
	var failed error
	before, end := processor.Time(), time.Now().Add(length)
	sendOn := func(url string, rate int, took *[]time.Duration) {
		b.sendPoisson(ctx, rate, length, &all, func(id string) {
			t, callErr := b.sendRequest(ctx, url, id)
			mu.Lock()
			defer mu.Unlock()
			*took, failed = append(*took, t), errors.Join(failed, callErr)
		})
	}
	all.Go(func() { sendOn(b.through, l.through, &through) })
	all.Go(func() { sendOn(b.direct, l.direct, &direct) })
	all.Wait()
	time.Sleep(time.Until(end)) // with no requests, measures the idle mesh for the same duration
	return through, direct, processor.Time() - before, errors.Join(failed, ctx.Err())
}

// sendPoisson calls send with exponentially distributed gaps, on average rate times a second.
// Request ids begin with a random prefix, so that no two calls of sendPoisson share an id.
func (b *bench) sendPoisson(ctx context.Context, rate int, length time.Duration, all *sync.WaitGroup, send func(id string)) {
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

// sendRequest sends one request and returns the time to the end of the answer. An answer without a
// signature counts as failed, since it does not come from the upstream.
func (b *bench) sendRequest(ctx context.Context, url, id string) (time.Duration, error) {
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

// quantiles sorts durations in place and returns its median and 99th percentile.
func quantiles(durations []time.Duration) Times {
	if len(durations) == 0 {
		return Times{}
	}
	slices.Sort(durations)
	at := func(q float64) float64 {
		return float64(durations[int(q*float64(len(durations)-1))].Microseconds()) / 1000
	}
	return Times{P50: at(0.5), P99: at(0.99)}
}
