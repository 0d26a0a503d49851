// Package event defines the catalogue of log events and writes them. Every event has a
// number that never changes and an entry in docs/EVENTS.md.
package event

import (
	"io"
	"sync/atomic"

	"github.com/phuslu/log"
)

// Level is the severity of an event.
type Level string

// The severities, in increasing order.
const (
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

// Event describes one kind of log event.
type Event struct {
	// Number identifies the event in logs and documents, whatever its name.
	Number int
	Name   string
	Level  Level
	// Meaning says in one sentence what happened. It is the message of the log line.
	Meaning string
	// Action says what an operator should do. It is empty if no action is needed.
	Action string
}

// Field is one named value in a log line, beside the event itself.
type Field struct {
	Name  string
	Value any
}

// F returns the field with the given name and value.
func F(name string, value any) Field { return Field{Name: name, Value: value} }

// Log writes events as lines of JSON and counts them. Its methods are safe for concurrent use.
type Log struct {
	logger log.Logger
	counts [maxNumber + 1]atomic.Uint64
}

// New returns a log that writes events of at least the given level to w, each with the
// name of the node.
func New(w io.Writer, level Level, node string) *Log {
	return &Log{logger: log.Logger{
		Level:   log.ParseLevel(string(level)),
		Writer:  log.IOWriter{Writer: w},
		Context: log.NewContext(nil).Str("node", node).Value(),
	}}
}

// Discard returns a log that writes nothing but still counts events.
func Discard() *Log { return New(io.Discard, LevelError, "") }

// Emit counts the event and writes it with the given fields. Errors are written as their text.
func (l *Log) Emit(e Event, fields ...Field) {
	l.counts[e.Number].Add(1)
	entry := l.logger.WithLevel(log.ParseLevel(string(e.Level)))
	entry = entry.Int("event", e.Number).Str("name", e.Name)
	for _, f := range fields {
		if err, ok := f.Value.(error); ok {
			entry = entry.Str(f.Name, err.Error())
			continue
		}
		entry = entry.Any(f.Name, f.Value)
	}
	entry.Msg(e.Meaning)
}

// Count returns how often e was emitted, including events below the level of the log.
func (l *Log) Count(e Event) uint64 { return l.counts[e.Number].Load() }
