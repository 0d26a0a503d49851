package wire

import (
	"errors"
	"fmt"
	"net"
	"net/netip"

	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/mesh/codec"
)

// Send sends one sealed datagram.
func (t *Transport) Send(to mesh.Peer, kind mesh.Kind, message any) error {
	addr, err := netip.ParseAddrPort(to.Addr)
	if err != nil {
		return fmt.Errorf("peer address %q: %w: %w", to.Addr, mesh.ErrUnreachable, err)
	}
	body, err := codec.Marshal(message)
	if err != nil {
		return err
	}
	data, err := codec.SealDatagram(&codec.Datagram{Kind: kind, From: t.self.ID, Body: body}, t.secret)
	if err != nil {
		return err
	}
	if _, err := t.udp.WriteToUDPAddrPort(data, addr); err != nil {
		return fmt.Errorf("send to %s: %w: %w", to.Addr, mesh.ErrUnreachable, err)
	}
	t.countSent(kind, len(data))
	return nil
}

// readDatagrams handles datagrams one after the other until the socket closes.
func (t *Transport) readDatagrams() {
	// One byte more than the bound tells a datagram over it.
	buffer := make([]byte, mesh.MaxDatagramBytes+1)
	for {
		n, from, err := t.udp.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		t.takeDatagram(buffer[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

func (t *Transport) takeDatagram(data []byte, from netip.AddrPort) {
	d, err := codec.OpenDatagram(data, t.secret)
	if err != nil {
		t.refuse(refusalOf(err), from.String(), err)
		return
	}
	t.countReceived(d.Kind, len(data))
	h, ok := t.Datagram(d.Kind)
	if !ok {
		t.refuse(refusedKind, from.String(), fmt.Errorf("datagram kind %d: %w", d.Kind, mesh.ErrUnknownKind))
		return
	}
	// The decoder copies the body, so the buffer can be used again.
	h(mesh.Peer{ID: d.From, Addr: from.String()}, d.Body)
}
