package event_test

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/event"
)

// The catalogue in the docs lists exactly the events of the code.
func TestDocsListEveryEvent(t *testing.T) {
	is := is.New(t)
	doc, err := os.ReadFile("../../docs/EVENTS.md")
	is.NoErr(err)
	var rows int
	for _, line := range strings.Split(string(doc), "\n") {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| number |") {
			rows++
		}
	}
	is.Equal(rows, len(event.Catalogue()))
	for _, e := range event.Catalogue() {
		row := fmt.Sprintf("| %d | %s | %s | %s | %s |", e.Number, e.Name, e.Level, e.Meaning, e.Action)
		if !strings.Contains(string(doc), row) {
			t.Errorf("docs/EVENTS.md lacks the row:\n%s", row)
		}
	}
}

func TestEmitWritesNumberAndFields(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := event.New(&out, event.LevelInfo, "a1")
	l.Emit(event.ProcessStarted, event.F("error", fmt.Errorf("broken")))
	is.True(strings.Contains(out.String(), `"event":100`))
	is.True(strings.Contains(out.String(), `"error":"broken"`))
	is.Equal(l.Count(event.ProcessStarted), uint64(1))
}
