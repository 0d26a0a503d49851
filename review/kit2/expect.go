package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// expect: a client sends a further idempotent request, with a body that it announces by Expect:
// 100-continue, while the answer to its first one arrives. No answer may be mixed with other bytes.
func expect(trouble bool) string {
	m := newMesh(2, []string{"order-desk", "order-desk", "order-desk", "pigment-ledger"})
	m.putConfig(1, map[string]any{"r-browse": route("/browse/", "idempotent", "order-desk", 3000, 2)})
	m.startAll()
	say("all nodes are ready")
	time.Sleep(3 * time.Second)
	mixed, whole, first := 0, 0, ""
	for n := range 40 {
		h := m.machines[n%len(m.machines)]
		what := pipelined(h, n, trouble)
		say("%s: pair %d: %s", h.name, n, what)
		switch {
		case what == "both answers whole":
			whole++
		case strings.HasPrefix(what, "MIXED"):
			mixed++
			if first == "" {
				first = what
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	say("%d of 40 pairs got both answers whole, %d an answer mixed with other bytes", whole, mixed)
	if mixed > 0 {
		return fmt.Sprintf("%s (%d of 40)", first, mixed)
	}
	if whole < 20 {
		cannotRun("only %d pairs were answered", whole)
	}
	return ""
}

// pipelined sends two requests on one connection and says what came back.
func pipelined(h *machine, n int, withExpect bool) string {
	c, err := net.Dial("tcp", h.outbound)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(6 * time.Second))
	ids := [2]string{fmt.Sprintf("e%d-1", n), fmt.Sprintf("e%d-2", n)}
	fmt.Fprintf(c, "GET /browse/large HTTP/1.1\r\nHost: desk.example\r\nTarragondrum-Request-Id: %s\r\nTarragondrum-Deadline-Ms: 3000\r\n\r\n", ids[0])
	r := bufio.NewReaderSize(c, 1<<10)
	if _, err := r.Peek(1); err != nil { // the first answer begins to arrive
		return "no answer: " + err.Error()
	}
	body := strings.Repeat("b", 2000)
	announced := ""
	if withExpect {
		announced = "Expect: 100-continue\r\n"
	}
	fmt.Fprintf(c, "PUT /browse/put HTTP/1.1\r\nHost: desk.example\r\nTarragondrum-Request-Id: %s\r\nTarragondrum-Deadline-Ms: 3000\r\nContent-Length: %d\r\n%s\r\n", ids[1], len(body), announced)
	if !withExpect {
		_, _ = io.WriteString(c, body)
	} else {
		// A client doesn't wait for 100 (Continue) for ever.
		time.AfterFunc(time.Second, func() { _, _ = io.WriteString(c, body) })
	}
	for k, method := range []string{"GET", "PUT"} {
		a, err := readFinal(r, method)
		if err != nil {
			return fmt.Sprintf("MIXED: bytes that are no answer to request %s: %v", ids[k], err)
		}
		data, err := io.ReadAll(a.Body)
		if err != nil {
			return fmt.Sprintf("MIXED: the answer to request %s can't be read: %v", ids[k], err)
		}
		want := answerText(ids[k], a.Header.Get("Tarragondrum-Instance-Id"), map[string]string{"GET": "/browse/large", "PUT": "/browse/put"}[method], []int{0, len(body)}[k])
		if a.StatusCode != 200 {
			return fmt.Sprintf("request %s got %d", ids[k], a.StatusCode)
		}
		if string(data) != want {
			return fmt.Sprintf("MIXED: request %s got 200 with the signature %q and a body that isn't the instance's: %q at byte %d", ids[k], a.Header.Get("Tarragondrum-Server-Signature"), around(string(data), want), differs(string(data), want))
		}
	}
	return "both answers whole"
}

// readFinal reads the next answer that isn't an interim one.
func readFinal(r *bufio.Reader, method string) (*http.Response, error) {
	for {
		a, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil || a.StatusCode >= 200 {
			return a, err
		}
	}
}

func differs(got, want string) int {
	for i := range got {
		if i >= len(want) || got[i] != want[i] {
			return i
		}
	}
	return len(got)
}

func around(got, want string) string {
	i := differs(got, want)
	return got[max(0, i-5):min(len(got), i+40)]
}
