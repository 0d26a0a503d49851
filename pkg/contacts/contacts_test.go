package contacts_test

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tarragondrum/tarragondrum/pkg/contacts"
	"github.com/tarragondrum/tarragondrum/pkg/platform"
	"github.com/tarragondrum/tarragondrum/pkg/platform/fake"
)

var list = []contacts.Contact{{ID: "n1", Addr: "10.0.0.1:7400"}}

func book(store platform.Store) *contacts.Book {
	return contacts.NewBook(store, "n1", prometheus.NewRegistry())
}

func TestPutIsConditional(t *testing.T) {
	is := is.New(t)
	b := book(fake.New())
	is.NoErr(b.Put(t.Context(), "cluj-1", list, ""))
	is.True(errors.Is(b.Put(t.Context(), "cluj-1", list, ""), contacts.ErrRaced))
	c, revision, err := b.Get(t.Context(), "cluj-1")
	is.NoErr(err)
	is.Equal(c.Contacts, list)
	is.NoErr(b.Put(t.Context(), "cluj-1", list, revision))
}

// A lost answer is resolved by reading back, never by a second write.
func TestLostAnswerIsResolved(t *testing.T) {
	is := is.New(t)
	store := fake.New()
	store.LoseAnswers(1)
	is.NoErr(book(store).Put(t.Context(), "cluj-1", list, ""))
	is.Equal(store.Calls().Put, uint64(1))
}

func TestOutageAndBadObjects(t *testing.T) {
	is := is.New(t)
	store := fake.New()
	b := book(store)
	c, revision, err := b.Get(t.Context(), "cluj-1")
	is.NoErr(err)
	is.Equal(len(c.Contacts), 0)
	is.Equal(revision, platform.Revision(""))

	for name, value := range map[string]string{
		"cluj-2": `{"dataCentre":"cluj-3","contacts":[]}`,
		"cluj-3": `{"dataCentre":"cluj-3","contacts":[{"id":"n1","addr":"nowhere"}]}`,
	} {
		key := platform.Key{Collection: platform.CollectionContacts, Name: name}
		_, err := store.Put(t.Context(), key, json.RawMessage(value), "")
		is.NoErr(err)
	}
	_, _, err = b.Get(t.Context(), "cluj-2")
	is.True(errors.Is(err, contacts.ErrMalformed))
	all, revisions, err := b.List(t.Context())
	is.NoErr(err)
	is.Equal(len(all), 0)       // bad ones are left out
	is.Equal(len(revisions), 2) // but can be written over

	store.SetDown(true)
	_, _, err = b.Get(t.Context(), "cluj-1")
	is.True(errors.Is(err, contacts.ErrUnavailable))
}
