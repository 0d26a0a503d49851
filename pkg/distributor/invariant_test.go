package distributor

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// Each invariant check finds a snapshot that breaks it.
func TestInvariantChecksFindViolations(t *testing.T) {
	run(t, func(is *is.I, c *cluster) {
		c.start(1, "cluj-1")
		c.signOff(1)
		c.converge(1, time.Second)
		n := c.nodes["cluj-1-00"]
		c.kill(n.id)
		c.old = nil // the violations below are made by this test
		n.service.applier.audit()
		for _, e := range event.RolloutInvariants() {
			is.Equal(n.log.Count(e), uint64(0))
		}
		s := n.holder.Current()
		s.Bundle.Routes[0].Service = "pigment-ledger"
		n.service.applier.audit()
		n.service.applier.checkInvariants(model.Version(9), s)
		for _, e := range event.RolloutInvariants() {
			is.Equal(n.log.Count(e), uint64(1))
		}
	})
}

// An acceptance in the head that no trusted key signed is refused everywhere.
func TestForgedHeadIsRefused(t *testing.T) {
	run(t, func(is *is.I, c *cluster) {
		c.start(4, "cluj-1")
		acc := c.signOff(1)
		c.converge(1, time.Second)
		forged := acc
		forged.Version = 2
		c.forceHead(forged)
		time.Sleep(5 * time.Second)
		is.Equal(len(c.behind(2)), 4)
		lead := c.nodes[c.nodes["cluj-1-00"].service.group().firstLead()]
		is.Equal(lead.service.Status().Refused.Version, model.Version(2))
		is.Equal(lead.service.Status().Acceptance.Operation, acc.Operation)
	})
}
