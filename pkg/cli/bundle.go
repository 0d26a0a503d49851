package cli

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/bundlestore"
	"github.com/tarragondrum/tarragondrum/pkg/hostconf"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/objects"
	"github.com/tarragondrum/tarragondrum/pkg/signoff"
	"github.com/tarragondrum/tarragondrum/platform"
)

const (
	// bundleTimeout bounds one bundle command.
	bundleTimeout = time.Minute
	// shortIDLength is the number of characters of a bundle id in printed text.
	shortIDLength = 12
	// minIDPrefix is the smallest number of characters by which a bundle id can be
	// abbreviated. Shorter numbers are read as versions.
	minIDPrefix = 6
)

// bundleCmd is the group of commands about bundles.
type bundleCmd struct {
	Check     *bundleCheckCmd     `arg:"subcommand:check" help:"check a folder without the platform"`
	Prepare   *bundlePrepareCmd   `arg:"subcommand:prepare" help:"check a folder, store it as a bundle and show what it changes"`
	SignOff   *bundleSignOffCmd   `arg:"subcommand:sign-off" help:"put a prepared bundle in force"`
	Roll      *bundleRollCmd      `arg:"subcommand:roll" help:"follow the bundle in force until every node has applied it"`
	Status    *bundleStatusCmd    `arg:"subcommand:status" help:"show what is in force, what waits and how far the roll-out is"`
	History   *bundleHistoryCmd   `arg:"subcommand:history" help:"list who accepted what and when"`
	Diff      *bundleDiffCmd      `arg:"subcommand:diff" help:"show what differs between two bundles"`
	Show      *bundleShowCmd      `arg:"subcommand:show" help:"print the content of a bundle"`
	Withdraw  *bundleWithdrawCmd  `arg:"subcommand:withdraw" help:"take back a prepared bundle"`
	Reference *bundleReferenceCmd `arg:"subcommand:reference" help:"print every key of the bundle files with type, default and meaning"`
}

// storeFlags is the address of the platform's store and the node settings that
// name the store and the operators' keys.
type storeFlags struct {
	Store    string `arg:"--store,env:TARRAGONDRUM_STORE" placeholder:"IP:PORT" help:"address of the platform's object store"`
	Settings string `arg:"--settings,env:TARRAGONDRUM_SETTINGS" placeholder:"FILE" help:"settings file of a node, for the store and the operators' keys"`
}

// session holds the store client and the operators' keys of a bundle command.
type session struct {
	store objects.Store
	// keyring holds the operators' keys; nil without a settings file that has them.
	keyring *bundle.Keyring
}

// usageError is invalid input. The command has changed nothing and exits with
// ExitUsage.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }
func (e *usageError) Unwrap() error { return e.err }

// usagef formats a usageError.
func usagef(format string, args ...any) error {
	return &usageError{err: fmt.Errorf(format, args...)}
}

// faultsError lists what is invalid in a file or folder.
type faultsError struct{ faults []bundle.Fault }

func (e *faultsError) Error() string {
	lines := make([]string, 0, len(e.faults)+1)
	for _, f := range e.faults {
		lines = append(lines, formatFault(f))
	}
	return strings.Join(append(lines, countFaults(len(e.faults))), "\n")
}

func countFaults(n int) string {
	if n == 1 {
		return "1 fault"
	}
	return fmt.Sprintf("%d faults", n)
}

// formatFault formats a fault as file:line: key: message, without the parts that it
// lacks.
func formatFault(f bundle.Fault) string {
	text := f.File
	if f.Line > 0 {
		text += fmt.Sprintf(":%d", f.Line)
	}
	if f.Key != "" {
		text += ": " + f.Key
	}
	return text + ": " + f.Message
}

// open reads the settings, if any, and connects to the store. The address in the flags
// takes precedence over that in the settings. The caller calls the returned function
// to close the client.
func (f storeFlags) open() (*session, func(), error) {
	s := &session{}
	if f.Settings != "" {
		file, _, err := hostconf.Load(f.Settings)
		if err != nil {
			return nil, nil, &usageError{err: err}
		}
		s.keyring = file.Keyring()
		if f.Store == "" {
			f.Store = file.Store.Address
		}
	}
	if f.Store == "" {
		return nil, nil, usagef("no address of the store given: --store IP:PORT or --settings FILE")
	}
	client := platform.NewStore(f.Store, platform.StoreHooks{})
	s.store = platform.NewObjects(client)
	return s, client.Close, nil
}

