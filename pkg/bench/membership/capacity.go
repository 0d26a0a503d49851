package membershipbench

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/gossip/gossiptest"
	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/mesh/codec"
)

// Capacity is what one node holds and does at a given size, measured on the
// pure table.
type Capacity struct {
	Nodes       int `json:"nodes"`
	DataCentres int `json:"dataCentres"`
	// TableMB and ViewMB are the heap of the records and of one picture of them.
	TableMB float64 `json:"tableMB"`
	ViewMB  float64 `json:"viewMB"`
	// ViewMillis is the time to make a picture, ApplyMicros that to take one
	// record, and TickMicros that of the decisions of one probe interval.
	ViewMillis  float64 `json:"viewMillis"`
	ApplyMicros float64 `json:"applyMicros"`
	TickMicros  float64 `json:"tickMicros"`
	// JoinBytes and JoinExchanges are what a node needs to learn everything, and
	// LargestMessage is the largest message of these in bytes.
	JoinBytes      int `json:"joinBytes"`
	JoinExchanges  int `json:"joinExchanges"`
	LargestMessage int `json:"largestMessageBytes"`
	// PingBytes is the size of a ping, without the datagram around it.
	PingBytes int `json:"pingBytes"`
}

// ticks is the number of probe intervals over which the decisions are timed.
const ticks = 100

// measureCapacity fills a table and lets another one learn it by exchanges.
func measureCapacity(nodes, centres int) (Capacity, error) {
	c := Capacity{Nodes: nodes, DataCentres: centres}
	cluster := gossiptest.New(gossiptest.Options{Nodes: nodes, DataCentres: centres})
	entries := make([]membership.Entry, nodes)
	for i, n := range cluster.Nodes {
		n.Record.Incarnation = 1_800_000_000_000
		entries[i] = membership.Entry{Record: n.Record, Status: membership.StatusAlive}
	}
	now := time.Now()
	full := newTable(entries[0].Record, now)
	start := time.Now()
	full.Apply(now, entries[1:])
	c.ApplyMicros = float64(time.Since(start).Microseconds()) / float64(nodes)

	before := heapBytes()
	joiner := newTable(entries[nodes-1].Record, now)
	if err := c.join(joiner, full, now); err != nil {
		return c, err
	}
	filled := heapBytes()
	c.TableMB = megabytes(filled, before)
	start = time.Now()
	view := joiner.View()
	c.ViewMillis = float64(time.Since(start).Microseconds()) / 1000
	c.ViewMB = megabytes(heapBytes(), filled)
	start = time.Now()
	for range ticks {
		joiner.Expire(now)
		joiner.NextProbe()
		joiner.RandomFailed()
	}
	c.TickMicros = float64(time.Since(start).Microseconds()) / ticks
	runtime.KeepAlive(view)
	runtime.KeepAlive(joiner)
	ping, err := codec.Marshal(membership.Ping{Sequence: 1 << 20, State: membership.State{
		Incarnation: entries[0].Record.Incarnation, Digest: full.Digest(), Applied: 1 << 20,
	}})
	if err != nil {
		return c, err
	}
	c.PingBytes = len(ping)
	return c, nil
}

func newTable(self membership.Record, now time.Time) *membership.Table {
	return membership.NewTable(membership.DefaultConfig(), self, now, rand.New(rand.NewPCG(1, 1)), nil)
}

// join lets a node that knows nothing learn a full table, over encoded messages.
func (c *Capacity) join(joiner, full *membership.Table, now time.Time) error {
	for joiner.Digest() != full.Digest() {
		if c.JoinExchanges++; c.JoinExchanges > c.Nodes {
			return fmt.Errorf("join after %d exchanges: %w", c.JoinExchanges, errLate)
		}
		for request := joiner.StartExchange(); request.Step != membership.StepDone; {
			received, err := c.carry(request)
			if err != nil {
				return err
			}
			reply, _ := full.Respond(now, received)
			if received, err = c.carry(reply); err != nil {
				return err
			}
			request, _ = joiner.Continue(now, received)
		}
	}
	return nil
}

// carry encodes, counts and decodes one message.
func (c *Capacity) carry(x membership.Exchange) (membership.Exchange, error) {
	data, err := codec.Marshal(x)
	if err != nil {
		return x, err
	}
	c.JoinBytes += len(data)
	c.LargestMessage = max(c.LargestMessage, len(data))
	return membership.Decode[membership.Exchange](data)
}

func megabytes(after, before uint64) float64 {
	return float64(after-min(before, after)) / (1 << 20)
}
