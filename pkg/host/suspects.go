package host

import (
	"fmt"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/link"
	"github.com/tarragondrum/tarragondrum/pkg/suspect"
)

func (n *Node) poisoned(fingerprint uint64) bool { return n.suspects.Refused(time.Now(), fingerprint) }

// crashed handles the requests that were running when the upstream of this host died.
func (n *Node) crashed(fingerprints []uint64, u fleet.Upstream) {
	n.log.Emit(event.UpstreamDown, event.F("upstream", u.ID), event.F("born", u.Born), event.F("running", len(fingerprints)))
	crashes := make([]link.Crash, 0, len(fingerprints))
	for _, f := range fingerprints {
		crashes = append(crashes, link.Crash{Fingerprint: f, UpstreamID: u.ID, Born: u.Born})
	}
	if news := n.recordCrashes(crashes, "own upstream"); len(news) > 0 {
		n.peers.broadcast(&link.StateUpdate{Crashes: news})
	}
}

// recordCrashes records crashes and returns those that were not known before and count.
func (n *Node) recordCrashes(crashes []link.Crash, source string) (news []link.Crash) {
	var suspects []string
	for _, c := range crashes {
		life := suspect.Life{UpstreamID: c.UpstreamID, Born: c.Born}
		age := time.Duration(min(max(0, c.AgeMs), maxCrashAgeMs)) * time.Millisecond
		count := n.suspects.RecordCrash(time.Now(), suspect.Crash{Fingerprint: c.Fingerprint, Life: life, Age: age})
		if count == 0 {
			continue
		}
		news = append(news, c)
		suspects = append(suspects, fmt.Sprintf("%016x %d", c.Fingerprint, count))
		if count == suspect.MaxCrashes {
			n.log.Emit(event.RequestQuarantined, event.F("fingerprint", fmt.Sprintf("%016x", c.Fingerprint)), event.F("upstream", c.UpstreamID))
		}
	}
	if len(news) > 0 {
		n.log.Emit(event.RequestsSuspected, event.F("source", source), event.F("upstream", news[0].UpstreamID), event.F("requests", suspects))
	}
	return news
}

// maxCrashAgeMs bounds the age of a crash in a message of another node.
const maxCrashAgeMs = int64(time.Hour / time.Millisecond)

// knownCrashes returns the crashes that this node knows, for a node that has just started.
func (n *Node) knownCrashes() []link.Crash {
	var list []link.Crash
	for _, c := range n.suspects.Crashes(time.Now()) {
		list = append(list, link.Crash{Fingerprint: c.Fingerprint, UpstreamID: c.Life.UpstreamID, Born: c.Life.Born, AgeMs: c.Age.Milliseconds()})
	}
	return list
}

// requestCompleted records that a request completed on an upstream. If other nodes may
// suspect it of crashes, it tells them.
func (n *Node) requestCompleted(fingerprint uint64) {
	if n.clearSuspicion(fingerprint, "own request") {
		n.peers.broadcast(&link.StateUpdate{Completed: []uint64{fingerprint}})
	}
}

// clearSuspicion records that a request completed, and reports whether it was a suspect.
func (n *Node) clearSuspicion(fingerprint uint64, source string) bool {
	cleared := n.suspects.Completed(time.Now(), fingerprint)
	if cleared {
		n.log.Emit(event.SuspicionCleared, event.F("fingerprint", fmt.Sprintf("%016x", fingerprint)), event.F("source", source))
	}
	return cleared
}

// handleCrashes processes reports of requests that ran when an upstream crashed.
func (p *peers) handleCrashes(from string, crashes []link.Crash) {
	news := p.node.recordCrashes(crashes, "peer "+from)
	if len(news) > 0 && !p.isFullMesh() {
		p.tree.send(&link.StateUpdate{Crashes: news}, from)
	}
}

// handleCompleted processes reports of suspects that completed.
func (p *peers) handleCompleted(from string, fingerprints []uint64) {
	var news []uint64
	for _, f := range fingerprints {
		if p.node.clearSuspicion(f, "peer "+from) {
			news = append(news, f)
		}
	}
	if len(news) > 0 && !p.isFullMesh() {
		p.tree.send(&link.StateUpdate{Completed: news}, from)
	}
}
