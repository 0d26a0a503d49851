package agenda_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/agenda"
)

func TestItemsComeInOrder(t *testing.T) {
	is := is.New(t)
	var a agenda.Agenda[string]
	now := time.Unix(0, 0)
	a.Add(now.Add(time.Second), "second")
	a.Add(now, "first")
	a.Add(now.Add(time.Second), "third")
	for _, want := range []string{"first", "second", "third"} {
		_, got, ok := a.Next()
		is.True(ok)
		is.Equal(got, want)
	}
	_, _, ok := a.Next()
	is.True(!ok)
}
