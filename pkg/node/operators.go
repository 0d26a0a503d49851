package node

import (
	"context"
	"os"
	"reflect"
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/kernel"
	"github.com/tarragondrum/tarragondrum/pkg/settings"
)

// settingsInterval is the time between two looks at the settings file.
const settingsInterval = 2 * time.Second

// operators reads the operators' keys again when the settings file changes, so
// that a key is added or withdrawn without a restart. A file with faults
// changes nothing.
type operators struct {
	file     string
	current  settings.Settings
	keyring  *bundle.Keyring
	log      *event.Log
	modified time.Time
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

func newOperators(file string, s settings.Settings, keyring *bundle.Keyring, log *event.Log) *operators {
	return &operators{file: file, current: s, keyring: keyring, log: log}
}

// Name implements kernel.Service.
func (*operators) Name() string { return "operators" }

// Needs implements kernel.Service.
func (*operators) Needs() []string { return nil }

// Start implements kernel.Service.
func (o *operators) Start(context.Context, *kernel.Kernel) error {
	ctx, cancel := context.WithCancel(context.Background())
	o.cancel = cancel
	o.modified = o.modTime()
	o.done.Go(func() { o.run(ctx) })
	return nil
}

// Stop implements kernel.Service.
func (o *operators) Stop(context.Context) error {
	o.cancel()
	o.done.Wait()
	return nil
}

func (o *operators) run(ctx context.Context) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			o.look()
		case <-ctx.Done():
			return
		}
	}
}

// look reads the file if it has changed since the last look.
func (o *operators) look() {
	modified := o.modTime()
	if modified.Equal(o.modified) {
		return
	}
	o.modified = modified
	next, faults := settings.Load(o.file)
	if len(faults) > 0 {
		o.log.Emit(event.SettingsKept, event.F("file", o.file), event.F("faults", faults))
		return
	}
	o.replace(next)
}

// replace puts the keys of valid settings in use.
func (o *operators) replace(next settings.Settings) {
	if !reflect.DeepEqual(next.Operators, o.current.Operators) {
		keyring, err := next.Keyring()
		if err != nil {
			o.log.Emit(event.SettingsKept, event.F("file", o.file), event.F("error", err))
			return
		}
		o.keyring.Replace(keyring)
		o.log.Emit(event.OperatorsReplaced, event.F("keys", len(next.Operators)))
	}
	o.current.Operators = next.Operators
	if !reflect.DeepEqual(next, o.current) {
		o.log.Emit(event.SettingsIgnored, event.F("file", o.file))
	}
}

// modTime returns the file's modification time; the zero time if there is none.
func (o *operators) modTime() time.Time {
	info, err := os.Stat(o.file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
