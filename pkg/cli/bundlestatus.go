package cli

import (
	"context"
	"errors"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/bundlestore"
	"github.com/tarragondrum/tarragondrum/pkg/handover"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/objects"
	"github.com/tarragondrum/tarragondrum/pkg/signoff"
)

// sourceStore is the source of a status that was read from the store.
const sourceStore = "store"

// operationSearchLimit is the number of newest versions that are searched for an
// operation.
const operationSearchLimit = 1024

// bundleStatusCmd prints the version in force and the prepared bundles, or the outcome of
// one sign-off.
type bundleStatusCmd struct {
	storeFlags
	nodeFlags
	Operation     string         `arg:"--operation" placeholder:"ID" help:"tell whether this sign-off was accepted"`
	ExpectVersion *model.Version `arg:"--expect-version" placeholder:"N" help:"version that the operation expected, to tell a lost one from one under way"`
	JSON          bool           `arg:"--json" help:"print JSON"`
}

func (*bundleStatusCmd) example() string {
	return "tarragondrum bundle status --settings node.jsonc"
}

// statusReport is the JSON form of the result of bundleStatusCmd.
type statusReport struct {
	Acceptance bundle.Acceptance `json:"acceptance"`
	// Signature is "good", "bad" with the reason, or "not checked".
	Signature string `json:"signature"`
	// Source is "store", or "node" and the node's id if the store was unavailable.
	Source string `json:"source"`
	// Confirmed is the last time at which the store answered the source.
	Confirmed time.Time `json:"confirmed"`
	// NodeVersion is the version that the node has in force if it is newer than the one in the
	// store, which was then restored from an older copy; otherwise 0.
	NodeVersion model.Version `json:"nodeVersion,omitempty"`
	// Waiting lists the bundles that wait for a sign-off. It is empty if the source
	// is a node, since nodes do not know them.
	Waiting []bundlestore.Entry `json:"waiting"`
}

func (c *bundleStatusCmd) run(ctx context.Context, env Env) int {
	return c.withSession(ctx, env, bundleTimeout, func(ctx context.Context, s *session) error {
		if c.Operation != "" {
			return c.reportOperation(ctx, env, s)
		}
		// The node is asked first: what it has then, the store has acknowledged before.
		onNode, nodeErr := c.version(ctx)
		report, err := s.status(ctx)
		if errors.Is(err, objects.ErrUnavailable) {
			report, err = c.statusFromNode(ctx, s, err)
		}
		if err != nil {
			return err
		}
		if nodeErr == nil && onNode > report.Acceptance.Version {
			report.NodeVersion = onNode
		}
		if c.JSON {
			return env.printJSON(report)
		}
		return env.printStatus(report, time.Now())
	})
}

// status reads the status from the store.
func (s *session) status(ctx context.Context) (statusReport, error) {
	entries, head, err := bundlestore.List(ctx, s.store)
	if entries == nil && err != nil {
		return statusReport{}, err
	}
	return statusReport{
		Acceptance: head.Acceptance,
		Signature:  s.verify(&head.Acceptance),
		Source:     sourceStore,
		Confirmed:  time.Now().UTC(),
		Waiting:    append([]bundlestore.Entry{}, bundlestore.Waiting(entries)...),
	}, nil
}

// statusFromNode builds a status from the report of a node. It is used when the store is
// unavailable. The acceptance that the node holds counts only if it belongs to the
// version that the node has.
func (c *bundleStatusCmd) statusFromNode(ctx context.Context, s *session, storeErr error) (statusReport, error) {
	client, err := handover.NewClient()
	if err != nil {
		return statusReport{}, errors.Join(storeErr, err)
	}
	nodeReport, err := client.Report(ctx, c.Node)
	if err != nil {
		return statusReport{}, errors.Join(storeErr, err)
	}
	a := nodeReport.Record.Acceptance
	if a.Version != nodeReport.Version {
		a = bundle.Acceptance{Version: nodeReport.Version}
	}
	return statusReport{
		Acceptance: a,
		Signature:  s.verify(&a),
		Source:     "node " + nodeReport.Node,
		Confirmed:  nodeReport.StoreTime,
		Waiting:    []bundlestore.Entry{},
	}, nil
}

// verify returns the value of statusReport.Signature: whether the acceptance is signed by
// the key of a known operator.
func (s *session) verify(a *bundle.Acceptance) string {
	if a.Bundle == "" || s.keyring == nil {
		return "not checked"
	}
	if err := s.keyring.Verify(a); err != nil {
		return "bad: " + err.Error()
	}
	return "good"
}

