// Package handover reports the state of the mesh to operators at a change of shift: which
// version is in force, who accepted it, whether the store responds, how far the rollout of
// a version has progressed, and how old each piece of information is. Every node serves the
// report from its own memory, so it is available during an outage of the store.
package handover

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// HTTP paths of a node that return its Report, its list of Host, its list of Rollout and an
// Explanation.
const (
	ReportPath   = "/handover"
	HostsPath    = "/hosts"
	RolloutsPath = "/rollouts"
	ExplainPath  = "/explain"
)

// Refusal describes a configuration that a node rejected.
type Refusal struct {
	Time time.Time `json:"time"`
	// Revision is the number of the store's revision of the configuration, and Epoch the
	// epoch in which the store assigned it.
	Revision uint64 `json:"revision"`
	Epoch    uint64 `json:"epoch,omitempty"`
	// Source is where the configuration came from: the store or a peer.
	Source string `json:"source"`
	Error  string `json:"error"`
}

// Suspect is a quarantined request: the node refuses it until the given time, because it
// crashed upstreams.
type Suspect struct {
	Fingerprint string    `json:"fingerprint"`
	Crashes     int       `json:"crashes"`
	Until       time.Time `json:"until"`
}

// Report is the state of the mesh as one node knows it.
type Report struct {
	Node       string    `json:"node"`
	DataCentre string    `json:"dataCentre"`
	Time       time.Time `json:"time"`
	// Version is the version in force on this node, and Applied the time since when; 0
	// means that no version is in force.
	Version model.Version `json:"version"`
	Applied time.Time     `json:"applied"`
	// Record holds the acceptance of the version and of earlier ones. It is empty for a
	// version that was written to the store without a sign-off.
	Record bundle.Head `json:"record"`
	// RecordError is the error of decoding the record; empty if the record was decoded or
	// there is none.
	RecordError string `json:"recordError,omitempty"`
	// Lead is the node that last reported that the store responds: the one that reads the
	// store for this node, or this node itself. StoreTime is the time of that report; zero
	// means never.
	Lead      string    `json:"lead"`
	StoreTime time.Time `json:"storeTime"`
	// Restored is when the node learned that the store was restored from an older copy, which
	// may lack what was signed off since. It is zero if that has not happened since the node
	// started.
	Restored time.Time `json:"restored,omitzero"`
	// Refused is the last configuration that this node rejected; nil if there is none.
	Refused *Refusal `json:"refused,omitempty"`
	// Hosts counts the hosts that this node knows by the state of their upstreams.
	Hosts map[string]int `json:"hosts"`
	// Unreachable lists the hosts that this node currently cannot connect to.
	Unreachable []string  `json:"unreachable"`
	Suspects    []Suspect `json:"suspects"`
}

// Host is a host as one node knows it.
type Host struct {
	Node       string `json:"node"`
	DataCentre string `json:"dataCentre"`
	// URL is the base URL of the paths in this package.
	URL      string `json:"url"`
	Upstream string `json:"upstream"`
	Service  string `json:"service"`
	Slots    int    `json:"slots"`
	// State is the state of the upstream, or "stopping" while the node shuts down.
	State string `json:"state"`
}

// LaggingNode is a node that has not put a version or a newer one in force, with the version
// that it has and the reason.
type LaggingNode struct {
	Node    string        `json:"node"`
	Version model.Version `json:"version"`
	Reason  string        `json:"reason"`
}

// Progress says how far the rollout of a version has come in one data centre: how many
// nodes there are, how many have applied the version, and which have not.
type Progress struct {
	DataCentre string        `json:"dataCentre"`
	Nodes      int           `json:"nodes"`
	Applied    int           `json:"applied"`
	Behind     []LaggingNode `json:"behind"`
}

// QueryResult is the report of one host, or the error of fetching it.
type QueryResult struct {
	Host   Host
	Report Report
	Err    error
}

// Summarize returns the progress of a version per data centre. A node counts as applied if
// it has the version or a newer one in force. Data centres and nodes are sorted by name.
func Summarize(v model.Version, answers []QueryResult) []Progress {
	byDataCentre := make(map[string]*Progress)
	for _, a := range answers {
		p := byDataCentre[a.Host.DataCentre]
		if p == nil {
			p = &Progress{DataCentre: a.Host.DataCentre, Behind: []LaggingNode{}}
			byDataCentre[p.DataCentre] = p
		}
		p.Nodes++
		switch {
		case a.Err != nil:
			p.Behind = append(p.Behind, LaggingNode{Node: a.Host.Node, Reason: a.Err.Error()})
		case a.Report.Version >= v:
			p.Applied++
		default:
			p.Behind = append(p.Behind, LaggingNode{Node: a.Host.Node, Version: a.Report.Version, Reason: behindReason(a.Report.Refused)})
		}
	}
	list := make([]Progress, 0, len(byDataCentre))
	for _, p := range byDataCentre {
		slices.SortFunc(p.Behind, func(x, y LaggingNode) int { return cmp.Compare(x.Node, y.Node) })
		list = append(list, *p)
	}
	slices.SortFunc(list, func(x, y Progress) int { return cmp.Compare(x.DataCentre, y.DataCentre) })
	return list
}

// behindReason returns why a node that responded is behind: the error of the last
// configuration that it rejected, if any.
func behindReason(r *Refusal) string {
	if r == nil {
		return "it has not come yet"
	}
	return "refused: " + r.Error
}
