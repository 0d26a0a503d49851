package calls

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/order"
)

// scenario is one bad day.
type scenario struct {
	name string
	// services run in the mesh; callers call the first one.
	services []service
	length   time.Duration
	streams  []stream
	// disturb brings the bad day about; nil for none.
	disturb func(ctx context.Context, c *cluster) error
	// baselines are the policies run beside the mesh.
	baselines []Policy
	// planned tells that all stops are planned, so that no call may be cut.
	planned bool
	look    order.Lookahead
	// settle is how long the mesh runs before the first call.
	settle time.Duration
}

// Sizes of the services at the two sites.
var (
	orderDesk     = service{name: "order-desk", instances: 7, slots: 9, connections: 130, median: 20 * time.Millisecond, spread: 0.5}
	apronOrders   = service{name: "orders", instances: 5, slots: 6, connections: 110, median: 20 * time.Millisecond, spread: 0.5}
	apronCatalog  = service{name: "catalogue", instances: 4, slots: 6, connections: 110, median: 20 * time.Millisecond, spread: 0.5}
	allBaselines  = []Policy{PolicyRandom, PolicyRoundRobin, PolicyRetry}
	retryBaseline = []Policy{PolicyRetry}
)

var (
	statusCall   = call{class: model.ClassInteractive, method: http.MethodGet, path: "/status"}
	batchCall    = call{class: model.ClassBatch, method: http.MethodGet, path: "/batch"}
	internalCall = call{class: model.ClassInternal, method: http.MethodGet, path: "/check"}
	orderCall    = call{class: model.ClassOrder, method: http.MethodPost, path: "/orders", keyed: true}
)

// pages draws one of a few popular pages.
func pages(rate float64) stream {
	const popular = 20
	return stream{rate: rate, draw: func(rng *rand.Rand) call {
		c := statusCall
		c.path = fmt.Sprintf("/status/%d", rng.IntN(popular))
		return c
	}}
}

// bundleOf returns routes of every class to the first service.
func bundleOf(services []service) bundle.Bundle {
	var b bundle.Bundle
	for _, s := range services {
		b.Services = append(b.Services, bundle.Service{
			Name: s.name, Timeout: bundle.Duration(time.Second), RetryBudgetPercent: 20, MaxEjectedPercent: 50,
			Warmup: bundle.Duration(s.cold),
		})
	}
	first := services[0].name
	route := func(name, prefix string, c model.Class) {
		b.Routes = append(b.Routes, bundle.Route{
			Name: name, PathPrefix: prefix, Service: first, Class: c, Attempts: 3, Internal: c == model.ClassInternal,
		})
	}
	route("status", "/status", model.ClassInteractive)
	route("orders", "/orders", model.ClassOrder)
	route("batch", "/batch", model.ClassBatch)
	route("check", "/check", model.ClassInternal)
	return b
}

// every calls f at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func(i int) error) error {
	for i := 0; ; i++ {
		pause(ctx, interval)
		if ctx.Err() != nil {
			return nil
		}
		if err := f(i); err != nil {
			return err
		}
	}
}

// keepAlive restarts stand-ins some time after they crashed.
func keepAlive(ctx context.Context, c *cluster, down time.Duration) error {
	seen := make(map[*node]uint64)
	return every(ctx, pollPause, func(int) error {
		for _, n := range c.of("") {
			if n.standIn.Crashes() == seen[n] {
				continue
			}
			pause(ctx, down)
			if err := n.standIn.Restart(); err != nil {
				return err
			}
			seen[n] = n.standIn.Crashes()
			if err := n.announce(); err != nil {
				return err
			}
		}
		return nil
	})
}

// scenarios returns every bad day in a fixed order.
func scenarios() []scenario {
	return []scenario{
		statusHang(), billedTwice(), catalogueCrawl(), internalFlood(), coldStart(),
		lyingHealth(), poisonCall(), rollingRestart(), platformDown(), keyForms(),
	}
}

// statusHang: an upstream stalls behind a good health page.
func statusHang() scenario {
	return scenario{
		name: "status-hang", services: []service{apronOrders}, length: 4 * time.Second, baselines: allBaselines,
		streams: []stream{pages(300), always(30, orderCall)},
		disturb: func(ctx context.Context, c *cluster) error {
			pause(ctx, time.Second)
			n := c.of("orders")[0]
			n.standIn.SetStalled(true)
			defer n.standIn.SetStalled(false)
			pause(ctx, 2*time.Second)
			return nil
		},
	}
}

