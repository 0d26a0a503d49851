package membership_test

import (
	"errors"
	"testing"

	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/mesh/codec"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// fuzzDecode checks that whatever a peer sends is either refused with a typed
// error or a message that can be encoded again. good is a valid message; the
// other seeds break a bound or the form.
func fuzzDecode[T any, P interface {
	*T
	Validate() error
}](f *testing.F, good T, use func(T)) {
	data, err := codec.Marshal(good)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Add([]byte{})
	f.Add([]byte{0xa1, 0x01, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}) // an array of 2^64-1 elements
	f.Fuzz(func(t *testing.T, body []byte) {
		m, err := membership.Decode[T, P](body)
		if err != nil {
			if !errors.Is(err, mesh.ErrMalformed) {
				t.Fatalf("untyped error: %v", err)
			}
			return
		}
		if _, err := codec.Marshal(m); err != nil {
			t.Fatalf("decoded message cannot be encoded: %v", err)
		}
		use(m)
	})
}

func entry(id string) membership.Entry {
	r := record(id, "dc0")
	r.Upstreams = []model.Upstream{{Name: "a", Service: "order-desk", State: model.UpstreamRunning}}
	return membership.Entry{Record: r, Status: membership.StatusAlive}
}

func FuzzPing(f *testing.F) {
	fuzzDecode(f, membership.Ping{Sequence: 1, Suspected: 2, Gossip: []membership.Entry{entry("n1")}}, func(membership.Ping) {})
}

func FuzzAck(f *testing.F) {
	fuzzDecode(f, membership.Ack{Sequence: 1}, func(membership.Ack) {})
}

func FuzzIndirectPing(f *testing.F) {
	fuzzDecode(f, membership.IndirectPing{Sequence: 1, TargetID: "n1", Addr: "10.0.0.1:7400"}, func(membership.IndirectPing) {})
}

func FuzzJoinRequest(f *testing.F) {
	fuzzDecode(f, membership.JoinRequest{Record: record("n1", "dc0")}, func(membership.JoinRequest) {})
}

func FuzzJoinReply(f *testing.F) {
	reply := membership.JoinReply{Self: entry("n1"), Peers: []mesh.Peer{{ID: "n2", Addr: "10.0.0.2:7400"}}}
	fuzzDecode(f, reply, func(membership.JoinReply) {})
}

func FuzzUpdate(f *testing.F) {
	u := membership.Update{Stage: membership.StageTree, Root: "n1", Sequence: 3, Entries: []membership.Entry{entry("n1")}}
	fuzzDecode(f, u, func(u membership.Update) {
		newTable("self", "dc0").Apply(start, u.Entries)
	})
}

func FuzzExchange(f *testing.F) {
	known := newTable("peer", "dc1")
	known.Apply(start, []membership.Entry{entry("n1"), entry("n2")})
	reply, _ := known.Respond(start, newTable("self", "dc0").StartExchange())
	fuzzDecode(f, reply, func(x membership.Exchange) {
		table := newTable("self", "dc0")
		if r, _ := table.Respond(start, x); r.Validate() != nil {
			f.Errorf("answer breaks a bound: %v", r.Validate())
		}
		if next, _ := table.Continue(start, x); next.Validate() != nil {
			f.Errorf("next request breaks a bound: %v", next.Validate())
		}
	})
}
