package replay

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// Each load reaches its bound and the baseline misses it, and each load has a plot.
func TestEveryLoadKeepsItsBound(t *testing.T) {
	is := is.New(t)
	rows, err := Run(nil)
	is.NoErr(err)
	is.Equal(len(rows), len(Names()))
	for _, r := range rows {
		t.Logf("%s: share %.3f, baseline %.3f, bound %.3f", r.Name, r.Figure, r.Plain, r.Bound)
		is.True(r.Plain < r.Bound)
	}
	folder := t.TempDir()
	is.NoErr(Report{Rows: rows}.Plot(folder))
	for _, name := range Names() {
		_, err := os.Stat(filepath.Join(folder, name+".png"))
		is.NoErr(err)
	}
}

func TestUnknownLoad(t *testing.T) {
	is := is.New(t)
	_, err := Run([]string{"no-such-load"})
	is.True(errors.Is(err, ErrUnknownLoad))
}

// Equal loads give equal figures, so that a changed figure always comes from changed code.
func TestSimulationIsDeterministic(t *testing.T) {
	is := is.New(t)
	first, err := Run(nil)
	is.NoErr(err)
	second, err := Run(nil)
	is.NoErr(err)
	for i := range first {
		is.Equal(first[i].Figure, second[i].Figure)
		is.Equal(first[i].Plain, second[i].Plain)
	}
}
