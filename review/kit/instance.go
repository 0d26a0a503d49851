package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// instance is a stand-in for an application instance, as PROTOCOL.md describes it. The query
// of a request chooses how long it works (w, in milliseconds) and how many bytes the answer
// has (s). A request whose path begins with /poison/ ends the process as it begins to run.
type instance struct {
	id, service, address, control string
	slots                         int
	born                          int64

	mu       sync.Mutex
	out      *json.Encoder
	running  int
	free     chan struct{}
	state    string
	sequence int64
}

// entry is one line of an instance's log on its standard output.
type entry struct {
	At       time.Time `json:"at"`
	Event    string    `json:"event"`
	ID       string    `json:"id,omitempty"`
	Path     string    `json:"path,omitempty"`
	Instance string    `json:"instance"`
	Caller   string    `json:"caller,omitempty"`
}

func instanceMain(args []string) int {
	f := flag.NewFlagSet("instance", flag.ExitOnError)
	i := &instance{born: time.Now().UnixMilli(), out: json.NewEncoder(os.Stdout), state: "ready"}
	f.StringVar(&i.id, "id", "", "id")
	f.StringVar(&i.service, "service", "", "service")
	f.StringVar(&i.address, "listen", "", "address")
	f.StringVar(&i.control, "control", "", "control address of its node")
	f.IntVar(&i.slots, "slots", 9, "slots")
	_ = f.Parse(args)
	i.free = make(chan struct{}, i.slots)
	l, err := net.Listen("tcp", i.address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	server := &http.Server{Handler: i, IdleTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	i.log("started", "", "", "")
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	leave := make(chan os.Signal, 1)
	signal.Notify(leave, syscall.SIGUSR1)
	beat := time.NewTicker(1500 * time.Millisecond)
	for {
		acked := i.beat()
		if !acked {
			select { // the node may be starting
			case <-time.After(300 * time.Millisecond):
				continue
			case <-stop:
				return 0
			}
		}
		select {
		case <-beat.C:
		case <-leave:
			return i.leave()
		case <-stop:
			return 0
		}
	}
}

// staysFor is how long the instance serves on after drainMs: "a little longer (at times many
// seconds)".
const staysFor = 10 * time.Second

// leave is the end of an instance that never reports draining: it sends DELETE first, serves on
// for drainMs and staysFor after the acknowledgement, and exits.
func (i *instance) leave() int {
	for n := 0; !i.call(http.MethodDelete, fmt.Appendf(nil, `{"born":%d}`, i.born)); n++ {
		if n == 10 {
			return 0 // without an acknowledgement it exits anyway, some seconds later
		}
		time.Sleep(300 * time.Millisecond)
	}
	i.log("acknowledged", "", "", "")
	time.Sleep(2*time.Second + staysFor)
	i.log("exited", "", "", "")
	return 0
}

func (i *instance) log(event, id, path, caller string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	_ = i.out.Encode(entry{time.Now(), event, id, path, i.id, caller})
}

func (i *instance) beat() bool {
	i.mu.Lock()
	i.sequence++
	body, _ := json.Marshal(map[string]any{
		"address": i.address, "born": i.born,
		"info":   map[string]any{"service": i.service, "version": "v1", "zone": "z", "slots": i.slots},
		"status": map[string]any{"state": i.state, "sequence": i.sequence, "coldRemainingMs": 0},
	})
	i.mu.Unlock()
	return i.call(http.MethodPut, body)
}

// call makes one call about the instance to its node and reports whether it was acknowledged.
func (i *instance) call(method string, body []byte) bool {
	r, err := http.NewRequest(method, "http://"+i.control+"/instances/"+i.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Do(r)
	if err != nil {
		return false
	}
	defer a.Body.Close()
	_, _ = io.Copy(io.Discard, a.Body)
	return a.StatusCode/100 == 2
}

func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Tarragondrum-Instance-Id", i.id)
	w.Header().Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/healthz" {
		w.WriteHeader(http.StatusOK)
		return
	}
	id, caller := r.Header.Get("Tarragondrum-Request-Id"), r.Header.Get("Tarragondrum-Caller-Service")
	w.Header().Set("Tarragondrum-Request-Id", id)
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	if e := r.Header.Get("Tarragondrum-Expected-Instance"); e != "" && e != i.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	deadline := time.Now().Add(time.Minute)
	if ms, err := strconv.ParseFloat(r.Header.Get("Tarragondrum-Deadline-Ms"), 64); err == nil {
		deadline = time.Now().Add(time.Duration(ms * float64(time.Millisecond)))
	}
	select {
	case i.free <- struct{}{}:
	case <-r.Context().Done():
		return
	case <-time.After(time.Until(deadline)):
		w.Header().Set("Tarragondrum-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-i.free }()
	i.log("began", id, r.URL.Path, caller)
	if strings.HasPrefix(r.URL.Path, "/poison/") {
		os.Exit(3)
	}
	work, _ := strconv.Atoi(r.URL.Query().Get("w"))
	status := http.StatusOK
	select {
	case <-time.After(time.Duration(work) * time.Millisecond):
	case <-time.After(time.Until(deadline)):
		status = http.StatusGatewayTimeout
	case <-r.Context().Done():
		i.log("cut", id, r.URL.Path, caller)
		return
	}
	i.log("ended", id, r.URL.Path, caller)
	size, _ := strconv.Atoi(r.URL.Query().Get("s"))
	w.Header().Set("Tarragondrum-Server-Signature", "sig."+id)
	body := "answer to " + id
	if size > len(body) {
		body += strings.Repeat(".", size-len(body))
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if r.URL.Query().Get("g") != "" {
		w.Header().Set("X-Note", "caf\xe9") // a byte that is valid in HTTP and is no UTF-8
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}
