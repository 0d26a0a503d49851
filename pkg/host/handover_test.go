package host_test

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/bundle/bundletest"
	"github.com/tarragondrum/tarragondrum/pkg/handover"
	"github.com/tarragondrum/tarragondrum/pkg/localmesh"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/platform"
	"github.com/tarragondrum/tarragondrum/platform/standin"
)

// signed returns a version of a bundle as the store has it, and the settings entry of
// the operator who signed it.
func signed(t *testing.T, v model.Version, change func(*bundle.Acceptance)) (document []byte, o bundle.Operator) {
	t.Helper()
	is := is.New(t)
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	b := bundletest.ValidBundle("desk")
	config := b.Config(v)
	digest, err := config.Digest()
	is.NoErr(err)
	a := bundle.Acceptance{Version: v, Bundle: "b", Config: digest, Acceptor: "ioana", Preparer: "mihai", Time: time.Now()}
	is.NoErr(a.Sign("ioana-1", key))
	if change != nil {
		change(&a)
	}
	record, err := json.Marshal(bundle.Head{Acceptance: a})
	is.NoErr(err)
	document, err = platform.EncodeConfig(&config, record)
	is.NoErr(err)
	public := base64.StdEncoding.EncodeToString(key.Public().(ed25519.PublicKey))
	return document, bundle.Operator{Name: "ioana", KeyID: "ioana-1", PublicKey: public}
}

// Nodes that know the operators put in force only what one of them signed.
func TestOnlySignedVersionsComeIntoForce(t *testing.T) {
	is := is.New(t)
	good, operator := signed(t, 2, nil)
	c := startCluster(t, 2, localmesh.Options{Operators: []bundle.Operator{operator}}, func(c *cluster) { c.store.Put("config", "main", good) })
	c.await((*localmesh.Mesh).WaitReady)

	forged, _ := signed(t, 3, func(a *bundle.Acceptance) { a.Acceptor = "mihai" })
	other, _ := signed(t, 4, nil)
	for name, document := range map[string][]byte{
		"bad signature":    forged,
		"changed content":  []byte(strings.Replace(string(other), `"timeoutMs":1000`, `"timeoutMs":9000`, 1)),
		"without sign-off": []byte(strings.Replace(string(other), `"acceptance"`, `"other"`, 1)),
	} {
		before := c.hosts[0].Node.Report().Refused
		c.store.Put("config", "main", document)
		c.eventually(name, func() bool {
			now := c.hosts[0].Node.Report().Refused
			return now != nil && (before == nil || now.Revision > before.Revision)
		})
		is.Equal(c.hosts[0].Node.Report().Version, model.Version(2))
	}
	next, _ := signed(t, 5, nil)
	c.store.Put("config", "main", next)
	for _, m := range c.hosts {
		c.eventually("version 5", func() bool { return m.Node.Report().Version == 5 })
	}
}

// During a store outage any node reports what is in force, who accepted it and how long ago
// the store answered, and all nodes can be queried through one.
func TestHandoverWhileTheStoreIsAway(t *testing.T) {
	is := is.New(t)
	document, _ := signed(t, 7, nil)
	c := startCluster(t, 4, localmesh.Options{}, func(c *cluster) { c.store.Put("config", "main", document) })
	c.await((*localmesh.Mesh).WaitReady)
	c.await((*localmesh.Mesh).WaitUpstreamsReady)
	for _, m := range c.hosts {
		c.store.SetFaults(m.StoreAddress, standin.Faults{Silent: true})
	}
	client, err := handover.NewClient()
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	time.Sleep(3 * time.Second) // the lead keeps announcing for another second
	r, err := client.Report(ctx, c.hosts[1].OperatorURL())
	is.NoErr(err)
	is.Equal(r.Version, model.Version(7))
	is.Equal(r.Record.Acceptance.Acceptor, "ioana")
	is.Equal(r.Hosts["ready"], 4)
	is.True(r.Time.Sub(r.StoreTime) > time.Second)
	is.True(r.Lead != "")
	answers, err := client.ReportAll(ctx, c.hosts[2].OperatorURL())
	is.NoErr(err)
	progress := handover.Summarize(7, answers)
	is.Equal(len(progress), 2) // data centres
	is.Equal(progress[0].Applied+progress[1].Applied, 4)
	c.hosts[3].Kill()
	client, err = handover.NewClient() // a killed node in this process keeps its connections open
	is.NoErr(err)
	answers, err = client.ReportAll(ctx, c.hosts[2].OperatorURL())
	is.NoErr(err)
	progress = handover.Summarize(7, answers)
	is.Equal(progress[1].Behind[0].Node, "host-3")
}
