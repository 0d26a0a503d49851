// Package handover says what a pair of operators must see when one shift takes
// over from the other: which version is in force, who accepted it, whether the
// store answers, how far a version has come, and how old each part of the answer
// is. Any node gives the answer, also while the store is away.
package handover

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// The paths at which a node answers.
const (
	ReportPath = "/handover"
	HostsPath  = "/hosts"
)

// Refusal is a configuration that a node did not put in force.
type Refusal struct {
	Time time.Time `json:"time"`
	// Revision is the store's revision of the configuration.
	Revision uint64 `json:"revision"`
	// Source is the store or a peer.
	Source string `json:"source"`
	Error  string `json:"error"`
}

// Suspect is a request that is refused because it crashed upstreams.
type Suspect struct {
	Fingerprint string    `json:"fingerprint"`
	Crashes     int       `json:"crashes"`
	Until       time.Time `json:"until"`
}

// Report is what one node knows.
type Report struct {
	Node       string    `json:"node"`
	DataCentre string    `json:"dataCentre"`
	Time       time.Time `json:"time"`
	// Version is in force on this node since Applied; 0 means none.
	Version model.Version `json:"version"`
	Applied time.Time     `json:"applied"`
	// Record says who accepted the version. It is empty for one that was written to
	// the store without a sign-off.
	Record bundle.Head `json:"record"`
	// RecordError says why the record of the version cannot be read; empty if it can,
	// or if there is none.
	RecordError string `json:"recordError,omitempty"`
	// Lead reads the store for this node. StoreTime is when it last said that the
	// store answers; zero means never.
	Lead      string    `json:"lead"`
	StoreTime time.Time `json:"storeTime"`
	// Refused is the last configuration that this node refused.
	Refused *Refusal `json:"refused,omitempty"`
	// Hosts counts the hosts that this node knows by the state of their upstreams.
	Hosts map[string]int `json:"hosts"`
	// Unreachable lists hosts that this node could not connect to just now.
	Unreachable []string  `json:"unreachable"`
	Suspects    []Suspect `json:"suspects"`
}

// Host is a host as one node knows it.
type Host struct {
	Node       string `json:"node"`
	DataCentre string `json:"dataCentre"`
	// URL is where the node answers.
	URL      string `json:"url"`
	Upstream string `json:"upstream"`
	Service  string `json:"service"`
	Slots    int    `json:"slots"`
	// State is that of the upstream, or "stopping" while the node stops.
	State string `json:"state"`
}

// Behind is a node that has not put a version in force.
type Behind struct {
	Node    string        `json:"node"`
	Version model.Version `json:"version"`
	Reason  string        `json:"reason"`
}

// Progress is how far a version has come in a data centre.
type Progress struct {
	DataCentre string   `json:"dataCentre"`
	Nodes      int      `json:"nodes"`
	Applied    int      `json:"applied"`
	Behind     []Behind `json:"behind"`
}

// Answer is what one host answered, or why it did not.
type Answer struct {
	Host   Host
	Report Report
	Err    error
}

// Summarize counts the nodes that have a version or a newer one in force, by data
// centre.
func Summarize(v model.Version, answers []Answer) []Progress {
	byName := make(map[string]*Progress)
	for _, a := range answers {
		p := byName[a.Host.DataCentre]
		if p == nil {
			p = &Progress{DataCentre: a.Host.DataCentre, Behind: []Behind{}}
			byName[p.DataCentre] = p
		}
		p.Nodes++
		switch {
		case a.Err != nil:
			p.Behind = append(p.Behind, Behind{Node: a.Host.Node, Reason: a.Err.Error()})
		case a.Report.Version >= v:
			p.Applied++
		default:
			p.Behind = append(p.Behind, Behind{Node: a.Host.Node, Version: a.Report.Version, Reason: reason(a.Report.Refused)})
		}
	}
	list := make([]Progress, 0, len(byName))
	for _, p := range byName {
		slices.SortFunc(p.Behind, func(x, y Behind) int { return cmp.Compare(x.Node, y.Node) })
		list = append(list, *p)
	}
	slices.SortFunc(list, func(x, y Progress) int { return cmp.Compare(x.DataCentre, y.DataCentre) })
	return list
}

func reason(r *Refusal) string {
	if r == nil {
		return "it has not come yet"
	}
	return "refused: " + r.Error
}
