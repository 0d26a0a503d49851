package host

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/hostconf"
)

// settingsInterval is the time between two checks of the settings file.
const settingsInterval = time.Second

// Reload reads the settings file and applies it if it has changed. Signal tells whether a
// signal requested it; the result is then always logged.
func (n *Node) Reload(signal bool) {
	n.reloadMu.Lock()
	defer n.reloadMu.Unlock()
	raw, err := hostconf.Read(n.path)
	if err == nil && bytes.Equal(raw, n.raw) {
		if signal {
			n.log.Emit(event.SettingsReloaded, event.F("changed", false))
		}
		return
	}
	var s *hostconf.Settings
	if err == nil {
		s, err = hostconf.Parse(raw)
	}
	if err != nil {
		if signal || !errors.Is(err, hostconf.ErrInvalid) {
			n.log.Emit(event.SettingsRefused, event.F("error", err))
		}
		return
	}
	n.raw = raw
	old := n.settings.Swap(s)
	n.keyring.Store(s.Keyring())
	if n.credentials != nil {
		n.credentials.Revoke(s.Peers.RevokedSerials())
	}
	if old.Store.Address != s.Store.Address {
		n.storePtr.Swap(n.newStore(s.Store.Address)).Close()
		// Another store has epochs and revisions of its own.
		n.storeEpoch.Store(0)
		n.forgetStore()
		n.currency.tracker.Forget(n.currency.now())
	}
	listen := old.Listen
	listen.Profiles = s.Listen.Profiles // applied without a restart
	if listen != s.Listen || old.Node != s.Node || old.Limits != s.Limits || old.Upstream != s.Upstream || old.Peers.Files() != s.Peers.Files() {
		n.log.Emit(event.SettingsNeedRestart, event.F("node", s.Node.ID))
	}
	n.log.Emit(event.SettingsReloaded, event.F("changed", true), event.F("signal", signal))
}

// watchSettings polls the settings file, for changes without a signal.
func (n *Node) watchSettings(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, settingsInterval)
		n.Reload(false)
	}
}