// billedTwice: a cooperative sends each order three times through different
// nodes, and upstreams crash after running one.
func billedTwice() scenario {
	c := orderCall
	c.copies = 3
	return scenario{
		name: "billed-twice", services: []service{apronOrders}, length: 4 * time.Second, baselines: retryBaseline,
		streams: []stream{pages(200), always(40, c)},
		disturb: func(ctx context.Context, c *cluster) error {
			var g errgroup.Group
			g.Go(func() error { return keepAlive(ctx, c, 300*time.Millisecond) })
			g.Go(func() error {
				return every(ctx, time.Second, func(i int) error {
					nodes := c.of("")
					nodes[i%len(nodes)].standIn.CrashAfter(1)
					return nil
				})
			})
			return g.Wait()
		},
	}
}

// catalogueCrawl: a batch flood over the capacity of the catalogue.
func catalogueCrawl() scenario {
	batch := batchCall
	batch.patient = true
	return scenario{
		name: "catalogue-crawl", services: []service{apronCatalog}, length: 4 * time.Second, baselines: allBaselines,
		streams: []stream{pages(150), always(1800, batch).during(time.Second, 2*time.Second)},
	}
}

// internalFlood: stock checks flood the order service from inside.
func internalFlood() scenario {
	return scenario{
		name: "internal-flood", services: []service{apronOrders}, length: 4 * time.Second, baselines: []Policy{PolicyRandom},
		streams: []stream{pages(200), always(30, orderCall), always(2500, internalCall).during(time.Second, 2*time.Second)},
	}
}

// coldStart: all instances start cold at the same time.
func coldStart() scenario {
	desk := orderDesk
	desk.cold, desk.coldFactor = 3*time.Second, 10
	return scenario{
		name: "cold-start", services: []service{desk}, length: 4 * time.Second, baselines: allBaselines,
		streams: []stream{pages(500).during(200*time.Millisecond, 4*time.Second)},
		disturb: func(_ context.Context, c *cluster) error {
			for _, n := range c.of("") {
				n.standIn.Crash()
				if err := n.standIn.Restart(); err != nil {
					return err
				}
				if err := n.announce(); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// lyingHealth: one instance answers its health page and fails calls.
func lyingHealth() scenario {
	return scenario{
		name: "lying-health", services: []service{orderDesk}, length: 3 * time.Second, baselines: allBaselines,
		streams: []stream{pages(500)},
		disturb: func(ctx context.Context, c *cluster) error {
			pause(ctx, 500*time.Millisecond)
			c.of("")[0].standIn.SetFailing(true)
			return nil
		},
	}
}

// poisonCall: a request that crashes each upstream is sent again and again.
func poisonCall() scenario {
	killer := statusCall
	killer.path, killer.poison, killer.label = "/status/killer", true, " (poison)"
	return scenario{
		name: "poison", services: []service{orderDesk}, length: 5 * time.Second, baselines: retryBaseline,
		streams: []stream{pages(400), always(3, killer).during(time.Second, 3*time.Second)},
		disturb: func(ctx context.Context, c *cluster) error { return keepAlive(ctx, c, 300*time.Millisecond) },
	}
}

// rollingRestart: every host is replaced in turn under load.
func rollingRestart() scenario {
	return scenario{
		name: "rolling-restart", services: []service{orderDesk}, length: 16 * time.Second, planned: true,
		streams: []stream{pages(300), always(40, orderCall)}, settle: 3 * time.Second,
		disturb: func(ctx context.Context, c *cluster) error {
			for _, n := range c.of("") {
				pause(ctx, 300*time.Millisecond)
				if ctx.Err() != nil {
					return nil
				}
				if err := c.replace(n); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// platformDown: the platform is down from the first second on.
func platformDown() scenario {
	opaque := orderCall
	opaque.opaque, opaque.label = true, " (opaque key)"
	look := order.DefaultLookahead()
	look.Short, look.Renew = 4*time.Second, time.Second
	return scenario{
		name: "platform-down", services: []service{apronOrders}, length: 8 * time.Second, look: look, settle: 3 * time.Second,
		streams: []stream{pages(100), always(60, orderCall), always(5, opaque)},
		disturb: func(ctx context.Context, c *cluster) error {
			pause(ctx, time.Second)
			c.store.SetDown(true)
			return nil
		},
	}
}

// platformLatency is that of the platform in keyForms.
const platformLatency = 5 * time.Millisecond

// keyForms weighs the two ways of owning keys on a healthy platform.
func keyForms() scenario {
	opaque := orderCall
	opaque.opaque, opaque.label = true, " (opaque key)"
	return scenario{
		name: "key-forms", services: []service{apronOrders}, length: 4 * time.Second, settle: 3 * time.Second,
		streams: []stream{always(60, orderCall), always(60, opaque)},
		disturb: func(_ context.Context, c *cluster) error {
			c.store.SetDelay(platformLatency)
			return nil
		},
	}
}
