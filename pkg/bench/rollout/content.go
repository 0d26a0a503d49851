package rollout

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// Size is the number of objects of a bundle.
type Size struct {
	Services int `json:"services"`
	Routes   int `json:"routes"`
}

// Sizes of bundles.
var (
	// SizeTarget is the size at which the system has to run.
	SizeTarget = Size{Services: 460, Routes: 1500}
	// SizeExample is that of a small mesh.
	SizeExample = Size{Services: 6, Routes: 14}
)

// newContent returns a bundle of the given size with names and limits that vary
// as in practice.
func newContent(size Size, seed uint64) bundle.Bundle {
	random := rand.New(rand.NewPCG(seed, 1))
	teams := []string{"orders", "catalogue", "stock", "pigment", "billing", "sizing", "labels", "crews"}
	classes := model.Classes()
	var b bundle.Bundle
	for i := range size.Services {
		team := teams[random.IntN(len(teams))]
		b.Services = append(b.Services, bundle.Service{
			Name:               fmt.Sprintf("%s-%03d", team, i),
			Timeout:            millis(500 + 250*random.IntN(16)),
			RetryBudgetPercent: 10 + 5*random.IntN(3),
			MaxBodyBytes:       int64(64<<10) << random.IntN(5),
			Queue:              bundle.QueueLimits{Interactive: 16, Order: 16, Batch: 64, Internal: 8},
			Probe:              bundle.Probe{Path: "/health", Interval: millis(1000), Timeout: millis(500)},
			Warmup:             millis(10000),
			MaxEjectedPercent:  30,
		})
	}
	for i := range size.Routes {
		service := b.Services[random.IntN(len(b.Services))].Name
		r := bundle.Route{
			Name:       fmt.Sprintf("%s-route-%04d", service, i),
			Host:       fmt.Sprintf("%s.mesh.example", teams[i%len(teams)]),
			PathPrefix: fmt.Sprintf("/v%d/%s/%d", 1+random.IntN(3), service, i),
			Methods:    []string{"GET", "POST"},
			Service:    service,
			Class:      classes[random.IntN(len(classes))],
			Timeout:    millis(250 * (1 + random.IntN(20))),
			Attempts:   1 + random.IntN(3),
		}
		if r.Class == model.ClassOrder {
			r.Methods = []string{"POST"}
			r.Attempts = 1
		}
		r.Internal = r.Class == model.ClassInternal
		b.Routes = append(b.Routes, r)
	}
	b.Normalize()
	return b
}

// change returns a copy of b in which one route differs.
func change(b bundle.Bundle, step int) bundle.Bundle {
	next := b
	next.Routes = append([]bundle.Route(nil), b.Routes...)
	r := &next.Routes[step*37%len(next.Routes)]
	r.Timeout = millis(10000 + step)
	return next
}

func millis(n int) bundle.Duration {
	return bundle.Duration(time.Duration(n) * time.Millisecond)
}
