package reason_test

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/reason"
)

var update = flag.Bool("update", false, "rewrite docs/operators/reasons.md from the code")

const docFile = "../../docs/operators/reasons.md"

const docHeader = "# Reasons of refusals and retries\n\n" +
	"Every call that the system refuses, gives up or tries again has one of these\n" +
	"reasons. The caller gets it in the header `Tarragondrum-Reason` and in the JSON\n" +
	"body of a refusal; the metrics `tarragondrum_call_refusals_total`,\n" +
	"`tarragondrum_call_retries_total` and `tarragondrum_call_retries_denied_total`\n" +
	"count it by class. This page is written from the code by\n" +
	"`go test ./pkg/reason -update`, and the test fails when the two differ.\n\n" +
	"`Tarragondrum-Effect` says whether the call ran:\n\n" +
	"- `not-run`: no upstream received any part of the call. Sending it again is safe.\n" +
	"- `run`: the upstream answered, and this is its answer.\n" +
	"- `unknown`: the upstream may have run the call. Send an order again only with\n" +
	"  the same `Idempotency-Key`.\n\n" +
	"The effect below is the usual one; the header of the answer is what counts. With\n" +
	"`Retry-After` the caller may come back after that many seconds, or later if the\n" +
	"answer says so.\n\n" +
	"| reason | status | effect | Retry-After | meaning | what to do |\n|---|---|---|---|---|---|\n"

// The page for operators is exactly that of the code.
func TestDocsListEveryReason(t *testing.T) {
	is := is.New(t)
	var page strings.Builder
	page.WriteString(docHeader)
	for _, e := range reason.Catalogue() {
		retryAfter := ""
		if e.RetryAfter > 0 {
			retryAfter = strconv.Itoa(int(e.RetryAfter.Seconds()))
		}
		fmt.Fprintf(&page, "| `%s` | %d | %s | %s | %s | %s |\n", e.Reason, e.Status, e.Effect, retryAfter, e.Meaning, e.Action)
	}
	if *update {
		is.NoErr(os.WriteFile(docFile, []byte(page.String()), 0o644))
	}
	doc, err := os.ReadFile(docFile)
	is.NoErr(err)
	is.Equal(string(doc), page.String())
}

// Every constant of type Reason is in the catalogue, once and complete.
func TestCatalogueIsComplete(t *testing.T) {
	is := is.New(t)
	want := declared(t)
	is.True(len(want) > 0)
	got := map[reason.Reason]int{}
	for _, e := range reason.Catalogue() {
		got[e.Reason]++
		is.True(e.Status >= 400 && e.Status < 600)
		is.True(e.Effect != "" && e.Meaning != "" && e.Action != "")
		is.Equal(reason.Lookup(e.Reason), e)
	}
	for _, r := range want {
		if got[r] != 1 {
			t.Errorf("reason %q is %d times in the catalogue", r, got[r])
		}
	}
	is.Equal(len(got), len(want))
}

// declared reads the constants of type Reason from the source.
func declared(t *testing.T) []reason.Reason {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), "reason.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var out []reason.Reason
	ast.Inspect(f, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if typ, ok := spec.Type.(*ast.Ident); !ok || typ.Name != "Reason" {
			return true
		}
		for _, v := range spec.Values {
			if lit, ok := v.(*ast.BasicLit); ok {
				s, _ := strconv.Unquote(lit.Value)
				out = append(out, reason.Reason(s))
			}
		}
		return true
	})
	return out
}
