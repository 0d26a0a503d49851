package rest

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/platform"
)

const (
	// maxWatchSilence is the longest time without an event or a bookmark before
	// a watch counts as broken.
	maxWatchSilence = 30 * time.Second
	// maxEventBytes bounds one line of a watch.
	maxEventBytes = maxObjectBytes
)

// watch reads the events of one collection from a long answer.
type watch struct {
	collection platform.Collection
	events     chan Event
	// failed is closed after err is set.
	failed chan struct{}
	err    error
	cancel context.CancelFunc
	once   sync.Once
}

// Watch reports changes of a collection after the given revision. The watch
// lives until Close; ctx only bounds the call that opens it.
func (c *Client) Watch(ctx context.Context, collection platform.Collection, from platform.Revision) (platform.Watch, error) {
	query := url.Values{
		"watch":               {"1"},
		"resourceVersion":     {string(from)},
		"allowWatchBookmarks": {"true"},
	}
	target := c.collectionURL(collection) + "?" + query.Encode()
	life, cancel := context.WithCancel(context.WithoutCancel(ctx))
	resp, err := c.open(ctx, life, cancel, target)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("watch %s: %w", collection, err)
	}
	w := &watch{
		collection: collection,
		events:     make(chan Event),
		failed:     make(chan struct{}),
		cancel:     cancel,
	}
	go w.read(life, resp)
	return w, nil
}

// open starts the long answer; the call is given up when ctx ends or the
// client's timeout is over before its header has come.
func (c *Client) open(ctx, life context.Context, cancel context.CancelFunc, target string) (*http.Response, error) {
	opening, opened := context.WithTimeout(ctx, c.timeout)
	defer opened()
	stop := context.AfterFunc(opening, cancel)
	resp, _, err := c.send(life, http.MethodGet, target, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	if !stop() {
		closeBody(resp)
		return nil, fmt.Errorf("%w: %w", platform.ErrUnavailable, opening.Err())
	}
	if resp.StatusCode != http.StatusOK {
		defer closeBody(resp)
		return nil, readFailure(resp)
	}
	return resp, nil
}

// Next waits for the next change.
func (w *watch) Next(ctx context.Context) (platform.Change, error) {
	silence := time.NewTimer(maxWatchSilence)
	defer silence.Stop()
	for {
		select {
		case e := <-w.events:
			if e.Type == EventBookmark {
				silence.Reset(maxWatchSilence)
				continue
			}
			return w.change(e)
		case <-w.failed:
			return platform.Change{}, w.wrap(w.err)
		case <-silence.C:
			_ = w.Close()
			return platform.Change{}, w.wrap(fmt.Errorf("nothing came for %s: %w", maxWatchSilence, platform.ErrUnavailable))
		case <-ctx.Done():
			_ = w.Close()
			return platform.Change{}, w.wrap(ctx.Err())
		}
	}
}

// Close ends the watch and its connection.
func (w *watch) Close() error {
	w.once.Do(w.cancel)
	return nil
}

func (w *watch) wrap(err error) error { return fmt.Errorf("watch %s: %w", w.collection, err) }

// change turns an event into a change. An event that cannot be read ends the
// watch: what it said would otherwise be lost.
func (w *watch) change(e Event) (platform.Change, error) {
	if e.Type == EventError {
		_ = w.Close()
		return platform.Change{}, w.wrap(errorEvent(e))
	}
	var o Object
	if err := json.Unmarshal(e.Object, &o); err != nil || o.Metadata.ResourceVersion == "" {
		_ = w.Close()
		return platform.Change{}, w.wrap(fmt.Errorf("event without a readable object: %w", platform.ErrUnavailable))
	}
	change := platform.Change{Type: platform.ChangePut, Object: toObject(w.collection, o)}
	switch e.Type {
	case EventAdded, EventModified:
	case EventDeleted:
		change.Type = platform.ChangeDelete
	default:
		_ = w.Close()
		return platform.Change{}, w.wrap(fmt.Errorf("event of unknown type %q: %w", e.Type, platform.ErrUnavailable))
	}
	return change, nil
}

func errorEvent(e Event) error {
	var s Status
	if err := json.Unmarshal(e.Object, &s); err != nil {
		return fmt.Errorf("error event without a readable status: %w", platform.ErrUnavailable)
	}
	return fmt.Errorf("%s: %w", s.Message, errorOf(s.Code, platform.ErrUnavailable))
}

// read delivers the lines of the answer until it ends or ctx is done.
func (w *watch) read(ctx context.Context, resp *http.Response) {
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for lines.Scan() {
		var e Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			w.fail(fmt.Errorf("line is not an event: %w: %w", platform.ErrUnavailable, err))
			return
		}
		select {
		case w.events <- e:
		case <-ctx.Done():
			w.fail(fmt.Errorf("closed: %w", platform.ErrUnavailable))
			return
		}
	}
	err := lines.Err()
	if err == nil {
		err = errors.New("answer ended")
	}
	w.fail(fmt.Errorf("%w: %w", platform.ErrUnavailable, err))
}

func (w *watch) fail(err error) {
	w.err = err
	close(w.failed)
}
