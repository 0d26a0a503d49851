package event_test

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/event"
)

var update = flag.Bool("update", false, "rewrite docs/EVENTS.md from the code")

const docFile = "../../docs/EVENTS.md"

const docHeader = `# Numbered events

Every log line carries an event number that never changes. This page is
written from the code by ` + "`go test ./pkg/event -update`" + `, and the test fails
when the two differ.

| number | name | level | meaning | action |
|---|---|---|---|---|
`

// docs/EVENTS.md lists exactly the events of the catalogue.
func TestDocsListEveryEvent(t *testing.T) {
	is := is.New(t)
	want := docHeader
	for _, e := range event.Catalogue() {
		want += fmt.Sprintf("| %d | %s | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Meaning, e.Action)
	}
	if *update {
		is.NoErr(os.WriteFile(docFile, []byte(want), 0o644))
	}
	doc, err := os.ReadFile(docFile)
	is.NoErr(err)
	is.Equal(string(doc), want)
}

func TestEmitWritesNumberAndFields(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := event.New(&out, event.LevelInfo, "a1")
	l.Emit(event.ProcessStarted, event.F("error", errors.New("listener is closed")))
	is.True(strings.Contains(out.String(), `"event":100`))
	is.True(strings.Contains(out.String(), `"error":"listener is closed"`))
	is.Equal(l.Count(event.ProcessStarted), uint64(1))
}
