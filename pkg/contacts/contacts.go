// Package contacts keeps a few addresses of each data centre in the platform,
// so that a node that starts without any knowledge finds its peers.
package contacts

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/metric"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/platform"
)

// MaxPerCentre bounds the contacts of one data centre.
const MaxPerCentre = 8

// Errors of the package.
var (
	// ErrMalformed is returned for an object that cannot be read.
	ErrMalformed = errors.New("contacts: malformed object")
	// ErrUnavailable is returned when the platform did not serve the call.
	ErrUnavailable = errors.New("contacts: platform did not answer")
	// ErrRaced is returned when another node wrote the object first.
	ErrRaced = errors.New("contacts: another node wrote first")
)

// Centre is the object of one data centre.
type Centre struct {
	DataCentre model.DataCentre `json:"dataCentre"`
	Contacts   []Contact        `json:"contacts"`
	// Operation identifies the write, so that a lost answer can be resolved.
	Operation string    `json:"operation"`
	Writer    string    `json:"writer"`
	Time      time.Time `json:"time"`
}

// Contact is the address of one node.
type Contact struct {
	ID   model.NodeID `json:"id"`
	Addr string       `json:"addr"`
}

// Peer returns the contact as a peer.
func (c Contact) Peer() mesh.Peer { return mesh.Peer{ID: c.ID, Addr: c.Addr} }

// Book reads and writes contacts. Its methods may be called concurrently.
type Book struct {
	store platform.Store
	self  model.NodeID
	calls *prometheus.CounterVec
}

// NewBook returns a book that counts its platform calls in r.
func NewBook(store platform.Store, self model.NodeID, r *metric.Registry) *Book {
	return &Book{
		store: store,
		self:  self,
		calls: metric.Counter(r, "contacts_platform_calls_total", "Platform calls for contacts.", "operation", "result"),
	}
}

// Get reads the contacts of one data centre with one platform call. A data
// centre without an object has no contacts.
func (b *Book) Get(ctx context.Context, dc model.DataCentre) (Centre, platform.Revision, error) {
	object, err := b.store.Get(ctx, key(dc))
	b.count("get", err)
	if errors.Is(err, platform.ErrNotFound) {
		return Centre{DataCentre: dc}, "", nil
	}
	if err != nil {
		return Centre{}, "", fmt.Errorf("get contacts of %q: %w: %w", dc, ErrUnavailable, err)
	}
	c, err := decode(object)
	return c, object.Revision, err
}

// List reads the contacts of every data centre with one platform call. Objects
// that cannot be read are left out.
func (b *Book) List(ctx context.Context) (map[model.DataCentre]Centre, map[model.DataCentre]platform.Revision, error) {
	objects, _, err := b.store.List(ctx, platform.CollectionContacts)
	b.count("list", err)
	if err != nil {
		return nil, nil, fmt.Errorf("list contacts: %w: %w", ErrUnavailable, err)
	}
	centres := make(map[model.DataCentre]Centre, len(objects))
	revisions := make(map[model.DataCentre]platform.Revision, len(objects))
	for _, o := range objects {
		revisions[model.DataCentre(o.Key.Name)] = o.Revision
		c, err := decode(o)
		if err != nil {
			b.calls.WithLabelValues("list", "malformed").Inc()
			continue
		}
		centres[c.DataCentre] = c
	}
	return centres, revisions, nil
}

// Put writes the contacts of one data centre if the object still has the given
// revision. When the answer is lost, it reads back and decides by the
// operation. It returns ErrRaced if another node was first.
func (b *Book) Put(ctx context.Context, dc model.DataCentre, list []Contact, ifRevision platform.Revision) error {
	c := Centre{
		DataCentre: dc,
		Contacts:   list[:min(len(list), MaxPerCentre)],
		Operation:  uuid.NewString(),
		Writer:     string(b.self),
		Time:       time.Now().UTC(),
	}
	value, err := json.Marshal(c)
	if err != nil {
		return fmt.Errorf("encode contacts: %w", err)
	}
	_, err = b.store.Put(ctx, key(dc), value, ifRevision)
	b.count("put", err)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, platform.ErrConflict):
		return fmt.Errorf("put contacts of %q: %w", dc, ErrRaced)
	case errors.Is(err, platform.ErrUnknownOutcome):
		return b.resolve(ctx, c)
	}
	return fmt.Errorf("put contacts of %q: %w: %w", dc, ErrUnavailable, err)
}

// resolve learns whether a write with a lost answer took effect.
func (b *Book) resolve(ctx context.Context, written Centre) error {
	now, _, err := b.Get(ctx, written.DataCentre)
	if err != nil {
		return err
	}
	if now.Operation != written.Operation {
		return fmt.Errorf("contacts of %q: %w", written.DataCentre, ErrRaced)
	}
	return nil
}

func (b *Book) count(operation string, err error) {
	result := "ok"
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		result = "error"
	}
	b.calls.WithLabelValues(operation, result).Inc()
}

func key(dc model.DataCentre) platform.Key {
	return platform.Key{Collection: platform.CollectionContacts, Name: string(dc)}
}

func decode(o platform.Object) (Centre, error) {
	var c Centre
	if err := json.Unmarshal(o.Value, &c); err != nil {
		return Centre{}, fmt.Errorf("contacts %q: %w: %w", o.Key.Name, ErrMalformed, err)
	}
	if string(c.DataCentre) != o.Key.Name || len(c.Contacts) > MaxPerCentre {
		return Centre{}, fmt.Errorf("contacts %q name %q and hold %d: %w", o.Key.Name, c.DataCentre, len(c.Contacts), ErrMalformed)
	}
	for _, contact := range c.Contacts {
		if _, err := netip.ParseAddrPort(contact.Addr); err != nil || contact.ID == "" {
			return Centre{}, fmt.Errorf("contact %q at %q: %w", contact.ID, contact.Addr, ErrMalformed)
		}
	}
	return c, nil
}
