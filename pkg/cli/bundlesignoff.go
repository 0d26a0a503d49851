package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/bundlestore"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/signoff"
)

// bundleSignOffCmd signs a prepared bundle with an operator's key, which puts it in force
// as the next version.
type bundleSignOffCmd struct {
	storeFlags
	nodeFlags
	Bundle        string         `arg:"positional,required" help:"id of the bundle or its first characters; \"in-force\" with --again"`
	ExpectVersion *model.Version `arg:"--expect-version" placeholder:"N" help:"version that you saw in force, 0 before the first one; required"`
	Key           string         `arg:"--key" placeholder:"FILE" help:"your private key; required"`
	As            string         `arg:"--as,env:TARRAGONDRUM_OPERATOR" placeholder:"NAME" help:"your name, as the key's entry in the settings has it; required"`
	Reason        string         `arg:"--reason" help:"why, shown in the history"`
	Again         bool           `arg:"--again" help:"sign off the bundle in force once more, for example with a new key"`
	JSON          bool           `arg:"--json" help:"print JSON"`
}

func (*bundleSignOffCmd) example() string {
	return `tarragondrum bundle sign-off 3f2a9c01d4e7 --expect-version 11 --key mihai.key --as mihai --settings node.jsonc`
}

func (c *bundleSignOffCmd) run(ctx context.Context, env Env) int {
	if c.ExpectVersion == nil {
		return env.exit(usagef("give the version that you saw in force: --expect-version N"))
	}
	if c.Key == "" || c.As == "" {
		return env.exit(usagef("name the operator and the private key: --as NAME and --key FILE"))
	}
	key, err := readKey(c.Key)
	if err != nil {
		return env.exit(&usageError{err: err})
	}
	return c.withSession(ctx, env, bundleTimeout, func(ctx context.Context, s *session) error {
		if s.keyring == nil {
			_, _ = fmt.Fprintln(env.Stderr, "warning: no --settings with operators' keys given; whether the nodes trust this key is not checked")
		}
		a, err := c.signOff(ctx, s, key, env.warn)
		if err != nil {
			return err
		}
		if c.JSON {
			return env.printJSON(a)
		}
		env.printf("version %d is in force: bundle %.*s, accepted by %s at %s\n", a.Version, shortIDLength, a.Bundle, a.Acceptor, a.Time.Format(time.RFC3339))
		env.printf("to follow it to every node:\n  tarragondrum bundle roll\n")
		return nil
	})
}

// signOff accepts the bundle. A failure to copy the acceptance to the history is only a
// warning: the version is already in force, and the next sign-off copies it.
func (c *bundleSignOffCmd) signOff(ctx context.Context, s *session, key privateKey, warn func(error)) (bundle.Acceptance, error) {
	if key.Name != c.As {
		return bundle.Acceptance{}, usagef("key %q belongs to %q, not to %q", key.KeyID, key.Name, c.As)
	}
	id, err := s.resolve(ctx, c.Bundle)
	if err != nil {
		return bundle.Acceptance{}, err
	}
	onNode, err := c.version(ctx)
	if err != nil {
		warn(fmt.Errorf("whether nodes have a newer version than the store is not checked: %w", err))
	}
	a, err := signoff.Accept(ctx, s.store, signoff.Request{
		Bundle:          id,
		AllowInForce:    c.Again,
		ExpectedVersion: *c.ExpectVersion,
		NodeVersion:     onNode,
		Acceptor:        c.As,
		KeyID:           key.KeyID,
		Key:             key.private(),
		Reason:          c.Reason,
		Operation:       uuid.NewString(),
		Time:            time.Now(),
		Keyring:         s.keyring,
		Warn:            warn,
	})
	if err != nil {
		return bundle.Acceptance{}, err
	}
	if err := archive(ctx, s); err != nil {
		warn(fmt.Errorf("copy version %d to the history (the next sign-off copies it): %w", a.Version, err))
	}
	return a, nil
}

// archive copies the acceptance in force from the head object to the history.
func archive(ctx context.Context, s *session) error {
	head, _, err := bundlestore.ReadHead(ctx, s.store)
	if err != nil {
		return err
	}
	return bundlestore.Archive(ctx, s.store, head)
}

// bundleWithdrawCmd withdraws a prepared bundle, which can then not be signed off until
// it is prepared again.
type bundleWithdrawCmd struct {
	storeFlags
	Bundle string `arg:"positional,required" help:"id of the bundle, or its first characters"`
}

func (*bundleWithdrawCmd) example() string {
	return "tarragondrum bundle withdraw 3f2a9c01d4e7 --settings node.jsonc"
}

func (c *bundleWithdrawCmd) run(ctx context.Context, env Env) int {
	return c.withSession(ctx, env, bundleTimeout, func(ctx context.Context, s *session) error {
		id, err := s.resolve(ctx, c.Bundle)
		if err != nil {
			return err
		}
		if err := bundlestore.Withdraw(ctx, s.store, id); err != nil {
			return err
		}
		env.printf("bundle %.*s is withdrawn; prepare it again to use it\n", shortIDLength, id)
		return nil
	})
}

// pendingError is a sign-off that has not been accepted but still can be.
type pendingError struct {
	operation string
	version   model.Version
}

func (e *pendingError) Error() string {
	return fmt.Sprintf("operation %s has not been accepted: version %d is in force, and the update may still be in progress", e.operation, e.version)
}