// withSession opens the store, runs work within the timeout and returns the exit code.
func (f storeFlags) withSession(ctx context.Context, env Env, timeout time.Duration, work func(context.Context, *session) error) int {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s, closeStore, err := f.open()
	if err == nil {
		defer closeStore()
		err = work(ctx, s)
	}
	return env.exit(err)
}

// exit prints an error, if any, and returns the exit code of its type.
func (e Env) exit(err error) int {
	var (
		usage      *usageError
		faults     *faultsError
		conflict   *signoff.ConflictError
		lost       *signoff.LostVersionError
		unknown    *signoff.UnknownOutcomeError
		incomplete *incompleteError
		pending    *pendingError
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &faults):
		_, _ = fmt.Fprintln(e.Stderr, err)
		return ExitUsage
	case errors.As(err, &usage):
		return e.fail(ExitUsage, err)
	case errors.As(err, &conflict), errors.As(err, &lost):
		return e.fail(ExitConflict, err)
	case errors.As(err, &unknown), errors.As(err, &pending):
		return e.fail(ExitUnknown, err)
	case errors.As(err, &incomplete):
		return e.fail(ExitBehind, err)
	}
	return e.fail(ExitFailed, err)
}

// resolve returns the id of the bundle that name refers to: "in-force", a version
// number such as 12 or v12, an id, or the first characters of the id of a prepared
// bundle.
func (s *session) resolve(ctx context.Context, name string) (bundle.ID, error) {
	if name == "in-force" {
		head, _, err := bundlestore.ReadHead(ctx, s.store)
		if err == nil && head.Acceptance.Version == 0 {
			err = errors.New("no bundle has been accepted yet")
		}
		return head.Acceptance.Bundle, err
	}
	if v, ok := parseVersion(name); ok {
		a, err := bundlestore.AcceptanceOf(ctx, s.store, v)
		return a.Bundle, err
	}
	if len(name) == len(zeroID) {
		return bundle.ID(name), nil
	}
	return s.findByPrefix(ctx, name)
}

// zeroID has the length of a full bundle id: the hex form of a 32-byte hash.
const zeroID = "0000000000000000000000000000000000000000000000000000000000000000"

// parseVersion parses "12" or "v12". Numbers of minIDPrefix digits or more without the
// "v" are taken as the beginning of an id.
func parseVersion(name string) (model.Version, bool) {
	digits := strings.TrimPrefix(name, "v")
	if len(digits) >= minIDPrefix && digits == name {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 10, 64)
	return model.Version(n), err == nil && n > 0
}

// findByPrefix returns the only prepared bundle whose id begins with prefix.
func (s *session) findByPrefix(ctx context.Context, prefix string) (bundle.ID, error) {
	if len(prefix) < minIDPrefix {
		return "", usagef("bundle %q: give \"in-force\", a version, or at least %d characters of an id", prefix, minIDPrefix)
	}
	entries, _, err := bundlestore.List(ctx, s.store)
	if entries == nil && err != nil {
		return "", err
	}
	var found []bundle.ID
	for _, e := range entries {
		if strings.HasPrefix(string(e.Bundle), prefix) {
			found = append(found, e.Bundle)
		}
	}
	switch len(found) {
	case 0:
		return "", fmt.Errorf("no bundle is prepared whose id begins with %q", prefix)
	case 1:
		return found[0], nil
	}
	return "", usagef("%d bundles have an id that begins with %q; give more characters", len(found), prefix)
}

// load returns the bundle that name refers to, as in resolve, and its id.
func (s *session) load(ctx context.Context, name string) (bundle.ID, bundle.Bundle, error) {
	id, err := s.resolve(ctx, name)
	if err != nil {
		return "", bundle.Bundle{}, err
	}
	b, err := bundlestore.Load(ctx, s.store, id)
	return id, b, err
}
