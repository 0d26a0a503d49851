package gossip_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/gossip/gossiptest"
)

func TestNodesFindEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := gossiptest.New(gossiptest.Options{Nodes: 24, DataCentres: 3, Seed: 1})
		defer c.KillAll()
		is.NoErr(c.StartAll())
		took, ok := gossiptest.Wait(30*time.Second, c.Converged)
		t.Log(took)
		is.True(ok)
	})
}
