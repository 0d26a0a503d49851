package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// arrival is a request that an instance began to work on.
type arrival struct {
	at             time.Time
	id, path, inst string
	m              *machine
}

var (
	arrivalsMu sync.Mutex
	arrivals   []arrival
)

// instance is a stand-in of an application instance, as PROTOCOL.md describes it.
type instance struct {
	h *machine

	mu       sync.Mutex
	id       string
	born     int64
	sequence int64
	silent   bool // sends no heartbeats
	server   *http.Server
	run      int
	work     time.Duration
}

func newInstance(h *machine) *instance {
	i := &instance{h: h, work: 20 * time.Millisecond}
	i.open()
	go i.beats()
	return i
}

// open starts a new incarnation.
func (i *instance) open() {
	i.mu.Lock()
	defer i.mu.Unlock()
	l, err := net.Listen("tcp", i.h.app)
	if err != nil {
		cannotRun("%v", err)
	}
	i.run++
	i.id, i.born, i.sequence, i.silent = fmt.Sprintf("i-%s-%d", i.h.name, i.run), time.Now().UnixMilli(), 0, false
	i.server = &http.Server{Handler: http.HandlerFunc(i.serve)}
	go func(s *http.Server) { _ = s.Serve(l) }(i.server)
}

// crash ends the instance; it is back after some seconds.
func (i *instance) crash(down time.Duration) {
	i.mu.Lock()
	i.silent = true
	s, id := i.server, i.id
	i.mu.Unlock()
	_ = s.Close()
	say("instance %s crashes", id)
	time.AfterFunc(down, func() {
		i.open()
		i.beat()
	})
}

func (i *instance) serve(w http.ResponseWriter, r *http.Request) {
	i.mu.Lock()
	id, work := i.id, i.work
	i.mu.Unlock()
	w.Header().Set("Tarragondrum-Instance-Id", id)
	if r.URL.Path == "/healthz" {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	request := r.Header.Get("Tarragondrum-Request-Id")
	w.Header().Set("Tarragondrum-Request-Id", request)
	if want := r.Header.Get("Tarragondrum-Expected-Instance"); want != "" && want != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	arrivalsMu.Lock()
	arrivals = append(arrivals, arrival{time.Now(), request, r.URL.Path, id, i.h})
	arrivalsMu.Unlock()
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Tarragondrum-Server-Signature", id+"."+request)
	_, _ = io.WriteString(w, answerText(request, id, r.URL.Path, len(body)))
}

// answerText returns the body of an instance's answer, for a path that ends with large one of 30,000
// bytes.
func answerText(request, inst, path string, size int) string {
	text := fmt.Sprintf("answer of %s to %s %s (%d bytes)\n", inst, request, path, size)
	if strings.HasSuffix(path, "large") {
		text = strings.Repeat(text, 30000/len(text))
	}
	return text
}

// beats sends a heartbeat every 1.5 s.
func (i *instance) beats() {
	for {
		i.beat()
		time.Sleep(1500 * time.Millisecond)
	}
}

func (i *instance) beat() {
	i.mu.Lock()
	silent, id := i.silent, i.id
	i.mu.Unlock()
	if !silent {
		i.tell(http.MethodPut, id, i.nextBeat())
	}
}

// nextBeat returns the next heartbeat.
func (i *instance) nextBeat() any {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.sequence++
	return map[string]any{
		"address": i.h.app, "born": i.born,
		"info":   map[string]any{"service": i.h.service, "version": "v1", "zone": i.h.zone, "slots": 9},
		"status": map[string]any{"state": "ready", "sequence": i.sequence, "coldRemainingMs": 0},
	}
}

// tell calls the node on the instance's machine and reports whether it acknowledged within a second.
func (i *instance) tell(method, id string, body any) bool {
	data, _ := json.Marshal(body)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	q, _ := http.NewRequestWithContext(ctx, method, "http://"+i.h.control+"/instances/"+id, bytes.NewReader(data))
	q.Header.Set("Content-Type", "application/json")
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Do(q)
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode/100 == 2
}

// leave removes the instance's entry, as those do that never report draining, until it is
// acknowledged. It sends no heartbeats after that and goes on serving.
func (i *instance) leave(limit time.Duration) (time.Time, bool) {
	i.mu.Lock()
	i.silent = true
	id, born := i.id, i.born
	i.mu.Unlock()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		say("instance %s sends DELETE /instances/%s", id, id)
		if i.tell(http.MethodDelete, id, map[string]any{"born": born}) {
			at := time.Now()
			say("its node acknowledges")
			return at, true
		}
		say("no acknowledgement")
	}
	return time.Time{}, false
}