func (e Env) printStatus(r statusReport, now time.Time) error {
	if r.Source != sourceStore {
		e.printf("the store does not answer; this is what %s knows, confirmed %s; what waits is not known\n", r.Source, formatConfirmed(r.Confirmed, now))
	}
	a := r.Acceptance
	switch {
	case a.Version == 0:
		e.printf("no bundle has been accepted yet\n")
	case a.Bundle == "":
		e.printf("version %d is in force; it was written without a sign-off\n", a.Version)
	default:
		e.printf("version %d is in force: bundle %.*s\n", a.Version, shortIDLength, a.Bundle)
		e.printf("  accepted by %s at %s, prepared by %s, signature %s\n", a.Acceptor, a.Time.Format(time.RFC3339), a.Preparer, r.Signature)
		e.printf("  reason: %s\n", orNone(a.Reason))
	}
	if r.NodeVersion > 0 {
		e.printf("nodes have version %d in force, which the store has lost: it was restored from an older copy; sign off again with --expect-version %d\n",
			r.NodeVersion, r.NodeVersion)
	}
	for _, w := range r.Waiting {
		e.printf("waiting: bundle %.*s, prepared by %s at %s against version %d, %s\n  reason: %s\n",
			shortIDLength, w.Bundle, w.Meta.Preparer, w.Meta.Time.Format(time.RFC3339), w.Meta.ParentVersion, w.State, orNone(w.Meta.Reason))
	}
	return nil
}

// formatConfirmed formats t as its age at now.
func formatConfirmed(t, now time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return now.Sub(t).Truncate(time.Second).String() + " ago"
}

// orNone returns text, or "none given" if it is empty.
func orNone(text string) string {
	if text == "" {
		return "none given"
	}
	return text
}

// reportOperation reports whether one sign-off was accepted. It returns a pendingError
// if the sign-off can still be accepted, and a signoff.ConflictError if another one took
// the version after the expected one. Without --expect-version the two cannot be told
// apart, and a sign-off that is not in the history counts as pending.
func (c *bundleStatusCmd) reportOperation(ctx context.Context, env Env, s *session) error {
	list, err := bundlestore.History(ctx, s.store, operationSearchLimit)
	if err != nil {
		return err
	}
	for _, a := range list {
		if a.Operation == c.Operation {
			env.printf("operation %s was accepted as version %d\n", c.Operation, a.Version)
			return nil
		}
	}
	var newest bundle.Acceptance
	if len(list) > 0 {
		newest = list[0]
	}
	if c.ExpectVersion == nil || newest.Version == *c.ExpectVersion {
		return &pendingError{operation: c.Operation, version: newest.Version}
	}
	winner := newest
	for _, a := range list {
		if a.Version == *c.ExpectVersion+1 {
			winner = a
		}
	}
	return &signoff.ConflictError{Expected: *c.ExpectVersion, Winner: winner}
}

// bundleHistoryCmd lists the newest accepted versions.
type bundleHistoryCmd struct {
	storeFlags
	Limit int  `arg:"--limit" default:"20" help:"largest number of versions"`
	JSON  bool `arg:"--json" help:"print JSON"`
}

func (*bundleHistoryCmd) example() string {
	return "tarragondrum bundle history --limit 5 --settings node.jsonc"
}

func (c *bundleHistoryCmd) run(ctx context.Context, env Env) int {
	if c.Limit < 1 {
		return env.exit(usagef("--limit must be at least 1"))
	}
	return c.withSession(ctx, env, bundleTimeout, func(ctx context.Context, s *session) error {
		list, err := bundlestore.History(ctx, s.store, c.Limit)
		if err != nil {
			return err
		}
		if c.JSON {
			return env.printJSON(append([]bundle.Acceptance{}, list...))
		}
		t := tabwriter.NewWriter(env.Stdout, 0, 4, 2, ' ', 0)
		_, _ = fmt.Fprintln(t, "VERSION\tBUNDLE\tACCEPTED\tBY\tPREPARED BY\tREASON")
		for _, a := range list {
			_, _ = fmt.Fprintf(t, "%d\t%.*s\t%s\t%s\t%s\t%s\n", a.Version, shortIDLength, a.Bundle, a.Time.Format(time.RFC3339), a.Acceptor, a.Preparer, orNone(a.Reason))
		}
		return t.Flush()
	})
}
