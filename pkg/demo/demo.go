// Package demo walks through the whole path in one process on loopback: two
// operators prepare, sign off and roll bundles to the nodes of the example
// deployments, callers of every class are served, and failures are shown. It
// checks the promises on the way and ends with an error if one was broken.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/localmesh"
)

// ErrBroken is returned when a promise was broken during the demo.
var ErrBroken = errors.New("demo: a promise was broken")

const (
	// stepTimeout bounds the wait for one step.
	stepTimeout = 20 * time.Second
	// upstreamWork is the time that a request takes at the stand-in upstreams.
	upstreamWork = 5 * time.Millisecond
)

// Options say how to run the demo.
type Options struct {
	// Examples is the file system with the example deployments.
	Examples fs.FS
	// Command runs one tarragondrum command, writes its output to w, and returns
	// its exit code.
	Command func(ctx context.Context, w io.Writer, argv ...string) int
	// Out takes the story, LogWriter the nodes' logs.
	Out       io.Writer
	LogWriter io.Writer
	// Stay leaves the last mesh running until ctx is done.
	Stay bool
}

// Run plays the demo on both example deployments.
func Run(ctx context.Context, o Options) error {
	for i, s := range stories() {
		last := i == len(stories())-1
		if err := play(ctx, o, s, byte(firstBlock+i), last); err != nil {
			return fmt.Errorf("%s: %w", s.deployment.Name, err)
		}
	}
	return nil
}

// firstBlock is the second number of the loopback addresses of the first mesh.
const firstBlock = 61

// teller carries what the steps of one story share.
type teller struct {
	options Options
	story   story
	dir     string
	mesh    *localmesh.Mesh
	broken  []string
	step    int
}

// play runs one story in a temporary folder.
func play(ctx context.Context, o Options, s story, block byte, last bool) (err error) {
	dir, err := os.MkdirTemp("", "tarragondrum-demo-")
	if err != nil {
		return fmt.Errorf("make folder: %w", err)
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	t := &teller{options: o, story: s, dir: dir}
	if err := t.prepareFiles(); err != nil {
		return err
	}
	if err := t.startMesh(ctx, block); err != nil {
		return err
	}
	defer t.mesh.Stop()
	for _, step := range t.steps() {
		if err := step(ctx); err != nil {
			return err
		}
	}
	if o.Stay && last {
		t.stay(ctx)
	}
	return t.verdict()
}

// prepareFiles copies the example into the folder.
func (t *teller) prepareFiles() error {
	sub, err := fs.Sub(t.options.Examples, t.story.deployment.Name)
	if err != nil {
		return fmt.Errorf("examples: %w", err)
	}
	if err := os.CopyFS(filepath.Join(t.dir, "example"), sub); err != nil {
		return fmt.Errorf("copy example: %w", err)
	}
	return nil
}

func (t *teller) startMesh(ctx context.Context, block byte) error {
	d := t.story.deployment
	t.say("%s: %d data centres, %d hosts", t.story.title, len(d.DataCentres), d.Size())
	operators, err := t.makeKeys(ctx)
	if err != nil {
		return err
	}
	t.mesh, err = localmesh.Start(localmesh.Options{
		Deployment: d, Block: block, Dir: t.dir, Operators: operators, Work: upstreamWork,
		Log: func(*localmesh.Host) io.Writer { return t.options.LogWriter },
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	return t.mesh.WaitKnown(ctx)
}

// title opens a numbered step of the story.
func (t *teller) title(format string, args ...any) {
	t.step++
	t.say("\n%d. "+format, append([]any{t.step}, args...)...)
}

func (t *teller) say(format string, args ...any) {
	_, _ = fmt.Fprintf(t.options.Out, format+"\n", args...)
}

// promise notes a broken promise unless ok.
func (t *teller) promise(ok bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if ok {
		t.say("   ok: %s", text)
		return
	}
	t.say("   BROKEN: %s", text)
	t.broken = append(t.broken, text)
}

func (t *teller) verdict() error {
	if len(t.broken) == 0 {
		t.say("\n%s: every promise held", t.story.deployment.Name)
		return nil
	}
	return fmt.Errorf("%d promises, first %q: %w", len(t.broken), t.broken[0], ErrBroken)
}

func (t *teller) stay(ctx context.Context) {
	t.say("\nThe mesh stays up until you interrupt it. Store %s", t.mesh.StoreAddress)
	for _, h := range t.mesh.Hosts {
		t.say("  %-8s %-14s %-10s requests http://%s  questions %s", h.Name, h.DataCentre, h.Service, h.Outbound(), h.URL())
	}
	t.say("Bundle folder, settings and operators' keys: %s", t.dir)
	<-ctx.Done()
}
